#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Load/Workload.h"
#include "Node/Node.h"
#include "StandIns/ComputeTracker.h"
#include "StandIns/EngineStandIn.h"
#include "StandIns/PlatformStandIn.h"
#include "StandIns/ServiceStandIn.h"

namespace jacinthroad {

/// Settings of a LocalCluster.
struct LocalClusterOptions
{
    Profile profile;
    std::string policy = "default";
    std::size_t nodes = 7;
    /// Number of engines; 0 takes the profile's.
    std::size_t engines = 0;
    /// URLs of further engines, which the caller runs.
    std::vector<std::string> engineUrls;
    /// URLs of further instances of the plain service, which the caller runs.
    std::vector<std::string> serviceUrls;
    double timeScale = 4;
    /// Targets for the first token and the gap between tokens, in milliseconds of model time.
    double firstTokenTargetMs = 1900;
    double tokenGapTargetMs = 48;
    std::uint32_t sampleOneIn = 16;
    std::uint32_t peerBytesPerSecond = 8000;
    /// Memory of what a node has received and not passed on.
    std::size_t responseMemoryBytes = 128 * 1024 * 1024;
};

/// Runs the nodes, engines, plain services and platform of one profile in this process, connected
/// over loopback. Model time runs `timeScale` times faster than the clock.
class LocalCluster
{
public:
    explicit LocalCluster(LocalClusterOptions options);
    LocalCluster(const LocalCluster &) = delete;
    LocalCluster &operator=(const LocalCluster &) = delete;
    ~LocalCluster();

    /// Starts all parts; false when a node does not become ready within 10 s.
    [[nodiscard]] bool start();

    [[nodiscard]] std::size_t nodeCount() const { return nodes_.size(); }
    /// Base URL of a node's port for callers; empty while the node is stopped.
    [[nodiscard]] std::string callerUrl(std::size_t node) const;
    /// Base URL of a node's port for operators; empty while the node is stopped.
    [[nodiscard]] std::string operatorUrl(std::size_t node) const;
    /// The node; null while it is stopped.
    [[nodiscard]] Node *node(std::size_t index) { return nodes_[index].get(); }
    /// Drains a node; false when requests were still open after 20 s. May run concurrently with
    /// requests to the node, which exists until killNode().
    [[nodiscard]] bool drainNode(std::size_t index);
    /// Destroys a node without draining it.
    void killNode(std::size_t index);
    /// Starts a stopped node again on new ports; false when it does not become ready in time.
    [[nodiscard]] bool startNode(std::size_t index);

    [[nodiscard]] std::vector<std::unique_ptr<EngineStandIn>> &engines() { return engines_; }
    [[nodiscard]] const std::vector<std::unique_ptr<EngineStandIn>> &engines() const
    {
        return engines_;
    }
    [[nodiscard]] PlatformStandIn &platform() { return platform_; }
    [[nodiscard]] ComputeTracker &computeTracker() { return computeTracker_; }
    [[nodiscard]] std::vector<std::unique_ptr<ServiceStandIn>> &services() { return services_; }
    [[nodiscard]] const LocalClusterOptions &options() const { return options_; }

    /// Attempts that started for each request id, summed over all engines.
    [[nodiscard]] std::map<std::string, int> engineExecutions() const;
    /// Executions for each Idempotency-Key, summed over all instances of the service.
    [[nodiscard]] std::map<std::string, int> serviceExecutions() const;
    /// Sums of the nodes' statistics. Peer bytes, platform calls and control CPU time include
    /// killed nodes; hedges and retries count running nodes only; other values are not summed.
    [[nodiscard]] NodeStatistics statistics() const;

    /// Name of an engine in the configuration.
    [[nodiscard]] static std::string engineName(std::size_t index);
    /// Bearer key of a team.
    [[nodiscard]] static std::string teamKey(std::size_t team);
    /// Bearer key of the operators.
    [[nodiscard]] static std::string operatorKey();

private:
    [[nodiscard]] Json::Value configurationJson() const;
    [[nodiscard]] std::vector<std::string> peerAddresses() const;
    [[nodiscard]] NodeSettings settingsOf(std::size_t node) const;

    LocalClusterOptions options_;
    ComputeTracker computeTracker_;
    PlatformStandIn platform_;
    std::vector<std::unique_ptr<EngineStandIn>> engines_;
    std::vector<std::unique_ptr<ServiceStandIn>> services_;
    std::vector<std::unique_ptr<Node>> nodes_;
    NodeStatistics stoppedNodeStatistics_;
};

} // namespace jacinthroad
