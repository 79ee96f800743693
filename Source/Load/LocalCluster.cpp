#include "Load/LocalCluster.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr Duration ReadyTimeout = std::chrono::seconds(10);
constexpr Duration ReadyPoll = milliseconds(5);
constexpr Duration DrainTimeout = std::chrono::seconds(20);
// Settings of the nodes and stand-ins in model time.
constexpr double DefaultTickMs = 10;
constexpr double DefaultStallMs = 4000;
constexpr double DefaultHedgeMs = 600;
constexpr double DefaultPeerIntervalMs = 200;
constexpr double DefaultVmPollMs = 1000;
constexpr double DefaultReportLagMs = 1000;
constexpr double DefaultDrainLagMs = 1000;

/// Converts milliseconds of model time to clock time, at least 1 ms.
Duration toClockTime(double ms, double scale)
{
    return std::max<Duration>(milliseconds(1), fromMilliseconds(ms / scale));
}

} // namespace

LocalCluster::LocalCluster(LocalClusterOptions options)
    : options_(std::move(options))
{
    if (options_.engines == 0) {
        options_.engines = options_.profile.engines;
    }
}

LocalCluster::~LocalCluster()
{
    nodes_.clear();
}

std::string LocalCluster::engineName(std::size_t index)
{
    return "runner-" + std::to_string(index);
}

std::string LocalCluster::teamKey(std::size_t team)
{
    return "key-of-" + teamName(team);
}

std::string LocalCluster::operatorKey()
{
    return "operators-key-of-the-bench";
}

Json::Value LocalCluster::configurationJson() const
{
    const Profile &profile = options_.profile;
    const double scale = options_.timeScale;
    Json::Value body;
    for (std::size_t team = 0; team < profile.teams; ++team) {
        body["teams"][teamName(team)]["key_sha256"].append(sha256Hex(teamKey(team)));
        body["teams"][teamName(team)]["max_concurrent"] = 5000;
    }
    Json::Value &model = body["models"][std::string(profile.model)];
    model["version"] = "v1";
    model["recompute_price_ms_per_token"] = profile.recomputePriceMsPerToken / scale;
    model["first_token_target_ms"] = options_.firstTokenTargetMs / scale;
    model["first_token_limit_ms"] = options_.firstTokenTargetMs / scale;
    model["token_gap_target_ms"] = options_.tokenGapTargetMs / scale;
    constexpr double MillisecondsPerSecond = 1000;
    const EngineStandInOptions defaults;
    for (std::size_t index = 0; index < engines_.size() + options_.engineUrls.size(); ++index) {
        Json::Value &server = body["backend_servers"][engineName(index)];
        server["zone"] = std::string(profile.zones[index % profile.zones.size()]);
        server["url"] = index < engines_.size() ? engines_[index]->url()
                                                : options_.engineUrls[index - engines_.size()];
        server["model"] = std::string(profile.model);
        server["slots"] = profile.slots;
        server["prefill_tokens_per_s"]
            = defaults.prefillTokensPerMs * MillisecondsPerSecond * scale;
    }
    for (const auto &service : services_) {
        body["services"][std::string(profile.service)]["urls"].append(service->url());
    }
    for (const std::string &url : options_.serviceUrls) {
        body["services"][std::string(profile.service)]["urls"].append(url);
    }
    return body;
}

NodeSettings LocalCluster::settingsOf(std::size_t node) const
{
    const Profile &profile = options_.profile;
    const double scale = options_.timeScale;
    return {
        .name = "entry-" + std::to_string(node),
        .zone = std::string(profile.zones[node % profile.zones.size()]),
        .platformUrl = platform_.url(),
        .vmPoll = toClockTime(DefaultVmPollMs, scale),
        .peers = peerAddresses(),
        .peerKey = "peer-key-of-the-bench",
        .peerInterval = toClockTime(DefaultPeerIntervalMs, scale),
        .peerBytesPerSecond = static_cast<std::uint32_t>(options_.peerBytesPerSecond * scale),
        .sampleOneIn = options_.sampleOneIn,
        .operatorKeySha256 = sha256Hex(operatorKey()),
        .responseMemoryBytes = options_.responseMemoryBytes,
        .policy = options_.policy,
        .tick = toClockTime(DefaultTickMs, scale),
        .stallMinimum = toClockTime(DefaultStallMs, scale),
        .hedgeMinimum = toClockTime(DefaultHedgeMs, scale),
        .drainLag = toClockTime(DefaultDrainLagMs, scale),
        .configuration = configurationJson(),
    };
}

std::vector<std::string> LocalCluster::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &node : nodes_) {
        if (node != nullptr) {
            addresses.push_back(node->peerAddress());
        }
    }
    return addresses;
}

bool LocalCluster::start()
{
    const Profile &profile = options_.profile;
    for (std::size_t index = 0; index < options_.engines; ++index) {
        engines_.push_back(std::make_unique<EngineStandIn>(
            EngineStandInOptions { .name = engineName(index),
                                   .model = std::string(profile.model),
                                   .timeScale = options_.timeScale,
                                   .slots = profile.slots,
                                   .cacheBlocks = profile.cacheBlocks,
                                   .reportLagMs = DefaultReportLagMs,
                                   .computeTracker = &computeTracker_ }));
        engines_.back()->start();
        platform_.setVm(engineName(index), "live");
    }
    for (std::size_t index = 0; index < options_.engineUrls.size(); ++index) {
        platform_.setVm(engineName(engines_.size() + index), "live");
    }
    for (std::size_t index = 0; index < profile.serviceInstances; ++index) {
        services_.push_back(std::make_unique<ServiceStandIn>());
    }
    nodes_.resize(options_.nodes);
    for (std::size_t index = 0; index < options_.nodes; ++index) {
        if (!startNode(index)) {
            return false;
        }
    }
    return true;
}

bool LocalCluster::startNode(std::size_t index)
{
    auto node = Node::start(settingsOf(index));
    if (!node.has_value()) {
        return false;
    }
    const Instant deadline = std::chrono::steady_clock::now() + ReadyTimeout;
    while (!(*node)->ready()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(ReadyPoll);
    }
    nodes_[index] = std::move(*node);
    return true;
}

bool LocalCluster::drainNode(std::size_t index)
{
    return nodes_[index]->drain(DrainTimeout);
}

void LocalCluster::killNode(std::size_t index)
{
    const NodeStatistics statistics = nodes_[index]->statistics();
    stoppedNodeStatistics_.peerBytes += statistics.peerBytes;
    stoppedNodeStatistics_.platformCalls += statistics.platformCalls;
    stoppedNodeStatistics_.controlCpu += statistics.controlCpu;
    nodes_[index].reset();
}

std::string LocalCluster::callerUrl(std::size_t node) const
{
    return nodes_[node] == nullptr
        ? std::string()
        : "http://127.0.0.1:" + std::to_string(nodes_[node]->callerPort());
}

std::string LocalCluster::operatorUrl(std::size_t node) const
{
    return nodes_[node] == nullptr
        ? std::string()
        : "http://127.0.0.1:" + std::to_string(nodes_[node]->operatorPort());
}

std::map<std::string, int> LocalCluster::engineExecutions() const
{
    std::map<std::string, int> sum;
    for (const auto &engine : engines_) {
        for (const auto &[id, count] : engine->executions()) {
            sum[id] += count;
        }
    }
    return sum;
}

std::map<std::string, int> LocalCluster::serviceExecutions() const
{
    std::map<std::string, int> sum;
    for (const auto &service : services_) {
        for (const auto &[key, count] : service->executions()) {
            sum[key] += count;
        }
    }
    return sum;
}

NodeStatistics LocalCluster::statistics() const
{
    NodeStatistics sum = stoppedNodeStatistics_;
    for (const auto &node : nodes_) {
        if (node != nullptr) {
            const NodeStatistics statistics = node->statistics();
            sum.peerBytes += statistics.peerBytes;
            sum.platformCalls += statistics.platformCalls;
            sum.controlCpu += statistics.controlCpu;
            sum.hedges += statistics.hedges;
            sum.retries += statistics.retries;
        }
    }
    return sum;
}

} // namespace jacinthroad
