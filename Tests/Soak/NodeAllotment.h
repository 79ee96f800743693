#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "NodeProcess.h"

namespace jacinthroad {

/// Gives each node a share of a core, in periods that begin at another phase for each node, and
/// kills nodes whose resident size and unread bytes are above a limit, as machines do.
class NodeAllotment
{
public:
    struct Options
    {
        /// Part of each period in which a node runs; 1 lets it run all the time.
        double processorShare = 1;
        /// 0 sets no limit.
        double memoryMb = 0;
    };

    NodeAllotment(std::vector<std::shared_ptr<NodeProcess>> nodes, Options options);
    NodeAllotment(const NodeAllotment &) = delete;
    NodeAllotment &operator=(const NodeAllotment &) = delete;
    ~NodeAllotment();

    /// The largest sum of the resident size and the unread bytes that a node had.
    [[nodiscard]] double largestMb() const;

private:
    void run();

    std::vector<std::shared_ptr<NodeProcess>> nodes_;
    Options options_;
    std::atomic<std::uint64_t> largestBytes_ { 0 };
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

} // namespace jacinthroad
