#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Load/Workload.h"
#include "Node/Node.h"
#include "StandIns/ComputeJudge.h"
#include "StandIns/EngineStandIn.h"
#include "StandIns/PlatformStandIn.h"
#include "StandIns/ServiceStandIn.h"

namespace jacinthroad {

/// Settings of a Bench.
struct LocalClusterOptions
{
    Profile profile;
    std::string policy = "default";
    std::size_t nodes = 7;
    std::size_t engines = 0;
    double timeScale = 4;
    /// Objective for the first token in model time, in milliseconds.
    double firstTokenTargetMs = 1900;
    double tokenGapTargetMs = 48;
    std::uint32_t sampleOneIn = 16;
    std::uint32_t peerBytesPerSecond = 8000;
};

/// Nodes, engines, plain services and the platform of one profile in this process, talking over
/// loopback, with model time running `timeScale` times faster than the clock.
class LocalCluster
{
public:
    explicit LocalCluster(LocalClusterOptions options);
    LocalCluster(const LocalCluster &) = delete;
    LocalCluster &operator=(const LocalCluster &) = delete;
    ~LocalCluster();

    /// Starts everything; false when a node does not become ready in time.
    [[nodiscard]] bool start();

    [[nodiscard]] std::size_t nodeCount() const { return nodes_.size(); }
    /// Base URL of a node's caller side; empty while the node is stopped.
    [[nodiscard]] std::string callerUrl(std::size_t node) const;
    [[nodiscard]] std::string operatorUrl(std::size_t node) const;
    [[nodiscard]] Node *node(std::size_t index) { return nodes_[index].get(); }
    /// Lets a node finish its work; false when some was left. May run beside send calls; the
    /// node stays until killNode().
    [[nodiscard]] bool drainNode(std::size_t index);
    /// Ends a node without warning.
    void killNode(std::size_t index);
    /// Starts a stopped node again, at new ports.
    [[nodiscard]] bool startNode(std::size_t index);

    [[nodiscard]] std::vector<std::unique_ptr<EngineStandIn>> &engines() { return engines_; }
    [[nodiscard]] const std::vector<std::unique_ptr<EngineStandIn>> &engines() const
    {
        return engines_;
    }
    [[nodiscard]] PlatformStandIn &platform() { return platform_; }
    [[nodiscard]] ComputeJudge &judge() { return judge_; }
    [[nodiscard]] std::vector<std::unique_ptr<ServiceStandIn>> &services() { return services_; }
    [[nodiscard]] const LocalClusterOptions &options() const { return options_; }

    /// Attempts that began to run for each request id, over all engines.
    [[nodiscard]] std::map<std::string, int> engineExecutions() const;
    /// Executions for each Idempotency-Key, over all instances of the service.
    [[nodiscard]] std::map<std::string, int> serviceExecutions() const;
    /// Peer bytes and platform calls of all nodes, running and stopped.
    [[nodiscard]] NodeFigures figures() const;

    /// Name of an engine as the configuration has it.
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
    ComputeJudge judge_;
    PlatformStandIn platform_;
    std::vector<std::unique_ptr<EngineStandIn>> engines_;
    std::vector<std::unique_ptr<ServiceStandIn>> services_;
    std::vector<std::unique_ptr<Node>> nodes_;
    NodeFigures stoppedNodeFigures_;
};

} // namespace jacinthroad
