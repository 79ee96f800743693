#include "Load/Bench.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr Duration ReadyPatience = std::chrono::seconds(10);
constexpr Duration ReadyPoll = milliseconds(5);
constexpr Duration DrainPatience = std::chrono::seconds(20);
constexpr double UsualTickMs = 10;
constexpr double UsualStallMs = 4000;
constexpr double UsualHedgeMs = 600;
constexpr double UsualPeerIntervalMs = 200;
constexpr double UsualVmPollMs = 1000;
constexpr double UsualReportLagMs = 1000;
constexpr double UsualDrainLagMs = 1000;

Duration scaled(double ms, double scale)
{
    return std::max<Duration>(milliseconds(1), fromMilliseconds(ms / scale));
}

} // namespace

Bench::Bench(BenchOptions options)
    : options_(std::move(options))
{
    if (options_.engines == 0) {
        options_.engines = options_.profile.engines;
    }
}

Bench::~Bench()
{
    nodes_.clear();
}

std::string Bench::engineName(std::size_t index)
{
    return "runner-" + std::to_string(index);
}

std::string Bench::teamKey(std::size_t team)
{
    return "key-of-" + teamName(team);
}

std::string Bench::operatorKey()
{
    return "operators-key-of-the-bench";
}

Json::Value Bench::configurationJson() const
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
    const EngineStandInOptions usual;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        Json::Value &server = body["backend_servers"][engineName(index)];
        server["zone"] = std::string(profile.zones[index % profile.zones.size()]);
        server["url"] = engines_[index]->url();
        server["model"] = std::string(profile.model);
        server["slots"] = profile.slots;
        server["prefill_tokens_per_s"] = usual.prefillTokensPerMs * MillisecondsPerSecond * scale;
    }
    for (const auto &service : services_) {
        body["services"][std::string(profile.service)]["urls"].append(service->url());
    }
    return body;
}

NodeSettings Bench::settingsOf(std::size_t node) const
{
    const Profile &profile = options_.profile;
    const double scale = options_.timeScale;
    return {
        .name = "entry-" + std::to_string(node),
        .zone = std::string(profile.zones[node % profile.zones.size()]),
        .platformUrl = platform_.url(),
        .vmPoll = scaled(UsualVmPollMs, scale),
        .peers = peerAddresses(),
        .peerKey = "peer-key-of-the-bench",
        .peerInterval = scaled(UsualPeerIntervalMs, scale),
        .peerBytesPerSecond = static_cast<std::uint32_t>(options_.peerBytesPerSecond * scale),
        .sampleOneIn = options_.sampleOneIn,
        .operatorKeySha256 = sha256Hex(operatorKey()),
        .policy = options_.policy,
        .tick = scaled(UsualTickMs, scale),
        .stallMinimum = scaled(UsualStallMs, scale),
        .hedgeMinimum = scaled(UsualHedgeMs, scale),
        .drainLag = scaled(UsualDrainLagMs, scale),
        .configuration = configurationJson(),
    };
}

std::vector<std::string> Bench::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &node : nodes_) {
        if (node != nullptr) {
            addresses.push_back(node->peerAddress());
        }
    }
    return addresses;
}

bool Bench::start()
{
    const Profile &profile = options_.profile;
    for (std::size_t index = 0; index < options_.engines; ++index) {
        engines_.push_back(std::make_unique<EngineStandIn>(
            EngineStandInOptions { .name = engineName(index),
                                   .model = std::string(profile.model),
                                   .timeScale = options_.timeScale,
                                   .slots = profile.slots,
                                   .cacheBlocks = profile.cacheBlocks,
                                   .reportLagMs = UsualReportLagMs,
                                   .computeTracker = &judge_ }));
        engines_.back()->start();
        platform_.setVm(engineName(index), "live");
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

bool Bench::startNode(std::size_t index)
{
    auto node = Node::start(settingsOf(index));
    if (!node.has_value()) {
        return false;
    }
    const Instant deadline = std::chrono::steady_clock::now() + ReadyPatience;
    while (!(*node)->ready()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(ReadyPoll);
    }
    nodes_[index] = std::move(*node);
    return true;
}

bool Bench::drainNode(std::size_t index)
{
    return nodes_[index]->drain(DrainPatience);
}

void Bench::killNode(std::size_t index)
{
    const NodeStatistics figures = nodes_[index]->statistics();
    stopped_.peerBytes += figures.peerBytes;
    stopped_.platformCalls += figures.platformCalls;
    stopped_.controlCpu += figures.controlCpu;
    nodes_[index].reset();
}

std::string Bench::callerUrl(std::size_t node) const
{
    return nodes_[node] == nullptr
        ? std::string()
        : "http://127.0.0.1:" + std::to_string(nodes_[node]->callerPort());
}

std::string Bench::operatorUrl(std::size_t node) const
{
    return nodes_[node] == nullptr
        ? std::string()
        : "http://127.0.0.1:" + std::to_string(nodes_[node]->operatorPort());
}

std::map<std::string, int> Bench::engineExecutions() const
{
    std::map<std::string, int> sum;
    for (const auto &engine : engines_) {
        for (const auto &[id, count] : engine->executions()) {
            sum[id] += count;
        }
    }
    return sum;
}

std::map<std::string, int> Bench::serviceExecutions() const
{
    std::map<std::string, int> sum;
    for (const auto &service : services_) {
        for (const auto &[key, count] : service->executions()) {
            sum[key] += count;
        }
    }
    return sum;
}

NodeStatistics Bench::figures() const
{
    NodeStatistics sum = stopped_;
    for (const auto &node : nodes_) {
        if (node != nullptr) {
            const NodeStatistics figures = node->statistics();
            sum.peerBytes += figures.peerBytes;
            sum.platformCalls += figures.platformCalls;
            sum.controlCpu += figures.controlCpu;
            sum.hedges += figures.hedges;
            sum.retries += figures.retries;
        }
    }
    return sum;
}

} // namespace jacinthroad
