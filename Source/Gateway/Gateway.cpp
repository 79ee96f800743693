#include "Gateway/Gateway.h"

#include <atomic>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Log.h"
#include "Gateway/BootClock.h"
#include "Gateway/Listener.h"
#include "Gateway/StatusServer.h"
#include "Gateway/StoreSync.h"
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
/// Period of the sweep over idle connections.
constexpr Duration SweepPeriod = milliseconds(500);
/// The balancer asks once a second and leaves after two misses; its callers then need a moment.
constexpr Duration BalancerLag = milliseconds(3200);
/// Time kept back from the grace for ending the process.
constexpr Duration StopMargin = milliseconds(350);
constexpr Duration StopPoll = milliseconds(20);

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
              { .kind = platform::ObjectKind::Servers, .name = "servers", .wait = ServersWait },
              [this](const ObjectTable &table) { takeServers(table); }, [](BootInstant) {})
        , weights(
              controlContext, store,
              { .kind = platform::ObjectKind::NamedWeights,
                .name = "named_weights",
                .wait = WeightsWait },
              [this](const ObjectTable &table) { takeNamedWeights(table); }, [](BootInstant) {})
    { }

    Result<void> open();
    void run();
    void sweep();
    void takeConfiguration(const ObjectTable &table);
    void confirmConfiguration(BootInstant moment);
    void takeServers(const ObjectTable &table);
    void takeNamedWeights(const ObjectTable &table);

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
    return {};
}

void Gateway::Parts::run()
{
    asio::co_spawn(trafficContext, acceptCallers(traffic, callers), asio::detached);
    asio::co_spawn(trafficContext,
                   serveStatus(readiness, settings.readinessPath,
                               [this]() -> StatusPage {
                                   return traffic.ready() ? StatusPage { 200, "ready\n" }
                                                          : StatusPage { 503, "not ready\n" };
                               }),
                   asio::detached);
    if (scrapes.is_open()) {
        asio::co_spawn(controlContext,
                       serveStatus(scrapes, "/metrics",
                                   [this]() -> StatusPage {
                                       return { 200, metrics.render() };
                                   }),
                       asio::detached);
    }
    asio::co_spawn(controlContext, configuration.run(), asio::detached);
    asio::co_spawn(controlContext, servers.run(), asio::detached);
    asio::co_spawn(controlContext, weights.run(), asio::detached);
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
    std::vector<BackendServer> list;
    for (const auto &[name, object] : table) {
        auto server = platform::readServer(name, object.spec);
        if (server.has_value()) {
            list.push_back(std::move(*server));
        } else {
            logLine(LogLevel::Warning, "server_unreadable",
                    { { "server", name }, { "reason", server.error().message } });
        }
    }
    asio::post(trafficContext, [this, list = std::move(list)] {
        traffic.applyServers(list, std::chrono::steady_clock::now());
    });
}

void Gateway::Parts::takeNamedWeights(const ObjectTable &table)
{
    for (const auto &[name, object] : table) {
        const auto named = platform::readNamedWeights(object.spec);
        if (!named.has_value()) {
            logLine(LogLevel::Warning, "named_weights_unreadable",
                    { { "model", name }, { "reason", named.error().message } });
            continue;
        }
        asio::post(trafficContext,
                   [this, named = *named] { traffic.pool.applyNamedWeights(named); });
    }
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

bool Gateway::drain()
{
    const Instant began = std::chrono::steady_clock::now();
    std::atomic<unsigned> active { 1 };
    asio::post(parts_->trafficContext, [this] { parts_->traffic.draining = true; });
    for (;;) {
        std::this_thread::sleep_for(StopPoll);
        asio::post(parts_->trafficContext, [this, &active] {
            active = parts_->traffic.activeRequests;
        });
        const Duration passed = std::chrono::steady_clock::now() - began;
        if (passed >= BalancerLag && active == 0) {
            return true;
        }
        if (passed >= parts_->settings.stopGrace - StopMargin) {
            return active == 0;
        }
    }
}

} // namespace jacinthroad
