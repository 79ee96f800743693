#include "Node/NodeImpl.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>
#include <thread>
#include <utility>

namespace jacinthroad {

namespace {

constexpr int StatusOk = 200;
constexpr Duration SessionCheckInterval = milliseconds(100);
constexpr Duration ClaimAndPatchTickInterval = milliseconds(250);
constexpr Duration DrainPollInterval = milliseconds(20);

Policy parsePolicy(const std::string &name)
{
    return makePolicy(name).value_or(PredictedCostPolicy {});
}

} // namespace

NodeImpl::NodeImpl(NodeSettings settings)
    : settings_(std::move(settings))
    , incarnation_(static_cast<std::uint64_t>(wallMilliseconds()))
    , seed_(std::random_device {}())
    , control_([this](const ControlMessage &message, Instant now) { handle(message, now); })
    , traffic_ { .settings = settings_, .control = control_ }
    , dispatcher_({ .policy = parsePolicy(settings_.policy),
                    .seed = seed_,
                    .hedgeMinimum = settings_.hedgeMinimum })
    , claims_(ClaimCoordinatorOptions {})
{
    traffic_.snapshot = std::make_shared<const NodeSnapshot>(
        NodeSnapshot { .configuration = std::make_shared<const Configuration>() });
}

NodeImpl::~NodeImpl()
{
    // The control thread uses all other members, so it stops first. Messages posted from then on
    // are dropped, and threads waiting for a result get a broken promise.
    control_.stop();
    submissions_.clear();
    callers_.reset();
    operators_.reset();
    operatorApi_.reset();
    peerSocket_.reset();
    traffic_.clients.clear();
    platformHttp_.reset();
}

Result<void> NodeImpl::start()
{
    for (unsigned index = 0; index < settings_.trafficThreads; ++index) {
        traffic_.clients.push_back(std::make_unique<HttpClient>(traffic_.memory));
    }
    platformHttp_ = std::make_unique<HttpClient>(traffic_.memory);
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
        peers_->table().addAddress(address);
    }
    sync_ = std::make_unique<PlatformSync>(
        PlatformSyncOptions { .nodeName = settings_.name,
                              .peerAddress = peerSocket_->address(),
                              .vmPoll = settings_.vmPoll,
                              .seed = seed_ },
        *platform_, control_,
        PlatformSync::Events {
            .patchesListed = [this](bool empty) { onPatchesListed(empty); },
            .vmsLeaving =
                [this](std::set<std::string> leaving) {
                    if (leaving != leavingVms_) {
                        leavingVms_ = std::move(leaving);
                        configureDispatcher();
                    }
                },
            .nodeFound
            = [this](const std::string &address) { peers_->table().addAddress(address); } });
    startTimers();
    control_.start();
    return {};
}

Result<void> NodeImpl::listen()
{
    auto socket = PeerSocket::open(
        settings_.address, settings_.peerPort, [this](std::string_view datagram) {
            auto message = decodePeerMessage(datagram, settings_.peerKey);
            if (message.has_value()) {
                control_.post(std::move(*message));
            }
        });
    if (!socket.has_value()) {
        return tl::make_unexpected(socket.error());
    }
    peerSocket_ = std::move(*socket);
    auto operators = HttpServer::start(
        { .address = settings_.address,
          .port = settings_.operatorPort,
          .wantsBody
          = [this](const HttpRequest &request) { return operatorApi_->isAuthorised(request); } },
        traffic_.memory,
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
          .idleTimeoutSeconds = settings_.idleTimeoutSeconds,
          .wantsBody
          = [this](const HttpRequest &request) { return callerApi_->isAuthorised(request); } },
        traffic_.memory,
        [this](HttpRequest request, const std::shared_ptr<ResponseWriter> &writer) {
            callerApi_->handle(std::move(request), writer);
        });
    if (!callers.has_value()) {
        return tl::make_unexpected(callers.error());
    }
    callers_ = std::move(*callers);
    return {};
}

void NodeImpl::startTimers()
{
    const Instant now = std::chrono::steady_clock::now();
    TimerService &timers = control_.timers();
    timers.every(now, settings_.tick,
                 [this](Instant due) { apply(dispatcher_.handle(Tick {}, due)); });
    timers.every(now, SessionCheckInterval, [this](Instant due) { checkSessions(due); });
    timers.every(now, settings_.peerInterval, [this](Instant due) { sendPeerDatagrams(due); });
    timers.every(now, ClaimAndPatchTickInterval, [this](Instant due) {
        apply(claims_.handle(ClaimTick { .nowMs = wallMilliseconds() }, due));
        apply(patches_.handle(PatchLogTick {}, due));
    });
    timers.once(now, [this](Instant) { sync_->start(); });
}

CallerApi::Events NodeImpl::callerEvents()
{
    return { .model =
                 [this](const RequestId &id, const std::shared_ptr<ModelSession> &session,
                        RequestArrived arrived) {
                     control_.post(ControlTask(
                         [this, id, session, arrived = std::move(arrived)](Instant now) {
                             onRequestArrived(id, session, arrived, now);
                         }));
                 },
             .service =
                 [this](const RequestId &id, const std::shared_ptr<ServiceSession> &session) {
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
                             .unwrittenClaims = claims_.unwrittenCount(),
                             .receivedBytes = traffic_.memory->used(),
                             .receivedBytesLimit = traffic_.memory->limit(),
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

void NodeImpl::onPatchesListed(bool empty)
{
    if (!empty || settings_.configuration.isNull() || patches_.version() > 0) {
        return;
    }
    // Several nodes may try this at once; the platform's create-if-absent lets one succeed.
    apply(patches_.handle(SubmitPatch { .token = ++lastToken_,
                                        .base = 0,
                                        .author = "settings of " + settings_.name,
                                        .reason = "first version",
                                        .nonce = settings_.name + hexadecimal(incarnation_),
                                        .at = rfc3339Now(),
                                        .patch = settings_.configuration },
                          std::chrono::steady_clock::now()));
}

std::size_t NodeImpl::pendingWorkCount() const
{
    return dispatcher_.openRequests() + modelSessions_.size() + serviceSessions_.size()
        + claims_.unwrittenCount() + callers_->openExchanges();
}

bool NodeImpl::drain(Duration drainTimeout)
{
    const Instant deadline = std::chrono::steady_clock::now() + drainTimeout;
    control_.post(ControlTask([this](Instant) {
        draining_ = true;
        peers_->setLeaving();
        publishView();
        logLine(LogLevel::Info, "drain_begun", { { "node", settings_.name } });
    }));
    // Requests still arrive until the load balancer has polled /readyz; model requests are served.
    std::this_thread::sleep_for(std::min(settings_.drainLag, drainTimeout));
    control_.post(
        ControlTask([this](Instant now) { apply(dispatcher_.handle(DrainStarted {}, now)); }));
    while (std::chrono::steady_clock::now() < deadline) {
        const auto pending = runQuery<std::size_t>([this](Instant) { return pendingWorkCount(); });
        if (pending.has_value() && *pending == 0) {
            return true;
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
    return false;
}

NodeStatistics NodeImpl::statistics()
{
    return runQuery<NodeStatistics>([this](Instant) {
               return NodeStatistics { .peerBytes = peerSocket_->sentBytes(),
                                       .platformCalls = platform_->calls(),
                                       .configurationVersion = patches_.version(),
                                       .controlCpu = control_.cpuTime(),
                                       .hedges = dispatcher_.counters().hedges,
                                       .retries = dispatcher_.counters().retries,
                                       .receivedBytes = traffic_.memory->used() };
           })
        .value_or(NodeStatistics {});
}

} // namespace jacinthroad
