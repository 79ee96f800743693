#include "Node/NodeParts.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jacinthroad {

namespace {

constexpr Duration PeerFetchPause = milliseconds(300);

} // namespace

std::uint32_t NodeParts::teamLimit(const RequestArrived &arrived, Instant now) const
{
    // A node may always use an equal share of the limit, and more if the peers use less than
    // theirs. A node without contact still divides by all peers in its table, which includes those
    // that have stopped responding but aren't removed yet.
    const auto nodes
        = static_cast<double>(std::max<std::size_t>(1, peers_->table().peers().size() + 1));
    const double share = std::max(1.0, arrived.teamLimit / nodes);
    const double elsewhere = peers_->teamElsewhere(arrived.facts.team, now);
    const double left = static_cast<double>(arrived.teamLimit) - elsewhere;
    return static_cast<std::uint32_t>(std::max(share, left));
}

void NodeParts::arrive(const RequestId &id, const std::shared_ptr<ModelSession> &session,
                       RequestArrived arrived, Instant now)
{
    modelSessions_[id] = session;
    arrived.teamLimit = teamLimit(arrived, now);
    apply(dispatcher_.handle(std::move(arrived), now));
}

void NodeParts::handle(const ControlMessage &message, Instant now)
{
    std::visit(Overloaded {
                   [&](const DispatcherMessage &m) { apply(dispatcher_.handle(m, now)); },
                   [&](const ClaimMessage &m) { apply(claims_.handle(m, now)); },
                   [&](const PatchLogMessage &m) { apply(patches_.handle(m, now)); },
                   [&](const PeerMessage &m) { takePeerMessage(m, now); },
                   [&](const ControlTask &task) { task(now); },
               },
               message);
}

void NodeParts::apply(const std::vector<DispatcherEffect> &effects)
{
    for (const DispatcherEffect &effect : effects) {
        std::visit([this](const auto &typed) { carryOut(typed); }, effect);
    }
}

void NodeParts::carryOut(const StartAttempt &effect)
{
    const auto session = modelSessions_.find(effect.id);
    const auto url = urls_.find(effect.server);
    if (session == modelSessions_.end() || url == urls_.end()) {
        control_.postDispatcher(AttemptEnded {
            .id = effect.id, .attempt = effect.attempt, .end = AttemptEnd::NotSent });
        return;
    }
    session->second->startAttempt(effect, url->second);
}

void NodeParts::carryOut(const CancelAttempt &effect)
{
    if (const auto session = modelSessions_.find(effect.id); session != modelSessions_.end()) {
        session->second->cancelAttempt(effect.attempt);
    }
}

void NodeParts::carryOut(const RefuseRequest &effect)
{
    if (const auto session = modelSessions_.find(effect.id); session != modelSessions_.end()) {
        session->second->refuse(effect);
        modelSessions_.erase(session);
    }
    logLine(LogLevel::Debug, "request_refused",
            { { "request_id", effect.id.text() },
              { "kind", errorAnswer(effect.kind).name },
              { "not_run", notRunName(effect.notRun) } });
}

void NodeParts::carryOut(const RequestFinished &effect)
{
    modelSessions_.erase(effect.id);
}

void NodeParts::carryOut(const RequestAbandoned &effect)
{
    modelSessions_.erase(effect.id);
}

void NodeParts::carryOut(const ObjectiveObserved &effect)
{
    burn_.note(effect.team, effect.model, effect.objective, effect.met,
               std::chrono::steady_clock::now());
}

void NodeParts::apply(const std::vector<ClaimEffect> &effects)
{
    const auto take = [this](const RequestId &id) {
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
                           if (const auto session = take(e.id)) {
                               session->run();
                           }
                       },
                       [&](const ReplayAnswer &e) {
                           if (const auto session = take(e.id)) {
                               session->replay(e.answer);
                           }
                       },
                       [&](const RefuseCall &e) {
                           if (const auto session = take(e.id)) {
                               session->refuse(e);
                           }
                       },
                   },
                   effect);
    }
}

void NodeParts::apply(const std::vector<PatchLogEffect> &effects)
{
    const auto answer = [this](SubmissionToken token, Result<Json::Value> result) {
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
                [&](const ConfigurationInForce &e) {
                    configuration_ = e.configuration;
                    peers_->setConfigurationVersion(configuration_->version);
                    reconfigure();
                    publishView();
                    logLine(LogLevel::Info, "configuration_in_force",
                            { { "node", settings_.name },
                              { "version", static_cast<std::int64_t>(configuration_->version) } });
                },
                [&](const PatchAccepted &e) {
                    Json::Value result;
                    result["version"] = Json::UInt64(e.version);
                    answer(e.token, std::move(result));
                },
                [&](const PatchRejected &e) { answer(e.token, tl::make_unexpected(e.error)); },
                [&](const PlatformWentBack &e) {
                    logLine(LogLevel::Error, "platform_went_back",
                            { { "in_force", static_cast<std::int64_t>(e.inForce) },
                              { "platform", static_cast<std::int64_t>(e.platform) } });
                },
            },
            effect);
    }
}

void NodeParts::publishView()
{
    traffic_.view
        = std::make_shared<const NodeView>(NodeView { .configuration = configuration_,
                                                      .draining = draining_,
                                                      .ready = configuration_->version > 0 });
}

void NodeParts::reconfigure()
{
    std::vector<ServerFacts> servers;
    std::map<ModelId, ModelTerms> terms;
    constexpr double MillisecondsPerSecond = 1000;
    for (const auto &[id, server] : configuration_->servers) {
        urls_[id] = server.url;
        servers.push_back(
            { .id = id,
              .zone = server.zone,
              .model = server.model,
              .slots = server.slots,
              .prefillTokensPerMs = server.prefillTokensPerSecond / MillisecondsPerSecond,
              .leaving = leaving_.contains(id.text()) });
    }
    for (const auto &[id, model] : configuration_->models) {
        terms[id] = { .blockTokens = model.blockTokens,
                      .recomputePriceMsPerToken = model.recomputePriceMsPerToken,
                      .firstTokenTargetMs = model.firstTokenTargetMs,
                      .firstTokenLimitMs = model.firstTokenLimitMs,
                      .tokenGapTargetMs = model.tokenGapTargetMs };
    }
    dispatcher_.configure(servers, terms);
}

void NodeParts::peerRound(Instant now)
{
    for (const NodeId &gone : peers_->table().forgetSilent(now)) {
        dispatcher_.dropPeer(gone);
        logLine(LogLevel::Warning, "peer_gone", { { "peer", gone.text() } });
    }
    for (const PeerDatagram &datagram : peers_->round(dispatcher_, now)) {
        peerSocket_->send(datagram.target, datagram.bytes);
    }
}

void NodeParts::takePeerMessage(const PeerMessage &message, Instant now)
{
    if (auto report = peers_->take(message, dispatcher_, now)) {
        apply(dispatcher_.handle(std::move(*report), now));
    }
    if (const auto newer = peers_->table().newerConfiguration(patches_.version(), now)) {
        fetchFromPeer(*newer, now);
    }
}

void NodeParts::fetchFromPeer(const PeerIdentity &peer, Instant now)
{
    if (now < nextPeerFetch_) {
        return;
    }
    nextPeerFetch_ = now + PeerFetchPause;
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = "peer.patches";
    request["params"]["after"] = Json::UInt64(patches_.version());
    const auto body = std::make_shared<std::string>();
    platformHttp_->start({ .method = "POST",
                           .url = peer.operatorUrl + "/rpc",
                           .headers = { { "Authorization", "Bearer " + settings_.peerKey },
                                        { "Content-Type", "application/json" } },
                           .body = writeJson(request),
                           .totalTimeout = settings_.platformTimeout },
                         { .onData =
                               [body](std::string_view bytes) {
                                   body->append(bytes);
                                   return true;
                               },
                           .onEnd =
                               [this, body](CallOutcome outcome) {
                                   const auto answer = parseJson(*body);
                                   if (outcome != CallOutcome::Completed || !answer.has_value()
                                       || !answer->isObject() || !(*answer)["result"].isObject()) {
                                       return;
                                   }
                                   for (const Json::Value &patch : (*answer)["result"]["patches"]) {
                                       if (patch.isObject() && patch["version"].isUInt64()
                                           && patch["text"].isString()) {
                                           control_.post(PatchLogMessage(
                                               PatchSeen { .version = patch["version"].asUInt64(),
                                                           .text = patch["text"].asString() }));
                                       }
                                   }
                               } });
}

void NodeParts::sweep(Instant now)
{
    std::map<ModelId, double> gaps;
    for (const auto &[id, model] : configuration_->models) {
        gaps[id] = dispatcher_.servers().usualGapMs(id);
    }
    for (const auto &[id, session] : modelSessions_) {
        session->sweep(now, gaps[session->model()]);
    }
}

} // namespace jacinthroad
