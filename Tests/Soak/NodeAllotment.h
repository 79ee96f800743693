#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "Core/Time.h"
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
    /// The longest time for which a node was kept from running.
    [[nodiscard]] Duration longestStop() const { return longestStop_.load(); }

private:
    void share();
    void watchMemory();

    std::vector<std::shared_ptr<NodeProcess>> nodes_;
    Options options_;
    std::atomic<std::uint64_t> largestBytes_ { 0 };
    std::atomic<Duration> longestStop_ { Duration::zero() };
    std::atomic<bool> stopping_ { false };
    std::thread sharingThread_;
    std::thread memoryThread_;
};

} // namespace jacinthroad
