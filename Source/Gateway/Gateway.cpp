#include "Gateway/Gateway.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Core/WallClock.h"
#include "Fleet/EraSettling.h"
#include "Fleet/OddEntries.h"
#include "Fleet/RestoredServerList.h"
#include "FleetPeers/FleetRoles.h"
#include "Gateway/BootClock.h"
#include "Gateway/CacheEventReader.h"
#include "Gateway/ConfigurationReader.h"
#include "Gateway/CrashRecordSync.h"
#include "Gateway/DigestExchange.h"
#include "Gateway/EventLoop.h"
#include "Gateway/LinkProbes.h"
#include "Gateway/Listener.h"
#include "Gateway/NodeRegistration.h"
#include "Gateway/RelayServer.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/RolloutDriver.h"
#include "Gateway/ServerDecoder.h"
#include "Gateway/StatusServer.h"
#include "Gateway/StoreSync.h"
#include "Gateway/StreamVersionLink.h"
#include "Gateway/StreamVersionSync.h"
#include "Gateway/TrafficDelay.h"
#include "Gateway/WeightsRecordSync.h"
#include "Routing/Rendezvous.h"
#include "StoreRelay/TransferChoice.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Memory in bytes of the readiness address, which is answered when the account is full: the
/// longest headers of 240 connections.
constexpr std::size_t ReadinessMemoryBytes = 2 * 1024 * 1024;
/// Weights rarely change.
constexpr Duration WeightsWait = milliseconds(4000);
/// Nodes of a fleet that starts register one after the other.
constexpr Duration NodesPause = milliseconds(500);
/// Number of nodes that ask for the lease in a small fleet, and in each zone of a large one.
constexpr std::size_t MaxActiveNodes = 8;
constexpr std::size_t LeaseCandidatesPerZone = 2;
/// Servers whose entries are missing after a restore of the store register again within about two
/// seconds, according to the platform's pages.
constexpr Duration MissingServerGrace = milliseconds(2500);
/// The pages name no time for operators, who write lost configurations again.
constexpr Duration EraSettleTime = MissingServerGrace;
/// Time over which nodes record a settled era, and the number of moments in it. Nodes hear of the
/// first record in a fraction of it.
constexpr Duration EraRecordSpread = milliseconds(2000);
constexpr std::uint64_t EraRecordSlots = 256;
/// How long servers that left are remembered: the copy that the store is restored from is some
/// seconds old.
constexpr Duration LeftServerMemory = std::chrono::seconds(60);
constexpr Duration NodesWait = milliseconds(10000);
/// Period of the sweep over idle connections, and of passing the data of responses to the rollout.
constexpr Duration SweepPeriod = milliseconds(200);
/// Number of sweeps between two assignments of caches to owner nodes.
constexpr unsigned SweepsPerAssignment = 4;
constexpr Duration DrainPollPeriod = milliseconds(20);

} // namespace

struct Gateway::Parts
{
    explicit Parts(const GatewaySettings &nodeSettings)
        : settings(nodeSettings)
        , boot(wallMilliseconds())
        , trafficContext(1)
        , controlContext(1)
        , traffic(trafficContext, settings, metrics)
        , store(controlContext, settings.storeAddress, metrics, traffic.bodyMemory)
        , callers(trafficContext)
        , forwards(trafficContext)
        , readiness(trafficContext)
        , scrapes(controlContext)
        , relayQueries(controlContext)
        , sweepTimer(trafficContext)
        , drainTimer(trafficContext)
        , stopGrace(settings.stopGrace)
        , configurationReader(controlContext,
                              { .onReadable =
                                    [this](bool readable) {
                                        asio::post(trafficContext, [this, readable] {
                                            traffic.noteConfigurationReadable(readable);
                                        });
                                    },
                                .onDecoded =
                                    [this](const ConfigurationIdentity &identity,
                                           std::shared_ptr<const RouteTable> routes,
                                           const ConfigurationTiming &timing) {
                                        applyConfiguration(identity, std::move(routes), timing);
                                    },
                                .onConfirmed =
                                    [this](BootInstant moment, bool mayBeRestored) {
                                        eraSettling.noteProof(moment);
                                        asio::post(trafficContext, [this, moment, mayBeRestored] {
                                            traffic.confirmConfiguration(moment, mayBeRestored);
                                        });
                                    } })
        , staleAfter(Freshness::limitsFor(settings.keyRevocation).staleAfter)
        , configuration(
              controlContext, store,
              { .kind = platform::ObjectKind::Configuration,
                .name = "configuration",
                .watchWait = configurationPacing({ .staleAfter = staleAfter }).wait,
                .relayWait = RelayedConfigurationWait,
                .node = settings.name,
                .linkMbps = settings.linkMbps,
                .boot = relaySource() },
              [this](const ObjectTable &table) { configurationReader.apply(table, store.era()); },
              [this](BootInstant moment) { onConfigurationConfirmed(moment); })
        , servers(
              controlContext, store,
              { .kind = platform::ObjectKind::Servers,
                .name = "servers",
                .watchWait = serversPacing({}).wait,
                .minimumPause = serversPacing({}).pause,
                .relayWait = RelayedServersWait,
                .node = settings.name,
                .linkMbps = settings.linkMbps,
                .boot = relaySource() },
              [this](const ObjectTable &table) { onServersChanged(table); },
              [this](BootInstant moment) {
                  streamVersions.confirmServers(moment);
                  asio::post(trafficContext,
                             [this, moment] { traffic.streamVersions.confirmList(moment); });
              })
        , weights(
              controlContext, store,
              { .kind = platform::ObjectKind::DesiredWeights,
                .name = "named_weights",
                .watchWait = WeightsWait,
                .relayWait = RelayedRareWait,
                .node = settings.name,
                .linkMbps = settings.linkMbps,
                .boot = relaySource() },
              [this](const ObjectTable &table) { onDesiredWeightsChanged(table); },
              [](BootInstant) {})
        , nodes(
              controlContext, store,
              { .kind = platform::ObjectKind::Nodes,
                .name = "nodes",
                .watchWait = NodesWait,
                .minimumPause = NodesPause,
                .relayWait = RelayedRareWait,
                .node = settings.name,
                .linkMbps = settings.linkMbps,
                .boot = relaySource() },
              [this](const ObjectTable &table) { onNodesChanged(table); }, [](BootInstant) {})
        , crashRecords(
              controlContext, store,
              { .reporter = traffic.crashReporter, .seed = traffic.crashReporter },
              [this](std::vector<CrashRecord> records) { onCrashRecordsRead(std::move(records)); },
              [this] { configurationReader.release(); })
        , streamVersions(controlContext, store, { .node = settings.name },
                         [this](const VersionTable &table) { onAdmittedVersions(table); })
        , digests(traffic, boot)
        , linkProbes(traffic)
        , relay(controlContext, metrics, traffic.bodyMemory)
        , registration(controlContext, store,
                       { .name = settings.name,
                         .zone = settings.zone,
                         .address = settings.peerAddress,
                         .linkMbps = settings.linkMbps,
                         .forwardingAddress = settings.forwardingAddress },
                       eraSettling)
        , rollout(
              controlContext, store,
              { .node = settings.name,
                .boot = boot,
                .address = settings.peerAddress,
                .lease = settings.lease },
              [this](const ServerId &server, const ModelId &model, WeightsVersion version,
                     Duration limit) { cordonServer(server, model, version, limit); },
              [this](const ServerId &server, const ModelId &model, WeightsVersion version) {
                  uncordonServer(server, model, version);
              },
              [this](const std::vector<DesiredWeightsAge> &ages) {
                  mergeDesiredAges(ages, "lease");
              },
              [this](const ServerInstance &server, const ServerStatement &statement) {
                  asio::post(trafficContext, [this, server, statement] {
                      traffic.noteStatement(server, statement);
                      traffic.pool.noteControlCall(server.id, std::chrono::steady_clock::now());
                  });
              })
        , weightsRecords(
              controlContext, store, settings.name, [this] { return rollout.desiredAges(); },
              [this](const std::vector<DesiredWeightsAge> &ages) {
                  mergeDesiredAges(ages, "records");
              })
        , cacheEventReader(controlContext, traffic.bodyMemory,
                           [this](const ServerId &id, const CacheEvents &events,
                                  std::shared_ptr<const MemoryReservation> memory) {
                               asio::post(trafficContext,
                                          [this, id, events, memory = std::move(memory)] {
                                              traffic.pool.applyCacheEvents(id, events);
                                          });
                           })
    { }

    /// Opens all listening sockets. An address that is in use is tried again by run(), so that the
    /// node does the rest of its work meanwhile.
    Result<void> open();
    [[nodiscard]] Result<void> run();
    /// Fails if the system refuses a thread.
    [[nodiscard]] Result<void> startThreads();
    /// Serves an acceptor of open(), as soon as its address can be had.
    void serveOnceListening(asio::io_context &context, asio::ip::tcp::acceptor &acceptor,
                            ListenAddress address, std::function<asio::awaitable<void>()> serve);
    /// The same for connections of callers, unless the node is stopping by then.
    [[nodiscard]] asio::awaitable<void> acceptOnceListening();
    [[nodiscard]] ListenAddress callerAddress() const
    {
        return { "listen.callers", settings.callerAddress };
    }
    [[nodiscard]] ListenAddress readinessAddress() const
    {
        return { "listen.readiness", settings.readinessAddress };
    }
    [[nodiscard]] ListenAddress metricsAddress() const
    {
        return { "listen.metrics", settings.metricsAddress };
    }
    [[nodiscard]] ListenAddress peerAddress() const
    {
        return { "listen.peers", settings.peerAddress };
    }
    [[nodiscard]] ListenAddress forwardingAddress() const
    {
        return { "listen.forwarding", settings.forwardingAddress };
    }
    /// Takes requests that other nodes forward, and forwards some itself.
    [[nodiscard]] bool exchangesRequests() const
    {
        return !settings.peerAddress.empty() && !settings.forwardingAddress.empty();
    }
    /// Lets other nodes of the zone get the objects of the store from this one.
    void passOnStoreObjects();
    void sweep();
    void applyConfiguration(const ConfigurationIdentity &identity,
                            std::shared_ptr<const RouteTable> routes,
                            const ConfigurationTiming &timing);
    void onConfigurationConfirmed(BootInstant moment);
    void onCrashRecordsRead(std::vector<CrashRecord> records);
    /// Passes the crash records that must outlast a restart of all nodes to the control thread.
    void reportCrashRecords();
    /// Passes the versions that streams may be sent to to the traffic thread.
    void onAdmittedVersions(const VersionTable &table);
    void onServersChanged(const ObjectTable &table);
    /// Passes the decoded server list on, and again when the time after a restore has ended.
    void applyServerList();
    void onDesiredWeightsChanged(const ObjectTable &table);
    /// Merges ages of desired weights in both threads; `witness` outlives the call.
    void mergeDesiredAges(const std::vector<DesiredWeightsAge> &ages, std::string_view witness);
    void onNodesChanged(const ObjectTable &table);
    void cordonServer(const ServerId &server, const ModelId &model, WeightsVersion version,
                      Duration limit);
    void uncordonServer(const ServerId &server, const ModelId &model, WeightsVersion version);
    /// Checks every DrainPollPeriod whether the node can stop, and fulfils `idle` then.
    void pollDrain(const std::shared_ptr<std::promise<void>> &idle);
    /// Ends the requests that are left at the end of a stop. Waits until `end` at most for the
    /// traffic thread, which is late after a stall of the process.
    void answerOpenRequests(Instant end);
    void reportToRollout();
    void assignCaches();
    /// Listens for connections with a limited receive buffer.
    [[nodiscard]] error_code listenWithin(asio::ip::tcp::acceptor &acceptor,
                                          const std::string &address) const
    {
        return listenOn(acceptor, address,
                        receiveBufferBytes(*traffic.bodyMemory, ConnectionRole::Caller));
    }
    /// Identifies this process to nodes that get objects of the store from it.
    [[nodiscard]] std::uint64_t relaySource() const
    {
        return mix64(hash64(settings.name), static_cast<std::uint64_t>(boot));
    }

    GatewaySettings settings;
    std::int64_t boot;
    GatewayMetrics metrics;
    asio::io_context trafficContext;
    asio::io_context controlContext;
    TrafficState traffic;
    StoreClient store;
    asio::ip::tcp::acceptor callers;
    asio::ip::tcp::acceptor forwards;
    asio::ip::tcp::acceptor readiness;
    asio::ip::tcp::acceptor scrapes;
    asio::ip::tcp::acceptor relayQueries;
    asio::steady_timer sweepTimer;
    asio::steady_timer drainTimer;
    /// Time from SIGTERM to SIGKILL; a reload may change it on another thread.
    std::atomic<Duration> stopGrace;
    /// Passes nothing on before the crash records were read: no request is served before the node
    /// knows which ones are denied.
    ConfigurationReader configurationReader;
    /// Age from which the configuration rejects no key for good; used by the control thread only.
    Duration staleAfter;
    StoreSync configuration;
    StoreSync servers;
    StoreSync weights;
    StoreSync nodes;
    CrashRecordSync crashRecords;
    StreamVersionSync streamVersions;
    DigestExchange digests;
    LinkProbes linkProbes;
    RelayServer relay;
    NodeRegistration registration;
    RolloutDriver rollout;
    WeightsRecordSync weightsRecords;
    CacheEventReader cacheEventReader;
    /// Used by the control thread only.
    ServerDecoder serverDecoder;
    OddEntries oddWeights;
    RestoredServerList serverList { { .missingGrace = MissingServerGrace,
                                      .leftMemory = LeftServerMemory } };
    asio::steady_timer serverListTimer { controlContext };
    /// Used by the control thread only.
    EraSettling eraSettling { { .settleTime = EraSettleTime,
                                .recordDelay = EraRecordSpread
                                    * (hash64(settings.name) % EraRecordSlots) / EraRecordSlots,
                                .proofValidity = settings.keyRevocation } };
    /// Other nodes may get the objects of the store from this one; used by the control thread only.
    bool passesOnObjects = false;
    /// The last era of which a read proved nothing; used by the control thread only.
    std::optional<std::uint64_t> unprovenEra;
    /// What was last reported to the control thread; used by the traffic thread only.
    bool crashRecordsReported = false;
    bool peersMissingReported = false;
    /// Caches whose owner node is this node; used by the traffic thread only.
    std::map<ServerId, std::string> ownedCaches;
    unsigned sweeps = 0;
    /// Used by the traffic thread only.
    TrafficDelay trafficDelay;
    /// Set before the traffic thread starts, which reads its processor time.
    std::thread controlThread;
    std::thread trafficThread;
};

Result<void> Gateway::Parts::open()
{
    std::vector<std::pair<ListenAddress, error_code>> attempts;
    const auto listen = [&](asio::ip::tcp::acceptor &acceptor, const ListenAddress &address) {
        attempts.emplace_back(address, listenWithin(acceptor, address.address));
    };
    listen(callers, callerAddress());
    listen(readiness, readinessAddress());
    if (!settings.metricsAddress.empty()) {
        listen(scrapes, metricsAddress());
    }
    if (!settings.peerAddress.empty()) {
        listen(relayQueries, peerAddress());
        attempts.emplace_back(peerAddress(), digests.open(settings.peerAddress));
    }
    if (exchangesRequests()) {
        listen(forwards, forwardingAddress());
    }
    for (const auto &[address, error] : attempts) {
        const Result<bool> listening = checkListening(address, error);
        if (!listening.has_value()) {
            return tl::make_unexpected(listening.error());
        }
    }
    return {};
}

void Gateway::Parts::serveOnceListening(asio::io_context &context,
                                        asio::ip::tcp::acceptor &acceptor, ListenAddress address,
                                        std::function<asio::awaitable<void>()> serve)
{
    asio::co_spawn(
        context,
        [this, &context, &acceptor, address = std::move(address),
         serve = std::move(serve)]() -> asio::awaitable<void> {
            if (!acceptor.is_open()) {
                const bool listening = co_await listenLater(
                    context, address,
                    [this, &acceptor, &address] { return listenWithin(acceptor, address.address); },
                    [] { return true; });
                if (!listening) {
                    co_return;
                }
            }
            co_await serve();
        },
        logFailure("listener"));
}

Result<void> Gateway::Parts::run()
{
    linkStreamVersions(trafficContext, traffic.streamVersions, controlContext, streamVersions);
    traffic.notifyPeersSoon = [this] { digests.sendDigestSoon(); };
    traffic.onServerPaused = [this] {
        reportToRollout();
        assignCaches();
    };
    traffic.peersHaveLinks = [this](const ServiceId &service) {
        return !digests.peersWithLinks(service, std::chrono::steady_clock::now()).empty();
    };
    linkProbes.start();
    asio::co_spawn(trafficContext, acceptOnceListening(), logFailure("listener"));
    if (exchangesRequests()) {
        serveOnceListening(trafficContext, forwards, forwardingAddress(), [this] {
            return acceptCallers(traffic, forwards, RequestSource::Peer);
        });
    }
    serveOnceListening(trafficContext, readiness, readinessAddress(), [this] {
        return serveStatus(trafficContext, readiness,
                           std::make_shared<MemoryBudget>(ReadinessMemoryBytes),
                           settings.readinessPath, [this]() -> StatusPage {
                               return callers.is_open() && traffic.ready()
                                   ? StatusPage { 200, "ready\n" }
                                   : StatusPage { 503, "not ready\n" };
                           });
    });
    if (!settings.metricsAddress.empty()) {
        serveOnceListening(controlContext, scrapes, metricsAddress(), [this] {
            return serveStatus(controlContext, scrapes, traffic.bodyMemory, "/metrics",
                               [this]() -> StatusPage {
                                   const MemoryBudget &memory = *traffic.bodyMemory;
                                   metrics.setReceivedBytes(memory.used(), memory.limit());
                                   metrics.setPacedReads(traffic.readTurns->pacedReads());
                                   return { 200, metrics.render() };
                               });
        });
    }
    if (!settings.peerAddress.empty() && !digests.isOpen()) {
        asio::co_spawn(trafficContext,
                       listenLater(
                           trafficContext, peerAddress(),
                           [this] { return digests.open(settings.peerAddress); },
                           [] { return true; }),
                       asio::detached);
    }
    configuration.onRegained = [this] { crashRecords.noteStoreRegained(); };
    asio::co_spawn(controlContext, crashRecords.run(), asio::detached);
    asio::co_spawn(controlContext, streamVersions.run(), asio::detached);
    asio::co_spawn(controlContext, configuration.run(), asio::detached);
    asio::co_spawn(controlContext, servers.run(), asio::detached);
    asio::co_spawn(controlContext, weights.run(), asio::detached);
    asio::co_spawn(controlContext, weightsRecords.run(), asio::detached);
    asio::co_spawn(controlContext,
                   runRestarting(controlContext, "rollout", [this] { return rollout.run(); }),
                   asio::detached);
    if (!settings.peerAddress.empty()) {
        traffic.retryBudget.withholdAllowance(std::chrono::steady_clock::now());
        registration.onFirstProcess = [this] {
            asio::post(trafficContext, [this] { traffic.retryBudget.releaseAllowance(); });
        };
        passOnStoreObjects();
        asio::co_spawn(controlContext, nodes.run(), asio::detached);
    }
    asio::post(trafficContext, [this] { sweep(); });
    return startThreads();
}

Result<void> Gateway::Parts::startThreads()
{
    try {
        controlThread = std::thread([this] { runEventLoop(controlContext, "control", metrics); });
        trafficThread = std::thread([this] { runEventLoop(trafficContext, "traffic", metrics); });
    } catch (const std::system_error &refused) {
        return makeError(
            ErrorKind::Internal,
            std::string("can't create the threads of the node: ") + refused.what(),
            "Raise the limits of the process on threads and memory, or end what uses them up.");
    }
    return {};
}

void Gateway::Parts::passOnStoreObjects()
{
    const std::pair<platform::ObjectKind, StoreSync *> passedOn[] = {
        { platform::ObjectKind::Configuration, &configuration },
        { platform::ObjectKind::Servers, &servers },
        { platform::ObjectKind::DesiredWeights, &weights },
        { platform::ObjectKind::Nodes, &nodes },
    };
    for (const auto &[kind, sync] : passedOn) {
        // Only the configuration has parts that are the same wherever they come from.
        const bool mayBeInStore = kind == platform::ObjectKind::Configuration;
        relay.add(kind, sync->relayLog(),
                  { .linkMbps = settings.linkMbps,
                    .passingOnLimit = mayBeInStore
                        ? std::optional(passingOnLimit(settings.configurationLimit))
                        : std::nullopt });
        sync->onRelayChange = [this, kind = kind] { relay.noteNews(kind); };
    }
    configuration.onRelayExpected = [this](std::uint64_t bytes) {
        relay.noteExpected(platform::ObjectKind::Configuration, bytes);
    };
    configuration.onRelayConfirmed
        = [this] { relay.noteNews(platform::ObjectKind::Configuration); };
    serveOnceListening(controlContext, relayQueries, peerAddress(), [this] {
        rollout.noteOnlyProcess();
        // Other nodes hear of this one once they can reach it.
        asio::co_spawn(controlContext, registration.run(), asio::detached);
        return relay.serve(relayQueries);
    });
}

asio::awaitable<void> Gateway::Parts::acceptOnceListening()
{
    if (!callers.is_open()) {
        const bool listening = co_await listenLater(
            trafficContext, callerAddress(),
            [this] { return listenWithin(callers, settings.callerAddress); },
            [this] { return !traffic.draining; });
        if (!listening) {
            co_return;
        }
    }
    co_await acceptCallers(traffic, callers);
}

void Gateway::Parts::sweep()
{
    // A sweep that throws doesn't end the series.
    sweepTimer.expires_after(SweepPeriod);
    sweepTimer.async_wait([this](error_code error) {
        if (!error) {
            const Duration late = std::chrono::steady_clock::now() - sweepTimer.expiry();
            metrics.observeTrafficDelay(late);
            trafficDelay.note(
                { .late = late,
                  .controlThread = controlThread.native_handle(),
                  .activeRequests = traffic.activeRequests(),
                  .configuration = traffic.routes != nullptr ? traffic.routes->version() : 0 });
            sweep();
        }
    });
    const Instant now = std::chrono::steady_clock::now();
    traffic.connections.closeExpired(now);
    traffic.peerConnections.closeExpired(now);
    if (exchangesRequests()) {
        traffic.forwarding.setPeers(digests.forwardPeers(now));
    }
    traffic.othersHaveLinks = !digests.peersWithLinks(now).empty();
    const auto age = traffic.freshness.age(bootNow());
    if (age.has_value()) {
        metrics.setConfigurationAge(*age);
    }
    reportToRollout();
    reportCrashRecords();
    if (++sweeps % SweepsPerAssignment == 0) {
        assignCaches();
    }
}

void Gateway::Parts::applyConfiguration(const ConfigurationIdentity &identity,
                                        std::shared_ptr<const RouteTable> routes,
                                        const ConfigurationTiming &timing)
{
    streamVersions.applyServices(routes->resumableServices());
    asio::post(trafficContext, [this, identity, timing, routes = std::move(routes)] {
        traffic.applyConfiguration(identity, routes, timing);
    });
}

void Gateway::Parts::onCrashRecordsRead(std::vector<CrashRecord> records)
{
    asio::post(trafficContext, [this, records = std::move(records)] {
        traffic.mergeCrashes(records, std::chrono::steady_clock::now());
    });
}

void Gateway::Parts::reportCrashRecords()
{
    const Instant now = std::chrono::steady_clock::now();
    const bool peersMissing = !digests.hearsAllPeers(now);
    std::vector<CrashRecord> records;
    if (!traffic.crashHistory.empty()) {
        records = traffic.crashHistory.recordsToKeep(now, MaxKeptReports);
    }
    if (records.empty() && !crashRecordsReported && peersMissing == peersMissingReported) {
        return;
    }
    crashRecordsReported = !records.empty();
    peersMissingReported = peersMissing;
    asio::post(controlContext, [this, peersMissing, records = std::move(records)]() mutable {
        crashRecords.setPeersMissing(peersMissing);
        crashRecords.setLocal(std::move(records));
    });
}

void Gateway::Parts::onAdmittedVersions(const VersionTable &table)
{
    asio::post(trafficContext, [this, table] {
        traffic.streamVersions.setAdmitted(table, std::chrono::steady_clock::now());
    });
}

void Gateway::Parts::onConfigurationConfirmed(BootInstant moment)
{
    eraSettling.noteEra(store.era().value_or(0), bootNow());
    const bool proves = eraSettling.readsProve(bootNow());
    streamVersions.setStoreSettled(proves);
    configuration.setPacing(configurationPacing(
        { .proven = proves, .passesOn = passesOnObjects, .staleAfter = staleAfter }));
    if (!proves) {
        if (unprovenEra != store.era()) {
            unprovenEra = store.era();
            logLine(LogLevel::Info, "configuration_unproven",
                    { { "object", "configuration" },
                      { "era", static_cast<std::int64_t>(store.era().value_or(0)) },
                      { "reason",
                        "the store may have lost configurations that this node has not read" },
                      { "remedy",
                        "The node serves keys once the era is settled; check that the "
                        "configuration written last is in the store." } });
        }
        return;
    }
    // Without an era the store loses nothing, so that a completed read is proof enough.
    configurationReader.confirm(moment, store.era());
}

void Gateway::Parts::onServersChanged(const ObjectTable &table)
{
    serverDecoder.apply(table, store.era());
    applyServerList();
}

void Gateway::Parts::applyServerList()
{
    std::vector<ListedServer> list = serverList.apply(
        serverDecoder.entries(), store.era().value_or(0), std::chrono::steady_clock::now());
    rollout.applyServers(list);
    // Versions that may no longer be used are passed on before the servers that have them.
    streamVersions.applyServers(list);
    asio::post(trafficContext, [this, list = std::move(list)] {
        traffic.applyServers(list, std::chrono::steady_clock::now());
    });
    const auto again = serverList.applyAgainAt();
    if (again.has_value()) {
        serverListTimer.expires_at(*again);
        serverListTimer.async_wait([this](error_code error) {
            if (!error) {
                applyServerList();
            }
        });
    }
}

void Gateway::Parts::onDesiredWeightsChanged(const ObjectTable &table)
{
    oddWeights.keepListed(table);
    std::vector<DesiredWeights> desired;
    for (const auto &[name, object] : table) {
        const auto named = platform::readDesiredWeights(object.spec);
        if (!named.has_value()) {
            const std::string reason = reasonOf(object, named.error());
            if (oddWeights.noteOdd(name, reason)) {
                logLine(LogLevel::Warning, "named_weights_unreadable",
                        { { "model", loggableText(name) },
                          { "reason", reason },
                          { "remedy", "The version named before stays; correct the entry." } });
            }
            continue;
        }
        oddWeights.noteUsable(name);
        rollout.applyDesiredWeights(*named);
        asio::post(trafficContext, [this, named = *named] {
            traffic.noteDesiredWeights(named, std::chrono::steady_clock::now());
        });
        desired.push_back(*named);
    }
    weightsRecords.noteListed(std::move(desired));
}

void Gateway::Parts::mergeDesiredAges(const std::vector<DesiredWeightsAge> &ages,
                                      std::string_view witness)
{
    rollout.mergeDesiredAges(ages);
    asio::post(trafficContext, [this, ages, witness] {
        traffic.mergeDesiredWeights(ages, witness, std::chrono::steady_clock::now());
    });
}

void Gateway::Parts::onNodesChanged(const ObjectTable &table)
{
    std::vector<FleetNode> all = registration.applyNodes(table);
    streamVersions.setNodeCount(all.size());
    std::vector<RelayNode> zone;
    passesOnObjects = FleetTopology(settings.name, settings.zone, all).zoned();
    servers.setPacing(serversPacing({ .passesOn = passesOnObjects }));
    for (const FleetNode &node : all) {
        if (passesOnObjects && node.zone == settings.zone) {
            zone.push_back(
                { .name = node.name, .address = node.address, .linkMbps = node.linkMbps });
        }
    }
    for (StoreSync *sync : { &configuration, &servers, &weights, &nodes }) {
        sync->readerChoice().setZone(zone);
    }
    asio::post(trafficContext, [this, all = std::move(all)] { digests.applyNodes(all); });
}

void Gateway::Parts::cordonServer(const ServerId &server, const ModelId &model,
                                  WeightsVersion version, Duration limit)
{
    asio::post(trafficContext, [this, server, model, version, limit] {
        traffic.pool.cordonForLoad(server, model, version,
                                   std::chrono::steady_clock::now() + limit);
        digests.sendDigestSoon();
    });
}

void Gateway::Parts::uncordonServer(const ServerId &server, const ModelId &model,
                                    WeightsVersion version)
{
    asio::post(trafficContext, [this, server, model, version] {
        traffic.pool.noteWeights(server, model, version);
        digests.sendDigestSoon();
    });
}

void Gateway::Parts::assignCaches()
{
    const std::vector<std::string> live = digests.liveNodes(std::chrono::steady_clock::now());
    std::map<ServerId, std::string> own;
    for (const auto &[id, address] :
         traffic.pool.cacheAddresses(std::chrono::steady_clock::now())) {
        const std::uint64_t key = hash64(id.text());
        const auto owner = std::max_element(
            live.begin(), live.end(), [&](const std::string &left, const std::string &right) {
                return rendezvousScore(key, hash64(left)) < rendezvousScore(key, hash64(right));
            });
        if (*owner == settings.name) {
            own[id] = address;
        }
    }
    ownedCaches = own;
    const bool zoned = digests.topology().zoned();
    const bool isCandidate
        = isFleetDelegate(settings.name, live, zoned ? LeaseCandidatesPerZone : MaxActiveNodes);
    asio::post(controlContext, [this, isCandidate, live] {
        for (StoreSync *sync : { &configuration, &servers, &weights, &nodes }) {
            sync->readerChoice().setLive(live);
        }
        rollout.setCandidate(isCandidate);
        weightsRecords.setWriter(isCandidate);
    });
    asio::post(controlContext, [this, own = std::move(own)] { cacheEventReader.assign(own); });
}

void Gateway::Parts::reportToRollout()
{
    std::vector<EngineLoad> loads = traffic.pool.engineLoads(std::chrono::steady_clock::now());
    asio::post(controlContext, [this, loads = std::move(loads)] {
        for (const EngineLoad &load : loads) {
            rollout.noteVersion(load.server, load.model, load.weights);
            rollout.noteInFlight(load.server, load.inFlight);
            rollout.notePermission(load.server, load.permission);
        }
    });
}

void Gateway::Parts::pollDrain(const std::shared_ptr<std::promise<void>> &idle)
{
    const Duration sinceSignal = std::chrono::steady_clock::now() - traffic.drainingSince;
    const bool listenerEnded = sinceSignal >= traffic.stopSchedule.listenerEnd();
    // A check that throws is followed by the next one all the same.
    drainTimer.expires_after(DrainPollPeriod);
    drainTimer.async_wait([this, idle](error_code error) {
        if (!error) {
            pollDrain(idle);
        }
    });
    const StopSchedule &schedule = traffic.stopSchedule;
    if (sinceSignal >= schedule.acceptEnd()) {
        // Callers open their next connection to another node.
        traffic.closeIdleConnections(IdleConnections::Kept);
    }
    if (sinceSignal >= schedule.answerEnd()) {
        traffic.answerOpenRequests();
    }
    if (listenerEnded) {
        if (callers.is_open()) {
            acceptLastCallers(traffic, callers);
        }
        if (forwards.is_open()) {
            // Until now the requests of other nodes were declined: a connection that crosses the
            // close of the listener may seem open to its sender.
            acceptLastCallers(traffic, forwards, RequestSource::Peer);
        }
        traffic.closeIdleConnections(
            sinceSignal >= schedule.answerEnd() ? IdleConnections::All : IdleConnections::Overdue);
        if (!traffic.hasCallerConnections()) {
            drainTimer.cancel();
            idle->set_value();
        }
    }
}

void Gateway::Parts::answerOpenRequests(Instant end)
{
    auto done = std::make_shared<std::promise<void>>();
    std::future<void> answered = done->get_future();
    asio::post(trafficContext, [this, done] {
        traffic.answerOpenRequests();
        done->set_value();
    });
    static_cast<void>(answered.wait_until(end));
}

Gateway::Gateway(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{ }

Result<std::unique_ptr<Gateway>> Gateway::start(const GatewaySettings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    const auto opened = parts->open();
    if (!opened.has_value()) {
        return tl::make_unexpected(opened.error());
    }
    std::unique_ptr<Gateway> gateway(new Gateway(std::move(parts)));
    const auto running = gateway->parts_->run();
    if (!running.has_value()) {
        return tl::make_unexpected(running.error());
    }
    return gateway;
}

Gateway::~Gateway()
{
    parts_->trafficContext.stop();
    parts_->controlContext.stop();
    for (std::thread *const thread : { &parts_->trafficThread, &parts_->controlThread }) {
        // One that the system refused was never started.
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void Gateway::reload(const GatewaySettings &settings)
{
    asio::post(parts_->trafficContext,
               [this, settings] { parts_->traffic.applySettings(settings); });
    asio::post(parts_->controlContext,
               [this, staleAfter = Freshness::limitsFor(settings.keyRevocation).staleAfter] {
                   parts_->staleAfter = staleAfter;
               });
    parts_->stopGrace = settings.stopGrace;
}

std::uint64_t Gateway::requestsDropped() const
{
    return parts_->metrics.requestsDropped();
}

bool Gateway::drain(Instant signalled)
{
    const StopSchedule schedule(parts_->stopGrace.load());
    auto idle = std::make_shared<std::promise<void>>();
    std::future<void> stopped = idle->get_future();
    asio::post(parts_->trafficContext, [parts = parts_.get(), signalled, schedule, idle] {
        parts->traffic.draining = true;
        parts->traffic.drainingSince = signalled;
        parts->traffic.stopSchedule = schedule;
        parts->pollDrain(idle);
    });
    asio::post(parts_->controlContext, [parts = parts_.get()] { parts->rollout.beginDrain(); });
    const bool ended
        = stopped.wait_until(signalled + schedule.answerEnd()) == std::future_status::ready;
    asio::post(parts_->controlContext, [parts = parts_.get()] { parts->rollout.releaseLease(); });
    const Instant waitEnd
        = signalled + schedule.waitEnd(std::chrono::steady_clock::now() - signalled);
    if (!ended) {
        parts_->answerOpenRequests(waitEnd);
    }
    // The lease is released and the last responses are sent meanwhile.
    std::this_thread::sleep_until(
        std::min(std::chrono::steady_clock::now() + schedule.releaseTime(), waitEnd));
    return stopped.wait_for(Duration::zero()) == std::future_status::ready;
}

} // namespace jacinthroad
