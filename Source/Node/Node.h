#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <json/value.h>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Node/NodeSettings.h"

namespace jacinthroad {

class NodeParts;

/// What a running node tells of itself to a bench in the same process.
struct NodeFigures
{
    std::uint64_t peerBytes = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t configurationVersion = 0;
    Duration controlCpu {};
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

/// One node of the system: the control thread with the decision libraries, the traffic threads,
/// and the edges towards callers, backend servers, platform, peers and operators.
class Node
{
public:
    /// Starts a node; the error names what could not be had.
    [[nodiscard]] static Result<std::unique_ptr<Node>> start(NodeSettings settings);

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    /// Stops at once, like a lost VM; drain() first for a planned stop.
    ~Node();

    /// Refuses new work, says so at /readyz, and waits until every request is answered and every
    /// claim written, at most `patience`; true when nothing was left.
    [[nodiscard]] bool drain(Duration patience);

    /// True once an operator asked for a planned stop.
    [[nodiscard]] bool drainRequested() const;
    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t operatorPort() const;
    /// `IP:port` of its datagrams.
    [[nodiscard]] std::string peerAddress() const;
    /// True once a configuration is in force.
    [[nodiscard]] bool ready() const;
    /// Asked through the control thread.
    [[nodiscard]] NodeFigures figures() const;

private:
    explicit Node(std::unique_ptr<NodeParts> parts);

    std::unique_ptr<NodeParts> parts_;
};

} // namespace jacinthroad
