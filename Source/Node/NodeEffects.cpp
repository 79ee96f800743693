#include "Node/NodeImpl.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jacinthroad {

namespace {

/// Maximum size in bytes of the patches that a peer sends at a time.
constexpr std::size_t MaximumPatchesBytes = 16 * 1024 * 1024;
constexpr Duration MinimumPeerFetchInterval = milliseconds(300);

} // namespace

std::uint32_t NodeImpl::teamLimit(const RequestArrived &arrived, Instant now) const
{
    // A node may always use an equal share of the limit, and more if the peers use less than
    // theirs. A node without contact still divides by all peers in its table, which includes those
    // that have stopped responding but aren't removed yet.
    const auto nodes
        = static_cast<double>(std::max<std::size_t>(1, peers_->table().peers().size() + 1));
    const double share = std::max(1.0, arrived.teamLimit / nodes);
    const double usedByPeers = peers_->teamRequestsAtPeers(arrived.info.team, now);
    const double remaining = static_cast<double>(arrived.teamLimit) - usedByPeers;
    return static_cast<std::uint32_t>(std::max(share, remaining));
}

void NodeImpl::onRequestArrived(const RequestId &id, const std::shared_ptr<ModelSession> &session,
                                RequestArrived arrived, Instant now)
{
    modelSessions_[id] = session;
    arrived.teamLimit = teamLimit(arrived, now);
    apply(dispatcher_.handle(std::move(arrived), now));
}

void NodeImpl::handle(const ControlMessage &message, Instant now)
{
    std::visit(Overloaded {
                   [&](const DispatcherMessage &m) { apply(dispatcher_.handle(m, now)); },
                   [&](const ClaimMessage &m) { apply(claims_.handle(m, now)); },
                   [&](const PatchLogMessage &m) { apply(patches_.handle(m, now)); },
                   [&](const PeerMessage &m) { handlePeerMessage(m, now); },
                   [&](const ControlTask &task) { task(now); },
               },
               message);
}

void NodeImpl::apply(const std::vector<DispatcherEffect> &effects)
{
    for (const DispatcherEffect &effect : effects) {
        std::visit([this](const auto &typed) { execute(typed); }, effect);
    }
}

void NodeImpl::execute(const StartAttempt &effect)
{
    const auto session = modelSessions_.find(effect.id);
    const auto url = serverUrls_.find(effect.server);
    if (session == modelSessions_.end() || url == serverUrls_.end()) {
        control_.postDispatcher(AttemptEnded {
            .id = effect.id, .attempt = effect.attempt, .end = AttemptEnd::NotSent });
        return;
    }
    session->second->startAttempt(effect, url->second);
}

void NodeImpl::execute(const CancelAttempt &effect)
{
    if (const auto session = modelSessions_.find(effect.id); session != modelSessions_.end()) {
        session->second->cancelAttempt(effect.attempt);
    }
}

void NodeImpl::execute(const RefuseRequest &effect)
{
    if (const auto session = modelSessions_.find(effect.id); session != modelSessions_.end()) {
        session->second->refuse(effect);
        modelSessions_.erase(session);
    }
    logLine(LogLevel::Debug, "request_refused",
            { { "request_id", effect.id.text() },
              { "kind", errorResponse(effect.kind).name },
              { "not_run", notRunName(effect.notRun) } });
}

void NodeImpl::execute(const RequestFinished &effect)
{
    modelSessions_.erase(effect.id);
}

void NodeImpl::execute(const RequestAbandoned &effect)
{
    modelSessions_.erase(effect.id);
}

void NodeImpl::execute(const ObjectiveObserved &effect)
{
    burn_.recordEvent(effect.team, effect.model, effect.objective, effect.met,
                      std::chrono::steady_clock::now());
}

void NodeImpl::apply(const std::vector<ClaimEffect> &effects)
{
    const auto takeSession = [this](const RequestId &id) {
        const auto found = serviceSessions_.find(id);
        if (found == serviceSessions_.end()) {
            return std::shared_ptr<ServiceSession>();
        }
        auto session = std::move(found->second);
        serviceSessions_.erase(found);
        return session;
    };
    for (const ClaimEffect &effect : effects) {
        std::visit(Overloaded {
                       [&](const ReadShard &e) { sync_->readShard(e); },
                       [&](const WriteShard &e) { sync_->writeShard(e); },
                       [&](const RunCall &e) {
                           if (const auto session = takeSession(e.id)) {
                               session->run();
                           }
                       },
                       [&](const ReplayResponse &e) {
                           if (const auto session = takeSession(e.id)) {
                               session->replay(e.storedResponse);
                           }
                       },
                       [&](const RejectCall &e) {
                           if (const auto session = takeSession(e.id)) {
                               session->refuse(e);
                           }
                       },
                   },
                   effect);
    }
}

void NodeImpl::apply(const std::vector<PatchLogEffect> &effects)
{
    const auto completeSubmission = [this](SubmissionToken token, Result<Json::Value> result) {
        const auto found = submissions_.find(token);
        if (found != submissions_.end()) {
            found->second->set_value(std::move(result));
            submissions_.erase(found);
        }
    };
    for (const PatchLogEffect &effect : effects) {
        std::visit(
            Overloaded {
                [&](const CreatePatchObject &e) { sync_->createPatch(e); },
                [&](const ReadPatchObject &e) { sync_->readPatch(e); },
                [&](const ConfigurationActivated &e) {
                    configuration_ = e.configuration;
                    peers_->setConfigurationVersion(configuration_->version);
                    configureDispatcher();
                    publishView();
                    logLine(LogLevel::Info, "configuration_in_force",
                            { { "node", settings_.name },
                              { "version", static_cast<std::int64_t>(configuration_->version) } });
                },
                [&](const PatchAccepted &e) {
                    Json::Value result;
                    result["version"] = Json::UInt64(e.version);
                    completeSubmission(e.token, std::move(result));
                },
                [&](const PatchRejected &e) {
                    completeSubmission(e.token, tl::make_unexpected(e.error));
                },
                [&](const PlatformVersionRegressed &e) {
                    logLine(LogLevel::Error, "platform_went_back",
                            { { "in_force", static_cast<std::int64_t>(e.activeVersion) },
                              { "platform", static_cast<std::int64_t>(e.platformVersion) } });
                },
            },
            effect);
    }
}

void NodeImpl::publishView()
{
    traffic_.snapshot = std::make_shared<const NodeSnapshot>(
        NodeSnapshot { .configuration = configuration_,
                       .draining = draining_,
                       .ready = configuration_->version > 0 });
}

void NodeImpl::configureDispatcher()
{
    std::vector<ServerInfo> servers;
    std::map<ModelId, ModelSettings> modelSettings;
    constexpr double MillisecondsPerSecond = 1000;
    for (const auto &[id, server] : configuration_->servers) {
        serverUrls_[id] = server.url;
        servers.push_back(
            { .id = id,
              .zone = server.zone,
              .model = server.model,
              .slots = server.slots,
              .prefillTokensPerMs = server.prefillTokensPerSecond / MillisecondsPerSecond,
              .leaving = leavingVms_.contains(id.text()) });
    }
    for (const auto &[id, model] : configuration_->models) {
        modelSettings[id] = { .blockTokens = model.blockTokens,
                              .recomputePriceMsPerToken = model.recomputePriceMsPerToken,
                              .firstTokenTargetMs = model.firstTokenTargetMs,
                              .firstTokenLimitMs = model.firstTokenLimitMs,
                              .tokenGapTargetMs = model.tokenGapTargetMs };
    }
    dispatcher_.configure(servers, modelSettings);
}

void NodeImpl::sendPeerDatagrams(Instant now)
{
    for (const NodeId &removedPeer : peers_->table().removeSilentPeers(now)) {
        dispatcher_.dropPeer(removedPeer);
        logLine(LogLevel::Warning, "peer_gone", { { "peer", removedPeer.text() } });
    }
    for (const PeerDatagram &datagram : peers_->nextDatagrams(dispatcher_, now)) {
        peerSocket_->send(datagram.target, datagram.bytes);
    }
}

void NodeImpl::handlePeerMessage(const PeerMessage &message, Instant now)
{
    if (auto report = peers_->acceptMessage(message, dispatcher_, now)) {
        apply(dispatcher_.handle(std::move(*report), now));
    }
    if (const auto newerPeer
        = peers_->table().peerWithNewerConfiguration(patches_.version(), now)) {
        fetchPatchesFromPeer(*newerPeer, now);
    }
}

void NodeImpl::fetchPatchesFromPeer(const PeerIdentity &peer, Instant now)
{
    if (now < nextPeerFetchAt_) {
        return;
    }
    nextPeerFetchAt_ = now + MinimumPeerFetchInterval;
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = "peer.patches";
    request["params"]["after"] = Json::UInt64(patches_.version());
    platformHttp_->collect(
        { .method = "POST",
          .url = peer.operatorUrl + "/rpc",
          .headers = { { "Authorization", "Bearer " + settings_.peerKey },
                       { "Content-Type", "application/json" } },
          .body = writeJson(request),
          .totalTimeout = settings_.platformTimeout },
        MaximumPatchesBytes, [this](CallOutcome outcome, const CollectedResponse &collected) {
            if (outcome != CallOutcome::Completed) {
                return;
            }
            const auto response = parseJson(collected.response.body);
            if (!response.has_value() || !response->isObject()
                || !(*response)["result"].isObject()) {
                return;
            }
            for (const Json::Value &patch : (*response)["result"]["patches"]) {
                if (patch.isObject() && patch["version"].isUInt64() && patch["text"].isString()) {
                    control_.post(
                        PatchLogMessage(PatchReceived { .version = patch["version"].asUInt64(),
                                                        .text = patch["text"].asString() }));
                }
            }
        });
}

void NodeImpl::checkSessions(Instant now)
{
    std::map<ModelId, double> tokenGapMs;
    for (const auto &[id, model] : configuration_->models) {
        tokenGapMs[id] = dispatcher_.servers().medianTokenGapMs(id);
    }
    for (const auto &[id, session] : modelSessions_) {
        session->checkLiveness(now, tokenGapMs[session->model()]);
    }
}

} // namespace jacinthroad
