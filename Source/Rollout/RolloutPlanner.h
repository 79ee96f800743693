#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "Fleet/ListedServer.h"

namespace jacinthroad {

/// One server as the planner sees it.
struct RolloutServer
{
    ServerId id;
    ModelId model;
    WeightsVersion version = 0;
    std::int64_t bootedAt = 0;
    bool leaving = false;
    /// Requests that run on it, as far as this node knows.
    unsigned inFlight = 0;
};

/// A step that the planner asks for.
struct RolloutStep
{
    enum class Action : std::uint8_t {
        /// Take new work off the server; its order follows.
        Drain,
        /// Order the load.
        Order,
    };

    Action action = Action::Drain;
    ServerId server;
    ModelId model;
    WeightsVersion version = 0;
};

/// How an order ended.
enum class OrderOutcome : std::uint8_t { Accepted, AlreadyLoaded, Rejected, Unknown };

/// Decides which servers load named weights, and when: few at once, the oldest weights first, then
/// the least busy, each emptied shortly before its order. Weights that newer ones have replaced
/// are never ordered. Pure: time and messages in, steps out.
class RolloutPlanner
{
public:
    struct Options
    {
        /// Servers of a model that load at once, as a share of all; at least one.
        double concurrentLoadShare = 1.0 / 6;
        /// Servers that are emptied ahead of a free place.
        unsigned drainAhead = 1;
        /// Time for running requests to end before an order.
        Duration drainTime = milliseconds(300);
        /// A load that nothing confirms is given up after this time.
        Duration loadTimeout = std::chrono::seconds(8);
        /// Pause after an order that was refused or not answered.
        Duration rejectedOrderDelay = milliseconds(1300);
    };

    explicit RolloutPlanner(const Options &options);

    /// True while a server has older weights than those named.
    [[nodiscard]] static bool hasOutdatedServers(std::span<const RolloutServer> servers,
                                                 const std::map<ModelId, WeightsVersion> &desired);
    /// The steps to take now.
    [[nodiscard]] std::vector<RolloutStep> plan(std::span<const RolloutServer> servers,
                                                const std::map<ModelId, WeightsVersion> &desired,
                                                Instant now);
    /// Takes the end of an order.
    void noteOrderOutcome(const ServerId &server, OrderOutcome outcome, Instant now);
    /// Forgets what is under way, as when another node has taken over.
    void reset() { progress_.clear(); }

private:
    enum class Stage : std::uint8_t { Draining, Ordered, Loading, Paused };

    struct Progress
    {
        Stage stage = Stage::Draining;
        WeightsVersion target = 0;
        std::int64_t bootedAt = 0;
        Instant since;
    };

    void forgetFinished(std::span<const RolloutServer> servers, Instant now);
    void planModel(const ModelId &model, WeightsVersion target,
                   std::span<const RolloutServer> servers, Instant now,
                   std::vector<RolloutStep> &steps);

    Options options_;
    std::unordered_map<ServerId, Progress> progress_;
};

} // namespace jacinthroad
