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
#include "Claims/ClaimBook.h"
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
#include "Node/Traffic.h"
#include "PeerLink/PeerSocket.h"
#include "PlatformClient/PlatformClient.h"
#include "Routing/Dispatcher.h"

namespace jacinthroad {

/// Timeout of a worker thread that waits for the control thread.
inline constexpr Duration OperatorPatience = std::chrono::seconds(12);

/// Waits for a result; empty on a timeout or when the node stops.
template <typename Answer> std::optional<Answer> answerOf(std::future<Answer> &answer)
{
    try {
        if (answer.wait_for(OperatorPatience) == std::future_status::ready) {
            return answer.get();
        }
    } catch (const std::future_error &) {
        // The node stopped before the result was set.
    }
    return std::nullopt;
}

/// The implementation of a Node. Members declared after `control_` are used on the control thread
/// only, unless stated otherwise.
class NodeParts
{
public:
    explicit NodeParts(NodeSettings settings);
    NodeParts(const NodeParts &) = delete;
    NodeParts &operator=(const NodeParts &) = delete;

    /// Stops immediately; call drain() first for a planned stop.
    ~NodeParts();

    /// Opens the sockets and starts serving; the error names what could not be opened.
    Result<void> start();
    /// See Node::drain().
    bool drain(Duration patience);

    std::uint16_t callerPort() const { return callers_->port(); }
    std::uint16_t operatorPort() const { return operators_->port(); }
    std::string peerAddress() const { return peerSocket_->address(); }
    bool ready() const { return traffic_.view.load()->ready; }
    bool draining() const { return traffic_.view.load()->draining; }
    NodeFigures figures();

private:
    /// Runs a query on the control thread and waits for its result; empty on a timeout or when the
    /// node stops.
    template <typename Answer> std::optional<Answer> ask(std::function<Answer(Instant)> question)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        auto answer = promise->get_future();
        control_.post(ControlTask([promise, question = std::move(question)](Instant now) {
            promise->set_value(question(now));
        }));
        return answerOf(answer);
    }

    Result<void> listen();
    void startTimers();
    CallerApi::Events callerEvents();
    OperatorActions operatorActions();

    void handle(const ControlMessage &message, Instant now);
    void apply(const std::vector<DispatcherEffect> &effects);
    void apply(const std::vector<ClaimEffect> &effects);
    void apply(const std::vector<PatchLogEffect> &effects);
    void carryOut(const StartAttempt &effect);
    void carryOut(const CancelAttempt &effect);
    void carryOut(const RefuseRequest &effect);
    void carryOut(const RequestFinished &effect);
    void carryOut(const RequestAbandoned &effect);
    void carryOut(const ObjectiveObserved &effect);

    void arrive(const RequestId &id, const std::shared_ptr<ModelSession> &session,
                RequestArrived arrived, Instant now);
    std::uint32_t teamLimit(const RequestArrived &arrived, Instant now) const;
    void publishView();
    void reconfigure();
    void onListed(bool empty);
    void peerRound(Instant now);
    void takePeerMessage(const PeerMessage &message, Instant now);
    void fetchFromPeer(const PeerIdentity &peer, Instant now);
    void sweep(Instant now);
    std::size_t openWork() const;

    Json::Value statusJson(Instant now) const;
    Json::Value computeJson() const;
    Json::Value historyJson() const;
    Json::Value burnJson(Instant now) const;
    Result<Json::Value> submitPatch(const Json::Value &parameters);

    NodeSettings settings_;
    std::uint64_t incarnation_;
    std::uint64_t seed_;
    ControlLoop control_;
    Traffic traffic_;

    Dispatcher dispatcher_;
    ClaimBook claims_;
    PatchLog patches_;
    NodeMetrics metrics_;
    BurnTracker burn_;
    std::unique_ptr<HttpClient> platformHttp_;
    std::unique_ptr<PlatformClient> platform_;
    std::unique_ptr<PlatformSync> sync_;
    std::unique_ptr<PeerExchange> peers_;
    std::unordered_map<RequestId, std::shared_ptr<ModelSession>> modelSessions_;
    std::unordered_map<RequestId, std::shared_ptr<ServiceSession>> serviceSessions_;
    std::map<ServerId, std::string> urls_;
    std::set<std::string> leaving_;
    std::shared_ptr<const Configuration> configuration_ = std::make_shared<const Configuration>();
    bool draining_ = false;
    Instant nextPeerFetch_;
    SubmissionToken lastToken_ = 0;
    std::map<SubmissionToken, std::shared_ptr<std::promise<Result<Json::Value>>>> submissions_;

    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<OperatorApi> operatorApi_;
    std::unique_ptr<PeerSocket> peerSocket_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> operators_;
};

} // namespace jacinthroad
