#include "Gateway/Gateway.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Core/WallClock.h"
#include "FleetPeers/FleetRoles.h"
#include "Gateway/BootClock.h"
#include "Gateway/CacheFeed.h"
#include "Gateway/DigestExchange.h"
#include "Gateway/Listener.h"
#include "Gateway/Pause.h"
#include "Gateway/RolloutDriver.h"
#include "Gateway/StatusServer.h"
#include "Gateway/StoreSync.h"
#include "Routing/Rendezvous.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// How long watches wait. The configuration's renew the freshness that keys depend on, the list of
/// servers decides how soon a leaving server gets no more work, weights change rarely.
constexpr Duration ConfigurationWait = milliseconds(1000);
constexpr Duration ServersWait = milliseconds(1500);
constexpr Duration WeightsWait = milliseconds(4000);
/// Entries of servers change with every heartbeat; a leaving server has to be known within two
/// seconds, of which a store that tells nothing for a second may take one.
constexpr Duration ServersGather = milliseconds(600);
/// Nodes that read the list of servers so often and ask for the lease; the others hear from them
/// which servers leave. As many as a small fleet has, so that a zone that is cut off has some.
constexpr std::size_t ActingNodes = 8;
/// Time between two reads of the list by the others.
constexpr Duration ServersGatherOthers = milliseconds(1800);
constexpr Duration NodesWait = milliseconds(10000);
/// Pause between tries to list this node among the nodes.
constexpr Duration RegisterPause = milliseconds(700);
constexpr Duration RegisterTimeout = milliseconds(900);
/// Field of a node's object that holds the address for digests.
constexpr const char *PeerAddressField = "peers";
/// Period of the sweep over idle connections and of telling the rollout what answers said.
constexpr Duration SweepPeriod = milliseconds(200);
/// Sweeps between two looks at who is the home of which cache.
constexpr unsigned SweepsPerAssignment = 4;
/// The balancer asks once a second and leaves after two misses; its callers then need a moment.
constexpr Duration BalancerLag = milliseconds(3200);
/// Time kept back from the grace for ending the process.
constexpr Duration StopMargin = milliseconds(450);
constexpr Duration StopPoll = milliseconds(20);
/// Time for giving the lease up at the very end: a step of the driver and a call to the store.
constexpr Duration ReleaseTime = milliseconds(150);

/// A server's entry as it was last decoded; entries change one at a time and are many.
struct DecodedServer
{
    std::uint64_t revision = 0;
    /// Nothing where the entry cannot be read.
    std::optional<ListedServer> server;
};

std::optional<ListedServer> decodeServer(const std::string &name, const Json::Value &spec)
{
    auto server = platform::readServer(name, spec);
    if (server.has_value()) {
        return std::move(*server);
    }
    logLine(LogLevel::Warning, "server_unreadable",
            { { "server", name }, { "reason", server.error().message } });
    return std::nullopt;
}

} // namespace

struct Gateway::Parts
{
    explicit Parts(const GatewaySettings &nodeSettings)
        : settings(nodeSettings)
        , trafficContext(1)
        , controlContext(1)
        , traffic(trafficContext, settings, metrics)
        , store(controlContext, settings.storeAddress, metrics)
        , callers(trafficContext)
        , readiness(trafficContext)
        , scrapes(controlContext)
        , sweepTimer(trafficContext)
        , configuration(
              controlContext, store,
              { .kind = platform::ObjectKind::Configuration,
                .name = "configuration",
                .wait = ConfigurationWait },
              [this](const ObjectTable &table) { takeConfiguration(table); },
              [this](BootInstant moment) { confirmConfiguration(moment); })
        , servers(
              controlContext, store,
              { .kind = platform::ObjectKind::Servers,
                .name = "servers",
                .wait = ServersWait,
                .gather = ServersGather },
              [this](const ObjectTable &table) { takeServers(table); }, [](BootInstant) {})
        , weights(
              controlContext, store,
              { .kind = platform::ObjectKind::DesiredWeights,
                .name = "named_weights",
                .wait = WeightsWait },
              [this](const ObjectTable &table) { takeNamedWeights(table); }, [](BootInstant) {})
        , nodes(
              controlContext, store,
              { .kind = platform::ObjectKind::Nodes, .name = "nodes", .wait = NodesWait },
              [this](const ObjectTable &table) { takeNodes(table); }, [](BootInstant) {})
        , boot(wallMilliseconds())
        , digests(traffic, boot)
        , rollout(
              controlContext, store,
              { .node = settings.name, .boot = boot, .lease = settings.lease },
              [this](const ServerId &server, const ModelId &model, WeightsVersion version,
                     Duration limit) { closeServer(server, model, version, limit); },
              [this](const ServerId &server, const ModelId &model, WeightsVersion version) {
                  openServer(server, model, version);
              },
              [this](const std::vector<NamedNotice> &named) {
                  asio::post(trafficContext, [this, named] {
                      traffic.pool.applyDesiredWeightsAges(named, std::chrono::steady_clock::now());
                  });
              })
        , caches(controlContext, [this](const ServerId &id, const CacheEvents &events) {
            asio::post(trafficContext,
                       [this, id, events] { traffic.pool.applyCacheEvents(id, events); });
        })
    { }

    Result<void> open();
    void run();
    void sweep();
    void takeConfiguration(const ObjectTable &table);
    void confirmConfiguration(BootInstant moment);
    void takeServers(const ObjectTable &table);
    void takeNamedWeights(const ObjectTable &table);
    void takeNodes(const ObjectTable &table);
    void closeServer(const ServerId &server, const ModelId &model, WeightsVersion version,
                     Duration limit);
    void openServer(const ServerId &server, const ModelId &model, WeightsVersion version);
    void tellRollout();
    void assignCaches();
    [[nodiscard]] asio::awaitable<void> registerNode();

    GatewaySettings settings;
    GatewayMetrics metrics;
    asio::io_context trafficContext;
    asio::io_context controlContext;
    TrafficState traffic;
    StoreClient store;
    asio::ip::tcp::acceptor callers;
    asio::ip::tcp::acceptor readiness;
    asio::ip::tcp::acceptor scrapes;
    asio::steady_timer sweepTimer;
    StoreSync configuration;
    StoreSync servers;
    StoreSync weights;
    StoreSync nodes;
    std::int64_t boot;
    DigestExchange digests;
    RolloutDriver rollout;
    CacheFeed caches;
    /// Belongs to the control thread.
    std::map<std::string, DecodedServer> decoded;
    /// Caches that this node is the home of; belongs to the traffic thread.
    std::map<ServerId, std::string> ownCaches;
    unsigned sweeps = 0;
    std::thread trafficThread;
    std::thread controlThread;
};

Result<void> Gateway::Parts::open()
{
    auto opened = openAcceptor(trafficContext, settings.callerAddress);
    if (!opened.has_value()) {
        return tl::make_unexpected(opened.error());
    }
    callers = std::move(*opened);
    opened = openAcceptor(trafficContext, settings.readinessAddress);
    if (!opened.has_value()) {
        return tl::make_unexpected(opened.error());
    }
    readiness = std::move(*opened);
    if (!settings.metricsAddress.empty()) {
        opened = openAcceptor(controlContext, settings.metricsAddress);
        if (!opened.has_value()) {
            return tl::make_unexpected(opened.error());
        }
        scrapes = std::move(*opened);
    }
    if (!settings.peerAddress.empty()) {
        return digests.open(settings.peerAddress);
    }
    return {};
}

void Gateway::Parts::run()
{
    traffic.tellPeersSoon = [this] { digests.tellSoon(); };
    digests.newPeer = [this] {
        for (const auto &[id, address] : ownCaches) {
            traffic.pool.resendCachedParts(id);
        }
    };
    asio::co_spawn(trafficContext, acceptCallers(traffic, callers), asio::detached);
    asio::co_spawn(trafficContext,
                   serveStatus(trafficContext, readiness, settings.readinessPath,
                               [this]() -> StatusPage {
                                   return traffic.ready() ? StatusPage { 200, "ready\n" }
                                                          : StatusPage { 503, "not ready\n" };
                               }),
                   asio::detached);
    if (scrapes.is_open()) {
        asio::co_spawn(controlContext,
                       serveStatus(controlContext, scrapes, "/metrics",
                                   [this]() -> StatusPage {
                                       return { 200, metrics.render() };
                                   }),
                       asio::detached);
    }
    asio::co_spawn(controlContext, configuration.run(), asio::detached);
    asio::co_spawn(controlContext, servers.run(), asio::detached);
    asio::co_spawn(controlContext, weights.run(), asio::detached);
    asio::co_spawn(controlContext, rollout.run(), asio::detached);
    if (!settings.peerAddress.empty()) {
        asio::co_spawn(controlContext, nodes.run(), asio::detached);
        asio::co_spawn(controlContext, registerNode(), asio::detached);
    }
    asio::post(trafficContext, [this] { sweep(); });
    trafficThread = std::thread([this] { trafficContext.run(); });
    controlThread = std::thread([this] { controlContext.run(); });
}

void Gateway::Parts::sweep()
{
    traffic.connections.sweep(std::chrono::steady_clock::now());
    const auto age = traffic.freshness.age(bootNow());
    if (age.has_value()) {
        metrics.setConfigurationAge(*age);
    }
    tellRollout();
    if (++sweeps % SweepsPerAssignment == 0) {
        assignCaches();
    }
    sweepTimer.expires_after(SweepPeriod);
    sweepTimer.async_wait([this](error_code error) {
        if (!error) {
            sweep();
        }
    });
}

void Gateway::Parts::takeConfiguration(const ObjectTable &table)
{
    const auto found = table.find(std::string(platform::configurationName()));
    if (found == table.end()) {
        return;
    }
    auto read = platform::readConfiguration(found->second.spec);
    if (!read.has_value()) {
        logLine(LogLevel::Error, "configuration_unreadable",
                { { "reason", read.error().message } });
        return;
    }
    asio::post(trafficContext,
               [this, routes = std::make_shared<const RouteTable>(std::move(*read))] {
                   traffic.applyConfiguration(routes);
               });
}

void Gateway::Parts::confirmConfiguration(BootInstant moment)
{
    asio::post(trafficContext, [this, moment] { traffic.freshness.confirm(moment); });
}

void Gateway::Parts::takeServers(const ObjectTable &table)
{
    std::erase_if(decoded, [&](const auto &entry) { return !table.contains(entry.first); });
    std::vector<ListedServer> list;
    for (const auto &[name, object] : table) {
        DecodedServer &known = decoded[name];
        if (known.revision != object.revision || known.revision == 0) {
            known = { .revision = object.revision, .server = decodeServer(name, object.spec) };
        }
        if (known.server.has_value()) {
            list.push_back(*known.server);
        }
    }
    rollout.applyServers(list);
    asio::post(trafficContext, [this, list = std::move(list)] {
        traffic.applyServers(list, std::chrono::steady_clock::now());
    });
}

void Gateway::Parts::takeNamedWeights(const ObjectTable &table)
{
    for (const auto &[name, object] : table) {
        const auto named = platform::readDesiredWeights(object.spec);
        if (!named.has_value()) {
            logLine(LogLevel::Warning, "named_weights_unreadable",
                    { { "model", name }, { "reason", named.error().message } });
            continue;
        }
        rollout.applyNamedWeights(*named);
        asio::post(trafficContext, [this, named = *named] {
            traffic.pool.applyDesiredWeights(named, std::chrono::steady_clock::now());
        });
    }
}

void Gateway::Parts::takeNodes(const ObjectTable &table)
{
    std::unordered_map<std::string, std::string> addresses;
    for (const auto &[name, object] : table) {
        if (object.spec.isObject() && object.spec[PeerAddressField].isString()) {
            addresses[name] = object.spec[PeerAddressField].asString();
        }
    }
    asio::post(trafficContext, [this, addresses] { digests.applyPeers(addresses); });
}

asio::awaitable<void> Gateway::Parts::registerNode()
{
    Json::Value spec;
    spec[PeerAddressField] = settings.peerAddress;
    for (;;) {
        const auto reply = co_await store.call(
            platform::createCall(platform::ObjectKind::Nodes, settings.name, spec),
            RegisterTimeout);
        if (reply.has_value() && reply->status == platform::StoreStatus::Done) {
            co_return;
        }
        if (reply.has_value() && reply->status == platform::StoreStatus::Conflict) {
            const auto object = platform::readObject(reply->body);
            if (object.has_value() && object->spec == spec) {
                co_return;
            }
            if (object.has_value()) {
                const auto replaced = co_await store.call(
                    platform::replaceCall(platform::ObjectKind::Nodes, settings.name,
                                          object->revision, spec),
                    RegisterTimeout);
                if (replaced.has_value() && replaced->status == platform::StoreStatus::Done) {
                    co_return;
                }
            }
        }
        co_await pauseFor(controlContext, RegisterPause);
    }
}

void Gateway::Parts::closeServer(const ServerId &server, const ModelId &model,
                                 WeightsVersion version, Duration limit)
{
    asio::post(trafficContext, [this, server, model, version, limit] {
        traffic.pool.cordonForLoad(server, model, version,
                                   std::chrono::steady_clock::now() + limit);
        digests.tellSoon();
    });
}

void Gateway::Parts::openServer(const ServerId &server, const ModelId &model,
                                WeightsVersion version)
{
    asio::post(trafficContext, [this, server, model, version] {
        traffic.pool.noteWeights(server, model, version);
        digests.tellSoon();
    });
}

void Gateway::Parts::assignCaches()
{
    const std::vector<std::string> live = digests.liveNodes(std::chrono::steady_clock::now());
    std::map<ServerId, std::string> own;
    for (const auto &[id, address] : traffic.pool.cacheAddresses()) {
        const std::uint64_t key = hash64(id.text());
        const auto home = std::max_element(
            live.begin(), live.end(), [&](const std::string &left, const std::string &right) {
                return rendezvousScore(key, hash64(left)) < rendezvousScore(key, hash64(right));
            });
        if (*home == settings.name) {
            own[id] = address;
        }
    }
    ownCaches = own;
    const bool acts = actsForFleet(settings.name, live, ActingNodes);
    asio::post(controlContext, [this, acts] {
        servers.setGather(acts ? ServersGather : ServersGatherOthers);
        rollout.setCandidate(acts);
    });
    asio::post(controlContext, [this, own = std::move(own)] { caches.assign(own); });
}

void Gateway::Parts::tellRollout()
{
    std::vector<EngineLoad> loads = traffic.pool.engineLoads();
    asio::post(controlContext, [this, loads = std::move(loads)] {
        for (const EngineLoad &load : loads) {
            rollout.noteServer(load.server, load.model, load.weights);
            rollout.noteInFlight(load.server, load.inFlight);
        }
    });
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
    parts->run();
    return std::unique_ptr<Gateway>(new Gateway(std::move(parts)));
}

Gateway::~Gateway()
{
    parts_->trafficContext.stop();
    parts_->controlContext.stop();
    parts_->trafficThread.join();
    parts_->controlThread.join();
}

void Gateway::reload(const GatewaySettings &settings)
{
    asio::post(parts_->trafficContext,
               [this, settings] { parts_->traffic.applySettings(settings); });
    parts_->settings.stopGrace = settings.stopGrace;
}

bool Gateway::drain()
{
    const Instant began = std::chrono::steady_clock::now();
    std::atomic<unsigned> active { 1 };
    asio::post(parts_->trafficContext, [this, began] {
        parts_->traffic.draining = true;
        parts_->traffic.drainingSince = began;
    });
    asio::post(parts_->controlContext, [this] { parts_->rollout.stop(); });
    bool whole = false;
    for (bool waiting = true; waiting;) {
        std::this_thread::sleep_for(StopPoll);
        asio::post(parts_->trafficContext,
                   [this, &active] { active = parts_->traffic.activeRequests; });
        const Duration passed = std::chrono::steady_clock::now() - began;
        whole = active == 0;
        waiting
            = passed < parts_->settings.stopGrace - StopMargin && (passed < BalancerLag || !whole);
    }
    asio::post(parts_->controlContext, [this] { parts_->rollout.finish(); });
    std::this_thread::sleep_for(ReleaseTime);
    return whole;
}

} // namespace jacinthroad
