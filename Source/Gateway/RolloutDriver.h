#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/ListedServer.h"
#include "Gateway/ControlClient.h"
#include "Gateway/StoreClient.h"
#include "Placement/ServerStatements.h"
#include "Rollout/LeaseKeeper.h"
#include "Rollout/RolloutPlanner.h"
#include "platform/Orders.h"

namespace jacinthroad {

/// Orders servers to load the desired weights, on the one node that holds the lease. Used by the
/// control thread only.
class RolloutDriver
{
public:
    struct Options
    {
        std::string node;
        /// Start time of this process in Unix milliseconds.
        std::int64_t boot = 0;
        /// The address on which this process listens for other nodes; empty if there is none.
        std::string address {};
        /// Minimum time between the last order of one holder and the first of the next.
        Duration lease;
    };
    /// Called to cordon a server until it runs `version` or the duration has passed; a duration of
    /// zero uncordons it.
    using CordonServer
        = std::function<void(const ServerId &, const ModelId &, WeightsVersion, Duration)>;
    /// Called when a server is known to run a version.
    using UncordonServer = std::function<void(const ServerId &, const ModelId &, WeightsVersion)>;

    /// Called with the ages of the desired weights from the lease record.
    using DesiredAgesHandler = std::function<void(const std::vector<DesiredWeightsAge> &)>;

    /// Called with what the response of a server to a status report or an order stated.
    using StatementHandler = std::function<void(const ServerInstance &, const ServerStatement &)>;

    RolloutDriver(boost::asio::io_context &context, StoreClient &store, Options options,
                  CordonServer cordonServer, UncordonServer uncordonServer,
                  DesiredAgesHandler desiredAgesHandler, StatementHandler statementHandler);

    /// Runs until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Replaces the known servers by the platform's list.
    void applyServers(const std::vector<ListedServer> &servers);
    /// Applies the desired weights of one model.
    void applyDesiredWeights(const DesiredWeights &named);
    /// Merges the ages of desired weights that this node has learned.
    void mergeDesiredAges(std::span<const DesiredWeightsAge> ages);
    /// Returns since when this node knows weights to be desired.
    [[nodiscard]] std::vector<DesiredWeightsAge> desiredAges() const;
    /// Records that this process listens on its address, so that a former one has ended.
    void noteOnlyProcess() { lease_.noteOnlyProcess(); }
    /// Notes the version of a model's weights that a response reported for a server.
    void noteVersion(const ServerId &id, const ModelId &model, WeightsVersion version);
    /// Notes how many requests of this node run on a server.
    void noteInFlight(const ServerId &id, unsigned inFlight);
    /// Notes whether the statements of a server allow calls to it.
    void notePermission(const ServerId &id, const SendPermission &permission);
    /// Sets whether this node requests the lease; a node that holds it keeps it.
    void setCandidate(bool candidate) { candidate_ = candidate; }
    /// Called when the node begins to stop: it keeps a lease that it holds but requests none.
    void beginDrain() { draining_ = true; }
    /// Called right before the node stops: releases the lease.
    void releaseLease() { leaseReleased_ = true; }

private:
    [[nodiscard]] boost::asio::awaitable<void> step();
    /// Logs why this node waits for the lease, once for each reason and holder.
    void logLeaseWait(BootInstant now);
    [[nodiscard]] boost::asio::awaitable<void> readLeaseObject();
    void applyLeaseObject(const Json::Value &spec, std::uint64_t revision);
    /// Lets the lease follow the era of the store, which any response may have changed.
    void followEra();
    [[nodiscard]] boost::asio::awaitable<void> writeLease(bool wanted);
    [[nodiscard]] boost::asio::awaitable<void> executeOrder(RolloutStep step);
    [[nodiscard]] boost::asio::awaitable<OrderOutcome>
    sendOrder(ControlClient &caller, const RolloutStep &step, platform::ServerReport state);
    /// Uncordons the server if it reports the step's version or a newer one, and returns that
    /// version.
    std::optional<WeightsVersion> uncordonIfLoaded(const platform::ServerReport &report,
                                                   const RolloutStep &step);
    [[nodiscard]] boost::asio::awaitable<void> awaitLoad(ControlClient &caller,
                                                         const RolloutStep &step);
    /// Polls a server whose order got no response until it starts loading, another order is sent or
    /// the time in which it may still start has passed.
    [[nodiscard]] boost::asio::awaitable<void>
    awaitLateStart(ControlClient &caller, const RolloutStep &step, unsigned number);
    [[nodiscard]] boost::asio::awaitable<Result<platform::ServerReport>>
    fetchReport(ControlClient &caller, ServerInstance server);
    void noteStatement(const ServerInstance &server, const CallResponse &response);
    /// The start of a server that is listed now; empty if it isn't listed any more.
    [[nodiscard]] ServerInstance instanceOf(const ServerId &id) const;
    /// True if the statements of a server keep calls from it.
    [[nodiscard]] bool withheld(const ServerId &id) const { return withheld_.contains(id); }
    [[nodiscard]] std::vector<RolloutServer> plannerServers() const;
    [[nodiscard]] Duration orderMargin() const;

    boost::asio::io_context &context_;
    StoreClient &store_;
    Options options_;
    CordonServer cordonServer_;
    UncordonServer uncordonServer_;
    DesiredAgesHandler desiredAgesHandler_;
    StatementHandler statementHandler_;
    LeaseKeeper lease_;
    RolloutPlanner planner_;
    std::map<ServerId, ListedServer> servers_;
    std::map<ServerId, std::map<ModelId, WeightsVersion>> observedVersions_;
    std::map<ServerId, unsigned> inFlight_;
    std::set<ServerId> withheld_;
    /// Number of orders that this node has sent to each server.
    std::map<ServerId, unsigned> orderCounts_;
    std::map<ModelId, WeightsVersion> desired_;
    DesiredWeightsHistory history_;
    bool holdsLease_ = false;
    bool draining_ = false;
    bool leaseReleased_ = false;
    /// When this node starts to request the lease; differs between nodes.
    BootInstant requestFrom_;
    bool leaseWanted_ = false;
    /// The wait that was logged last, and whose record caused it.
    std::optional<LeaseWait> loggedWait_;
    std::string loggedHolder_;
    bool candidate_ = true;
    /// Whether the lease object has been read, and when it was last requested.
    bool leaseRead_ = false;
    std::optional<BootInstant> leaseReadAt_;
    /// The spec of the lease object as it was last read or written; null if there is none.
    Json::Value storedLease_;
};

} // namespace jacinthroad
