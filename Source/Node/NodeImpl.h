#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Burn/BurnReport.h"
#include "Burn/BurnTracker.h"
#include "Claims/ClaimCoordinator.h"
#include "Configuration/PatchLog.h"
#include "Core/Hashing.h"
#include "Core/Json.h"
#include "Core/Log.h"
#include "Core/Overloaded.h"
#include "Core/WallClock.h"
#include "Http/HttpServer.h"
#include "Node/CallerApi.h"
#include "Node/ControlLoop.h"
#include "Node/ModelSession.h"
#include "Node/Node.h"
#include "Node/NodeMetrics.h"
#include "Node/NodeSettings.h"
#include "Node/OperatorApi.h"
#include "Node/PeerExchange.h"
#include "Node/PlatformSync.h"
#include "Node/ServiceSession.h"
#include "Node/TrafficContext.h"
#include "PeerLink/PeerSocket.h"
#include "PlatformClient/PlatformClient.h"
#include "Routing/Dispatcher.h"

namespace jacinthroad {

/// Timeout of a worker thread that waits for the control thread.
inline constexpr Duration ControlThreadTimeout = std::chrono::seconds(12);

/// Waits for a result; empty on a timeout or when the node stops.
template <typename QueryResult>
std::optional<QueryResult> waitForResult(std::future<QueryResult> &result)
{
    try {
        if (result.wait_for(ControlThreadTimeout) == std::future_status::ready) {
            return result.get();
        }
    } catch (const std::future_error &) {
        // The node stopped before the result was set.
    }
    return std::nullopt;
}

/// The implementation of a Node. Members declared after `control_` are used on the control thread
/// only, unless stated otherwise.
class NodeImpl
{
public:
    explicit NodeImpl(NodeSettings settings);
    NodeImpl(const NodeImpl &) = delete;
    NodeImpl &operator=(const NodeImpl &) = delete;

    /// Stops immediately; call drain() first for a planned stop.
    ~NodeImpl();

    /// Opens the sockets and starts serving; the error names what could not be opened.
    Result<void> start();
    /// See Node::drain().
    bool drain(Duration drainTimeout);

    std::uint16_t callerPort() const { return callers_->port(); }
    std::uint16_t operatorPort() const { return operators_->port(); }
    std::string peerAddress() const { return peerSocket_->address(); }
    bool ready() const { return traffic_.snapshot.load()->ready; }
    bool draining() const { return traffic_.snapshot.load()->draining; }
    NodeStatistics statistics();

private:
    /// Runs a query on the control thread and waits for its result; empty on a timeout or when the
    /// node stops.
    template <typename QueryResult>
    std::optional<QueryResult> runQuery(std::function<QueryResult(Instant)> query)
    {
        auto promise = std::make_shared<std::promise<QueryResult>>();
        auto result = promise->get_future();
        control_.post(ControlTask(
            [promise, query = std::move(query)](Instant now) { promise->set_value(query(now)); }));
        return waitForResult(result);
    }

    Result<void> listen();
    void startTimers();
    CallerApi::Events callerEvents();
    OperatorActions operatorActions();

    void handle(const ControlMessage &message, Instant now);
    void apply(const std::vector<DispatcherEffect> &effects);
    void apply(const std::vector<ClaimEffect> &effects);
    void apply(const std::vector<PatchLogEffect> &effects);
    void execute(const StartAttempt &effect);
    void execute(const CancelAttempt &effect);
    void execute(const RefuseRequest &effect);
    void execute(const RequestFinished &effect);
    void execute(const RequestAbandoned &effect);
    void execute(const ObjectiveObserved &effect);

    void onRequestArrived(const RequestId &id, const std::shared_ptr<ModelSession> &session,
                          RequestArrived arrived, Instant now);
    std::uint32_t teamLimit(const RequestArrived &arrived, Instant now) const;
    void publishView();
    void configureDispatcher();
    void onPatchesListed(bool empty);
    void sendPeerDatagrams(Instant now);
    void handlePeerMessage(const PeerMessage &message, Instant now);
    void fetchPatchesFromPeer(const PeerIdentity &peer, Instant now);
    void checkSessions(Instant now);
    std::size_t pendingWorkCount() const;

    Json::Value statusJson(Instant now) const;
    Json::Value computeJson() const;
    Json::Value historyJson() const;
    Json::Value burnRatesJson(Instant now) const;
    Result<Json::Value> submitPatch(const Json::Value &parameters);

    NodeSettings settings_;
    std::uint64_t incarnation_;
    std::uint64_t seed_;
    ControlLoop control_;
    TrafficContext traffic_;

    Dispatcher dispatcher_;
    ClaimCoordinator claims_;
    PatchLog patches_;
    NodeMetrics metrics_;
    BurnTracker burn_;
    std::unique_ptr<HttpClient> platformHttp_;
    std::unique_ptr<PlatformClient> platform_;
    std::unique_ptr<PlatformSync> sync_;
    std::unique_ptr<PeerExchange> peers_;
    std::unordered_map<RequestId, std::shared_ptr<ModelSession>> modelSessions_;
    std::unordered_map<RequestId, std::shared_ptr<ServiceSession>> serviceSessions_;
    std::map<ServerId, std::string> serverUrls_;
    std::set<std::string> leavingVms_;
    std::shared_ptr<const Configuration> configuration_ = std::make_shared<const Configuration>();
    bool draining_ = false;
    Instant nextPeerFetchAt_;
    SubmissionToken lastToken_ = 0;
    std::map<SubmissionToken, std::shared_ptr<std::promise<Result<Json::Value>>>> submissions_;

    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<OperatorApi> operatorApi_;
    std::unique_ptr<PeerSocket> peerSocket_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> operators_;
};

} // namespace jacinthroad
