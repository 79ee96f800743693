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

/// The state of a server that the planner needs.
struct RolloutServer
{
    ServerId id;
    ModelId model;
    WeightsVersion version = 0;
    std::int64_t bootedAt = 0;
    bool leaving = false;
    /// Requests in flight on it that this node knows of.
    unsigned inFlight = 0;
};

/// A step of a rollout, to be carried out by the caller.
struct RolloutStep
{
    enum class Action : std::uint8_t {
        /// Send no new work to the server; a load order follows.
        Drain,
        /// Order the server to load the weights.
        Order,
    };

    Action action = Action::Drain;
    ServerId server;
    ModelId model;
    WeightsVersion version = 0;
};

/// The outcome of an order to load weights.
enum class OrderOutcome : std::uint8_t { Accepted, AlreadyLoaded, Rejected, Unknown };

/// Decides which servers load the desired weights and when. Few servers load at once; those with
/// the oldest weights come first, then the least busy, and each is drained shortly before its
/// order. Outdated weights are never ordered. Does no I/O; the caller passes the time and carries
/// out the steps.
class RolloutPlanner
{
public:
    struct Options
    {
        /// Share of a model's servers that may load at once; rounded, but at least one server.
        double concurrentLoadShare = 1.0 / 6;
        /// Number of servers that are drained in advance, in addition to those that may load.
        unsigned drainAhead = 1;
        /// Time for requests in flight to finish before an order.
        Duration drainTime = milliseconds(300);
        /// Time after which a load that was not confirmed counts as failed.
        Duration loadTimeout = std::chrono::seconds(8);
        /// Delay before a retry after an order was rejected or got no response.
        Duration rejectedOrderDelay = milliseconds(1300);
    };

    explicit RolloutPlanner(const Options &options);

    /// Returns true while a server has older weights than desired.
    [[nodiscard]] static bool hasOutdatedServers(std::span<const RolloutServer> servers,
                                                 const std::map<ModelId, WeightsVersion> &desired);
    /// Returns the steps to carry out now.
    [[nodiscard]] std::vector<RolloutStep> plan(std::span<const RolloutServer> servers,
                                                const std::map<ModelId, WeightsVersion> &desired,
                                                Instant now);
    /// Records the outcome of an order.
    void noteOrderOutcome(const ServerId &server, OrderOutcome outcome, Instant now);
    /// Discards all progress, as when another node has taken over the rollout.
    void reset() { progress_.clear(); }

private:
    enum class Stage : std::uint8_t { Draining, Ordered, Loading, Paused };

    struct Progress
    {
        Stage stage = Stage::Draining;
        ModelId model;
        WeightsVersion target = 0;
        std::int64_t bootedAt = 0;
        Instant since;
    };

    void removeFinished(std::span<const RolloutServer> servers, Instant now);
    void planModel(const ModelId &model, WeightsVersion target,
                   std::span<const RolloutServer> servers, Instant now,
                   std::vector<RolloutStep> &steps);

    Options options_;
    /// A server loads the weights of one model at a time.
    std::unordered_map<ServerId, Progress> progress_;
};

} // namespace jacinthroad
