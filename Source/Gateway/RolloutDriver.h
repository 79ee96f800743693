#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/ListedServer.h"
#include "Gateway/HttpCaller.h"
#include "Gateway/StoreClient.h"
#include "Rollout/LeaseKeeper.h"
#include "Rollout/RolloutPlanner.h"
#include "platform/Orders.h"

namespace jacinthroad {

/// Brings servers to the weights that operators have named, on the one node that holds the lease.
/// Belongs to the control thread.
class RolloutDriver
{
public:
    struct Options
    {
        std::string node;
        /// Start of this process, Unix milliseconds.
        std::int64_t boot = 0;
        /// Time between the orders of two holders.
        Duration lease;
    };
    /// Called when a server is to get no new work until it runs `version` or the time is over; no
    /// time opens it again.
    using CloseServer
        = std::function<void(const ServerId &, const ModelId &, WeightsVersion, Duration)>;
    /// Called when a server has been seen to run a version.
    using OpenServer = std::function<void(const ServerId &, const ModelId &, WeightsVersion)>;

    /// Called with what the lease record tells of when weights were named.
    using TakeNamedAges = std::function<void(const std::vector<DesiredWeightsAge> &)>;

    RolloutDriver(boost::asio::io_context &context, StoreClient &store, Options options,
                  CloseServer closeServer, OpenServer openServer, TakeNamedAges takeNamedAges);

    /// Works until the context stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Takes the servers as the platform lists them.
    void applyServers(const std::vector<ListedServer> &servers);
    /// Takes weights that operators have named.
    void applyNamedWeights(const DesiredWeights &named);
    /// Takes what an answer told of a server's weights, and the requests that run on it.
    void noteServer(const ServerId &id, const ModelId &model, WeightsVersion version);
    /// Takes this node's count of requests on a server.
    void noteInFlight(const ServerId &id, unsigned inFlight);
    /// Whether this node asks for the lease; one that has it keeps it.
    void setCandidate(bool candidate) { candidate_ = candidate; }
    /// The node is about to stop: a lease that it holds is kept, but none is taken.
    void stop() { stopping_ = true; }
    /// The node stops now: gives the lease up.
    void finish() { finished_ = true; }

private:
    [[nodiscard]] boost::asio::awaitable<void> step();
    [[nodiscard]] boost::asio::awaitable<void> readLeaseObject();
    void observe(const std::optional<LeaseRecord> &record, std::uint64_t revision);
    [[nodiscard]] boost::asio::awaitable<void> writeLease(bool wanted);
    [[nodiscard]] boost::asio::awaitable<void> order(RolloutStep step);
    [[nodiscard]] boost::asio::awaitable<OrderOutcome>
    give(HttpCaller &caller, const RolloutStep &step, platform::ServerReport state);
    /// Opens the server where it reports the step's weights or newer ones, and returns which.
    std::optional<WeightsVersion> takeLoaded(const platform::ServerReport &report,
                                             const RolloutStep &step);
    [[nodiscard]] boost::asio::awaitable<void> awaitLoad(HttpCaller &caller,
                                                         const RolloutStep &step);
    /// Watches a server whose order got no answer until it begins, another is given or the time in
    /// which it may begin is over.
    [[nodiscard]] boost::asio::awaitable<void>
    awaitLateStart(HttpCaller &caller, const RolloutStep &step, unsigned number);
    [[nodiscard]] static boost::asio::awaitable<Result<platform::ServerReport>>
    report(HttpCaller &caller);
    [[nodiscard]] std::vector<RolloutServer> view() const;
    [[nodiscard]] Duration orderMargin() const;

    boost::asio::io_context &context_;
    StoreClient &store_;
    Options options_;
    CloseServer closeServer_;
    OpenServer openServer_;
    TakeNamedAges takeNamedAges_;
    LeaseKeeper lease_;
    RolloutPlanner planner_;
    std::map<ServerId, ListedServer> servers_;
    std::map<ServerId, std::map<ModelId, WeightsVersion>> seen_;
    std::map<ServerId, unsigned> inFlight_;
    /// Orders given to each server by this node.
    std::map<ServerId, unsigned> orders_;
    std::map<ModelId, WeightsVersion> named_;
    DesiredWeightsHistory history_;
    bool held_ = false;
    bool stopping_ = false;
    bool finished_ = false;
    /// From when on this node asks for the lease; nodes ask at different times.
    BootInstant askFrom_;
    bool wanted_ = false;
    bool candidate_ = true;
    /// Whether the lease object has been read, and when it was last asked for.
    bool leaseRead_ = false;
    std::optional<BootInstant> leaseReadAt_;
};

} // namespace jacinthroad
