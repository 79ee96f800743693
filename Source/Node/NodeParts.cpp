#include "Node/NodeParts.h"

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
constexpr Duration SweepPeriod = milliseconds(100);
constexpr Duration SlowTickPeriod = milliseconds(250);
constexpr Duration DrainPoll = milliseconds(20);

Policy policyOf(const std::string &name)
{
    return makePolicy(name).value_or(PredictedCostPolicy {});
}

} // namespace

NodeParts::NodeParts(NodeSettings settings)
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

NodeParts::~NodeParts()
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

Result<void> NodeParts::start()
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

Result<void> NodeParts::listen()
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

void NodeParts::startTimers()
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

CallerApi::Events NodeParts::callerEvents()
{
    return { .model =
                 [this](const RequestId &id, const std::shared_ptr<ModelSession> &session,
                        RequestArrived arrived) {
                     control_.post(
                         ControlTask([this, id, session, arrived = std::move(arrived)](
                                         Instant now) { arrive(id, session, arrived, now); }));
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

void NodeParts::onListed(bool empty)
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

std::size_t NodeParts::openWork() const
{
    return dispatcher_.open() + modelSessions_.size() + serviceSessions_.size()
        + claims_.unwritten() + callers_->openExchanges();
}

bool NodeParts::drain(Duration patience)
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

NodeFigures NodeParts::figures()
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

} // namespace jacinthroad
