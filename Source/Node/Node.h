#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <json/value.h>

#include "Core/Error.h"
#include "Core/Time.h"
#include "Node/NodeSettings.h"

namespace jacinthroad {

class NodeImpl;

/// Statistics of a running node for a load test in the same process.
struct NodeStatistics
{
    std::uint64_t peerBytes = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t configurationVersion = 0;
    Duration controlCpu {};
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Memory of all that was received and not passed on.
    std::size_t receivedBytes = 0;
};

/// One node of the system: the control thread with the decision libraries, the traffic threads,
/// and the connections to callers, backend servers, platform, peers and operators.
class Node
{
public:
    /// Starts a node; the error names the resource that is unavailable, such as a port.
    [[nodiscard]] static Result<std::unique_ptr<Node>> start(NodeSettings settings);

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    /// Stops immediately, as if the VM were lost; call drain() first for a planned stop.
    ~Node();

    /// Reports the node as not ready at /readyz and refuses new work: service calls immediately,
    /// model requests after the drain lag. Then waits until every request has its response and
    /// every claim is written. Takes at most `drainTimeout`; true when no work was left.
    [[nodiscard]] bool drain(Duration drainTimeout);

    /// True once an operator has requested a planned stop.
    [[nodiscard]] bool drainRequested() const;
    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t operatorPort() const;
    /// `IP:port` of the socket for peers' datagrams.
    [[nodiscard]] std::string peerAddress() const;
    /// True once a configuration is active.
    [[nodiscard]] bool ready() const;
    /// Reads the statistics on the control thread; all zero when it doesn't respond in time.
    [[nodiscard]] NodeStatistics statistics() const;

private:
    explicit Node(std::unique_ptr<NodeImpl> impl);

    std::unique_ptr<NodeImpl> impl_;
};

} // namespace jacinthroad
