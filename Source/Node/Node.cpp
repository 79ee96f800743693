#include "Node/Node.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <future>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

#include "Burn/BurnReport.h"
#include "Burn/BurnTracker.h"
#include "Claims/ClaimBook.h"
#include "Configuration/PatchLog.h"
#include "Core/Hashing.h"
#include "Core/Json.h"
#include "Core/Log.h"
#include "Core/Overloaded.h"
#include "Http/HttpServer.h"
#include "Node/CallerApi.h"
#include "Node/ControlLoop.h"
#include "Node/ModelSession.h"
#include "Node/NodeMetrics.h"
#include "Node/OperatorApi.h"
#include "Node/PeerExchange.h"
#include "Node/PlatformSync.h"
#include "Node/ServiceSession.h"
#include "Node/Traffic.h"
#include "PeerLink/PeerSocket.h"
#include "PlatformClient/PlatformClient.h"
#include "Routing/Dispatcher.h"

namespace jacinthroad {

namespace {

constexpr int StatusOk = 200;
constexpr Duration SweepPeriod = milliseconds(100);
constexpr Duration SlowTickPeriod = milliseconds(250);
constexpr Duration OperatorPatience = std::chrono::seconds(12);
constexpr Duration DrainPoll = milliseconds(20);
constexpr Duration PeerFetchPause = milliseconds(300);
constexpr double FloorShareOfTeamLimit = 1.0;

std::string rfc3339Now()
{
    const std::time_t seconds
        = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    const std::size_t length
        = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { text.data(), length };
}

std::string hexadecimal(std::uint64_t number)
{
    std::array<char, 17> text {};
    const int length
        = std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(number));
    return { text.data(), static_cast<std::size_t>(length) };
}

/// Waits for an answer; nothing when it does not come in time or the node stops.
template <typename Answer> std::optional<Answer> answerOf(std::future<Answer> &answer)
{
    try {
        if (answer.wait_for(OperatorPatience) == std::future_status::ready) {
            return answer.get();
        }
    } catch (const std::future_error &) {
        // The node stopped before it answered.
    }
    return std::nullopt;
}

Policy policyOf(const std::string &name)
{
    return makePolicy(name).value_or(PredictedCostPolicy {});
}

} // namespace

/// Everything that a node consists of. Members below `control_` are used on the control thread
/// only, unless they say otherwise.
class Node::Parts
{
public:
    explicit Parts(NodeSettings settings)
        : settings_(std::move(settings))
        , incarnation_(static_cast<std::uint64_t>(wallMilliseconds()))
        , seed_(std::random_device {}())
        , control_([this](const ControlMessage &message, Instant now) { handle(message, now); })
        , traffic_ { .settings = settings_, .control = control_ }
        , dispatcher_({ .policy = policyOf(settings_.policy),
                        .seed = seed_,
                        .hedgeMinimum = settings_.hedgeMinimum })
        , claims_(ClaimBookOptions {})
    {
        traffic_.view = std::make_shared<const NodeView>(
            NodeView { .configuration = std::make_shared<const Configuration>() });
    }

    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    ~Parts()
    {
        // First the control thread, which uses all else; what is posted from then on is dropped,
        // and whoever waits for an answer sees a broken promise.
        control_.stop();
        submissions_.clear();
        callers_.reset();
        operators_.reset();
        operatorApi_.reset();
        peerSocket_.reset();
        traffic_.clients.clear();
        platformHttp_.reset();
    }

    Result<void> start();
    bool drain(Duration patience);

    std::uint16_t callerPort() const { return callers_->port(); }
    std::uint16_t operatorPort() const { return operators_->port(); }
    std::string peerAddress() const { return peerSocket_->address(); }
    bool ready() const { return traffic_.view.load()->ready; }
    bool draining() const { return traffic_.view.load()->draining; }
    NodeFigures figures();

private:
    /// Runs a question on the control thread and waits for its answer.
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

Result<void> Node::Parts::start()
{
    for (unsigned index = 0; index < settings_.trafficThreads; ++index) {
        traffic_.clients.push_back(std::make_unique<HttpClient>());
    }
    platformHttp_ = std::make_unique<HttpClient>();
    platform_ = std::make_unique<PlatformClient>(
        PlatformClientOptions { .url = settings_.platformUrl,
                                .timeout = settings_.platformTimeout },
        *platformHttp_);
    callerApi_ = std::make_unique<CallerApi>(
        traffic_, settings_.name + "-" + hexadecimal(incarnation_), callerEvents());
    operatorApi_ = std::make_unique<OperatorApi>(
        OperatorApiOptions { .operatorKeySha256 = settings_.operatorKeySha256,
                             .peerKeySha256 = sha256Hex(settings_.peerKey) },
        operatorActions());
    if (auto listening = listen(); !listening.has_value()) {
        return listening;
    }
    peers_ = std::make_unique<PeerExchange>(
        PeerExchangeOptions { .self = { .node = NodeId(settings_.name),
                                        .zone = ZoneId(settings_.zone),
                                        .incarnation = incarnation_,
                                        .address = peerSocket_->address(),
                                        .operatorUrl = "http://" + settings_.address + ":"
                                            + std::to_string(operators_->port()) },
                              .interval = settings_.peerInterval,
                              .bytesPerSecond = settings_.peerBytesPerSecond,
                              .sampleOneIn = settings_.sampleOneIn,
                              .key = settings_.peerKey });
    for (const std::string &address : settings_.peers) {
        peers_->table().noteAddress(address);
    }
    sync_ = std::make_unique<PlatformSync>(
        PlatformSyncOptions { .nodeName = settings_.name,
                              .peerAddress = peerSocket_->address(),
                              .vmPoll = settings_.vmPoll,
                              .seed = seed_ },
        *platform_, control_,
        PlatformSync::Events {
            .listed = [this](bool empty) { onListed(empty); },
            .leaving =
                [this](std::set<std::string> leaving) {
                    if (leaving != leaving_) {
                        leaving_ = std::move(leaving);
                        reconfigure();
                    }
                },
            .peerAddress
            = [this](const std::string &address) { peers_->table().noteAddress(address); } });
    startTimers();
    control_.start();
    return {};
}

Result<void> Node::Parts::listen()
{
    auto socket = PeerSocket::open(settings_.address, settings_.peerPort,
                                   [this](std::string_view datagram) {
                                       auto message = openPeerMessage(datagram, settings_.peerKey);
                                       if (message.has_value()) {
                                           control_.post(std::move(*message));
                                       }
                                   });
    if (!socket.has_value()) {
        return tl::make_unexpected(socket.error());
    }
    peerSocket_ = std::move(*socket);
    auto operators = HttpServer::start(
        { .address = settings_.address, .port = settings_.operatorPort },
        [this](HttpRequest request, const std::shared_ptr<ResponseWriter> &writer) {
            operatorApi_->handle(std::move(request), writer);
        });
    if (!operators.has_value()) {
        return tl::make_unexpected(operators.error());
    }
    operators_ = std::move(*operators);
    auto callers = HttpServer::start(
        { .address = settings_.address,
          .port = settings_.callerPort,
          .threads = settings_.trafficThreads,
          .maximumBodyBytes = settings_.maximumBodyBytes,
          .maximumHeaderBytes = settings_.maximumHeaderBytes,
          .maximumConnections = settings_.maximumConnections,
          .idleTimeoutSeconds = settings_.idleTimeoutSeconds },
        [this](HttpRequest request, const std::shared_ptr<ResponseWriter> &writer) {
            callerApi_->handle(std::move(request), writer);
        });
    if (!callers.has_value()) {
        return tl::make_unexpected(callers.error());
    }
    callers_ = std::move(*callers);
    return {};
}

void Node::Parts::startTimers()
{
    const Instant now = std::chrono::steady_clock::now();
    TimerService &timers = control_.timers();
    timers.every(now, settings_.tick,
                 [this](Instant due) { apply(dispatcher_.handle(TimePassed {}, due)); });
    timers.every(now, SweepPeriod, [this](Instant due) { sweep(due); });
    timers.every(now, settings_.peerInterval, [this](Instant due) { peerRound(due); });
    timers.every(now, SlowTickPeriod, [this](Instant due) {
        apply(claims_.handle(ClaimTime { .nowMs = wallMilliseconds() }, due));
        apply(patches_.handle(PatchLogTime {}, due));
    });
    timers.once(now, [this](Instant) { sync_->start(); });
}

CallerApi::Events Node::Parts::callerEvents()
{
    return { .model =
                 [this](const RequestId &id, const std::shared_ptr<ModelSession> &session,
                        RequestArrived arrived) {
                     control_.post(
                         ControlTask([this, id, session, arrived = std::move(arrived)](
                                         Instant now) { arrive(id, session, arrived, now); }));
                 },
             .service =
                 [this](const RequestId &id, std::shared_ptr<ServiceSession> session) {
                     control_.post(ControlTask(
                         [this, id, session](Instant) { serviceSessions_[id] = session; }));
                 },
             .metrics =
                 [this](const std::shared_ptr<ResponseWriter> &writer) {
                     control_.post(ControlTask([this, writer](Instant now) {
                         const NodeGauges gauges {
                             .configurationVersion = patches_.version(),
                             .platformCalls = platform_->calls(),
                             .peerBytes = peerSocket_->sentBytes(),
                             .peersAlive = peers_->table().liveNodes(now),
                             .unwrittenClaims = claims_.unwritten(),
                             .platformUp = sync_->up(),
                             .controlCpuSeconds = toMilliseconds(control_.cpuTime()) / 1000,
                         };
                         writer->respond(
                             { .status = StatusOk,
                               .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
                               .body = metrics_.render(dispatcher_, gauges) });
                     }));
                 } };
}

std::uint32_t Node::Parts::teamLimit(const RequestArrived &arrived, Instant now) const
{
    // Each node may always use its equal share; beyond that, what peers leave free. A node that
    // hears nobody counts itself alone in its view but keeps to the share of all it knew.
    const auto nodes
        = static_cast<double>(std::max<std::size_t>(1, peers_->table().peers().size() + 1));
    const double share = std::max(1.0, FloorShareOfTeamLimit * arrived.teamLimit / nodes);
    const double elsewhere = peers_->teamElsewhere(arrived.facts.team, now);
    const double left = static_cast<double>(arrived.teamLimit) - elsewhere;
    return static_cast<std::uint32_t>(std::max(share, left));
}

void Node::Parts::arrive(const RequestId &id, const std::shared_ptr<ModelSession> &session,
                         RequestArrived arrived, Instant now)
{
    modelSessions_[id] = session;
    arrived.teamLimit = teamLimit(arrived, now);
    apply(dispatcher_.handle(std::move(arrived), now));
}

void Node::Parts::handle(const ControlMessage &message, Instant now)
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

void Node::Parts::apply(const std::vector<DispatcherEffect> &effects)
{
    for (const DispatcherEffect &effect : effects) {
        std::visit([this](const auto &typed) { carryOut(typed); }, effect);
    }
}

void Node::Parts::carryOut(const StartAttempt &effect)
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

void Node::Parts::carryOut(const CancelAttempt &effect)
{
    if (const auto session = modelSessions_.find(effect.id); session != modelSessions_.end()) {
        session->second->cancelAttempt(effect.attempt);
    }
}

void Node::Parts::carryOut(const RefuseRequest &effect)
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

void Node::Parts::carryOut(const RequestFinished &effect)
{
    modelSessions_.erase(effect.id);
}

void Node::Parts::carryOut(const RequestAbandoned &effect)
{
    modelSessions_.erase(effect.id);
}

void Node::Parts::carryOut(const ObjectiveObserved &effect)
{
    burn_.note(effect.team, effect.model, effect.objective, effect.met,
               std::chrono::steady_clock::now());
}

void Node::Parts::apply(const std::vector<ClaimEffect> &effects)
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

void Node::Parts::apply(const std::vector<PatchLogEffect> &effects)
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

void Node::Parts::publishView()
{
    traffic_.view
        = std::make_shared<const NodeView>(NodeView { .configuration = configuration_,
                                                      .draining = draining_,
                                                      .ready = configuration_->version > 0 });
}

void Node::Parts::reconfigure()
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

void Node::Parts::onListed(bool empty)
{
    if (!empty || settings_.configuration.isNull() || patches_.version() > 0) {
        return;
    }
    // Several nodes may try; the platform's create-if-absent lets one of them be first.
    apply(patches_.handle(SubmitPatch { .token = ++lastToken_,
                                        .base = 0,
                                        .author = "settings of " + settings_.name,
                                        .reason = "first version",
                                        .nonce = settings_.name + hexadecimal(incarnation_),
                                        .at = rfc3339Now(),
                                        .patch = settings_.configuration },
                          std::chrono::steady_clock::now()));
}

void Node::Parts::peerRound(Instant now)
{
    for (const NodeId &gone : peers_->table().forgetSilent(now)) {
        dispatcher_.dropPeer(gone);
        logLine(LogLevel::Warning, "peer_gone", { { "peer", gone.text() } });
    }
    for (const PeerDatagram &datagram : peers_->round(dispatcher_, now)) {
        peerSocket_->send(datagram.target, datagram.bytes);
    }
}

void Node::Parts::takePeerMessage(const PeerMessage &message, Instant now)
{
    if (auto report = peers_->take(message, dispatcher_, now)) {
        apply(dispatcher_.handle(std::move(*report), now));
    }
    if (const auto newer = peers_->table().newerConfiguration(patches_.version(), now)) {
        fetchFromPeer(*newer, now);
    }
}

void Node::Parts::fetchFromPeer(const PeerIdentity &peer, Instant now)
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

void Node::Parts::sweep(Instant now)
{
    std::map<ModelId, double> gaps;
    for (const auto &[id, model] : configuration_->models) {
        gaps[id] = dispatcher_.servers().usualGapMs(id);
    }
    for (const auto &[id, session] : modelSessions_) {
        session->sweep(now, gaps[session->model()]);
    }
}

std::size_t Node::Parts::openWork() const
{
    return dispatcher_.open() + modelSessions_.size() + serviceSessions_.size()
        + claims_.unwritten() + callers_->openExchanges();
}

bool Node::Parts::drain(Duration patience)
{
    const Instant deadline = std::chrono::steady_clock::now() + patience;
    control_.post(ControlTask([this](Instant) {
        draining_ = true;
        peers_->setLeaving();
        publishView();
        logLine(LogLevel::Info, "drain_begun", { { "node", settings_.name } });
    }));
    // Until the balancer has noticed /readyz, requests still come and are served.
    std::this_thread::sleep_for(std::min(settings_.drainLag, patience));
    control_.post(
        ControlTask([this](Instant now) { apply(dispatcher_.handle(DrainBegun {}, now)); }));
    while (std::chrono::steady_clock::now() < deadline) {
        const auto open = ask<std::size_t>([this](Instant) { return openWork(); });
        if (open.has_value() && *open == 0) {
            return true;
        }
        std::this_thread::sleep_for(DrainPoll);
    }
    return false;
}

NodeFigures Node::Parts::figures()
{
    return ask<NodeFigures>([this](Instant) {
               return NodeFigures { .peerBytes = peerSocket_->sentBytes(),
                                    .platformCalls = platform_->calls(),
                                    .configurationVersion = patches_.version(),
                                    .controlCpu = control_.cpuTime(),
                                    .hedges = dispatcher_.counters().hedges,
                                    .retries = dispatcher_.counters().retries };
           })
        .value_or(NodeFigures {});
}

Json::Value Node::Parts::statusJson(Instant now) const
{
    Json::Value body;
    body["node"] = settings_.name;
    body["zone"] = settings_.zone;
    body["version"] = JACINTHROAD_VERSION;
    body["configuration_version"] = Json::UInt64(patches_.version());
    body["platform_up"] = sync_->up();
    body["draining"] = draining_;
    body["requests_open"] = Json::UInt64(dispatcher_.open());
    body["requests_waiting"] = Json::UInt64(dispatcher_.queued());
    body["claims_unwritten"] = Json::UInt64(claims_.unwritten());
    body["peers"] = Json::Value(Json::arrayValue);
    for (const auto &[id, peer] : peers_->table().peers()) {
        Json::Value entry;
        entry["node"] = id.text();
        entry["zone"] = peer.identity.zone.text();
        entry["configuration_version"] = Json::UInt64(peer.identity.configurationVersion);
        entry["heard_ms_ago"] = toMilliseconds(now - peer.lastHeard);
        const PeerState state = peers_->table().state(peer, now);
        entry["state"] = state == PeerState::Alive ? "alive"
            : state == PeerState::Leaving          ? "leaving"
                                                   : "suspect";
        body["peers"].append(entry);
    }
    body["backend_servers"] = Json::Value(Json::arrayValue);
    const ServerTable &servers = dispatcher_.servers();
    for (ServerSlot slot = 0; slot < servers.size(); ++slot) {
        const ServerState &row = servers.at(slot);
        const ServerLoad load = servers.totalLoad(slot, now);
        Json::Value entry;
        entry["backend_server"] = row.facts.id.text();
        entry["zone"] = row.facts.zone.text();
        entry["model"] = row.facts.model.text();
        entry["leaving"] = row.facts.leaving;
        entry["accepts"] = servers.accepts(slot, now);
        entry["in_flight"] = load.inFlight;
        entry["slowdown"] = row.health.slowdown(now);
        body["backend_servers"].append(entry);
    }
    return body;
}

Json::Value Node::Parts::computeJson() const
{
    Json::Value body;
    body["node"] = settings_.name;
    body["since"] = Json::UInt64(incarnation_);
    body["lines"] = Json::Value(Json::arrayValue);
    for (const auto &[key, line] : dispatcher_.ledger().lines()) {
        Json::Value entry;
        entry["team"] = key.first.text();
        entry["model"] = key.second.text();
        entry["requests"] = Json::UInt64(line.requests);
        entry["reused"] = Json::UInt64(line.reused);
        entry["first_time"] = Json::UInt64(line.firstTime);
        for (std::size_t index = 0; index < RecomputeReasonCount; ++index) {
            const auto name = recomputeReasonName(static_cast<RecomputeReason>(index));
            entry["recomputed"][std::string(name)] = Json::UInt64(line.recomputed[index]);
        }
        entry["decoded"] = Json::UInt64(line.decoded);
        entry["thrown_away"] = Json::UInt64(line.thrownAway);
        body["lines"].append(entry);
    }
    return body;
}

Json::Value Node::Parts::burnJson(Instant now) const
{
    std::map<ModelId, double> shares;
    for (const auto &[id, model] : configuration_->models) {
        shares[id] = model.objectiveShare;
    }
    Json::Value body;
    body["node"] = settings_.name;
    body["lines"] = burnLinesJson(burn_.lines(now), shares);
    body["peers"] = Json::Value(Json::arrayValue);
    for (const auto &[id, peer] : peers_->table().peers()) {
        Json::Value entry;
        entry["node"] = id.text();
        entry["operator_url"] = peer.identity.operatorUrl;
        body["peers"].append(entry);
    }
    return body;
}

Json::Value Node::Parts::historyJson() const
{
    Json::Value body;
    body["patches"] = Json::Value(Json::arrayValue);
    for (const PatchRecord &record : patches_.history()) {
        Json::Value entry;
        entry["version"] = Json::UInt64(record.version);
        entry["author"] = record.author;
        entry["reason"] = record.reason;
        entry["at"] = record.at;
        entry["objects"] = Json::Value(Json::arrayValue);
        for (const std::string &object : record.objects) {
            entry["objects"].append(object);
        }
        body["patches"].append(entry);
    }
    return body;
}

Result<Json::Value> Node::Parts::submitPatch(const Json::Value &parameters)
{
    if (!parameters["base"].isUInt64()) {
        return makeError(ErrorKind::InvalidRequest,
                         "parameter 'base' must be the version that the patch was made against",
                         "Ask config.get for the version.");
    }
    if (!parameters["patch"].isObject()) {
        return makeError(ErrorKind::InvalidRequest, "parameter 'patch' must be an object",
                         "Write a JSON merge patch.");
    }
    auto promise = std::make_shared<std::promise<Result<Json::Value>>>();
    auto answer = promise->get_future();
    const auto textOr = [&](const char *name, const std::string &otherwise) {
        return parameters[name].isString() ? parameters[name].asString() : otherwise;
    };
    SubmitPatch submission {
        .base = parameters["base"].asUInt64(),
        .author = textOr("author", "operator"),
        .reason = textOr("reason", ""),
        .nonce = hexadecimal(std::random_device {}()) + hexadecimal(std::random_device {}()),
        .at = rfc3339Now(),
        .patch = parameters["patch"],
        .dryRun = parameters["dry_run"].isBool() && parameters["dry_run"].asBool()
    };
    control_.post(ControlTask([this, promise, submission](Instant now) mutable {
        submission.token = ++lastToken_;
        submissions_[submission.token] = promise;
        apply(patches_.handle(submission, now));
    }));
    if (auto settled = answerOf(answer)) {
        return std::move(*settled);
    }
    return makeError(ErrorKind::OutcomeUnknown, "the patch is not settled yet",
                     "Look at 'jacinthroad config history' before submitting it again.");
}

OperatorActions Node::Parts::operatorActions()
{
    const auto asked = [this](std::function<Json::Value(Instant)> question) -> Result<Json::Value> {
        auto answer = ask<Json::Value>(std::move(question));
        if (!answer.has_value()) {
            return makeError(ErrorKind::Internal, "the control thread did not answer");
        }
        return std::move(*answer);
    };
    return {
        .status = [this, asked] { return asked([this](Instant now) { return statusJson(now); }); },
        .drain =
            [this, asked] {
                // The process that runs the node watches this flag and stops it.
                return asked([this](Instant) {
                    draining_ = true;
                    publishView();
                    Json::Value body;
                    body["draining"] = true;
                    return body;
                });
            },
        .getConfiguration =
            [this, asked] {
                return asked([this](Instant) {
                    Json::Value body;
                    body["version"] = Json::UInt64(patches_.version());
                    body["configuration"] = patches_.document();
                    return body;
                });
            },
        .patchConfiguration
        = [this](const Json::Value &parameters) { return submitPatch(parameters); },
        .history = [this, asked] { return asked([this](Instant) { return historyJson(); }); },
        .burn = [this, asked] { return asked([this](Instant now) { return burnJson(now); }); },
        .compute = [this, asked] { return asked([this](Instant) { return computeJson(); }); },
        .patchesAfter =
            [this, asked](std::uint64_t after) {
                return asked([this, after](Instant) {
                    Json::Value body;
                    body["patches"] = Json::Value(Json::arrayValue);
                    for (const PatchSeen &patch : patches_.patchesAfter(after)) {
                        Json::Value entry;
                        entry["version"] = Json::UInt64(patch.version);
                        entry["text"] = patch.text;
                        body["patches"].append(entry);
                    }
                    return body;
                });
            },
    };
}

Node::Node(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{ }

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::start(NodeSettings settings)
{
    auto parts = std::make_unique<Parts>(std::move(settings));
    if (auto started = parts->start(); !started.has_value()) {
        return tl::make_unexpected(started.error());
    }
    return std::unique_ptr<Node>(new Node(std::move(parts)));
}

bool Node::drain(Duration patience)
{
    return parts_->drain(patience);
}

bool Node::drainRequested() const
{
    return parts_->draining();
}

std::uint16_t Node::callerPort() const
{
    return parts_->callerPort();
}

std::uint16_t Node::operatorPort() const
{
    return parts_->operatorPort();
}

std::string Node::peerAddress() const
{
    return parts_->peerAddress();
}

bool Node::ready() const
{
    return parts_->ready();
}

NodeFigures Node::figures() const
{
    return parts_->figures();
}

} // namespace jacinthroad
