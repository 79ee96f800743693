#include "Gateway/TrafficState.h"

#include <algorithm>

#include "Core/Log.h"
#include "Gateway/BootClock.h"

namespace jacinthroad {

namespace {

/// Minimum number of entry VMs by which the retry allowance is divided. Larger than a small fleet,
/// because a node that has just started knows few other nodes.
constexpr std::size_t MinNodes = 12;
/// Share of the fleet-wide retry ratio that one node uses, because requests are distributed
/// unevenly.
constexpr double RetryShareUsed = 0.7;
/// Fractions of the time within which a revoked key must be rejected. OutdatedFraction exceeds the
/// age that a node connected to the store ever reaches: its watch waits for one second, and the age
/// of a response counts from the sending of the query.
constexpr double StaleFraction = 0.4;
constexpr double OutdatedFraction = 0.5;
constexpr double ExpiredFraction = 0.8;

/// Subtracted from the weights limit, because a request may wait this long on a server before it
/// starts.
constexpr Duration WeightsMargin = milliseconds(1500);
/// The balancer stops using a node after two failed readiness checks one second apart, and callers
/// need slightly longer.
constexpr Duration DrainAcceptTime = milliseconds(2800);

Duration fractionOf(Duration whole, double fraction)
{
    return fromMilliseconds(toMilliseconds(whole) * fraction);
}

Freshness::Options freshnessOptions(const GatewaySettings &settings)
{
    return { .staleAfter = fractionOf(settings.keyRevocation, StaleFraction),
             .expiredAfter = fractionOf(settings.keyRevocation, ExpiredFraction) };
}

AttemptBudget::Options retryBudgetOptions(const GatewaySettings &settings, std::size_t nodes)
{
    return { .retryRatio = settings.retryShare * RetryShareUsed,
             .window = settings.retryWindow,
             .allowance
             = settings.retryAllowance / static_cast<double>(std::max(MinNodes, nodes)) };
}

} // namespace

TrafficState::TrafficState(boost::asio::io_context &ioContext, const GatewaySettings &nodeSettings,
                           GatewayMetrics &gatewayMetrics)
    : context(ioContext)
    , settings(nodeSettings)
    , metrics(gatewayMetrics)
    , freshness(freshnessOptions(settings))
    , pool({ .zone = ZoneId(settings.zone),
             .outdatedWeightsGrace = settings.weightsLimit - WeightsMargin })
    , retryBudget(retryBudgetOptions(settings, MinNodes))
    , currentSettings_(settings)
{ }

void TrafficState::applySettings(const GatewaySettings &changed)
{
    currentSettings_ = changed;
    freshness.setOptions(freshnessOptions(currentSettings_));
    retryBudget.setOptions(retryBudgetOptions(currentSettings_, nodeCount_));
}

Duration TrafficState::outdatedConfigurationAge() const
{
    return fractionOf(currentSettings_.keyRevocation, OutdatedFraction);
}

void TrafficState::setNodeCount(std::size_t count)
{
    nodeCount_ = count;
    retryBudget.setOptions(retryBudgetOptions(currentSettings_, nodeCount_));
}

void TrafficState::applyConfiguration(std::shared_ptr<const RouteTable> newer)
{
    if (routes != nullptr && routes->version() >= newer->version()) {
        return;
    }
    routes = std::move(newer);
    pool.applyServices(routes->services());
    metrics.setConfigurationVersion(static_cast<double>(routes->version()));
    logLine(LogLevel::Info, "configuration",
            { { "version", static_cast<std::int64_t>(routes->version()) } });
}

void TrafficState::applyServers(const std::vector<ListedServer> &servers, Instant now)
{
    for (auto &[id, present] : listedServers_) {
        present = false;
    }
    for (const ListedServer &server : servers) {
        listedServers_[server.id] = true;
        pool.applyServer(server, now);
    }
    for (auto entry = listedServers_.begin(); entry != listedServers_.end();) {
        if (entry->second) {
            ++entry;
            continue;
        }
        pool.removeServer(entry->first, now);
        connections.closeIdle(entry->first);
        entry = listedServers_.erase(entry);
    }
    serverListLoaded = true;
}

CallerLimits TrafficState::limits() const
{
    return routes != nullptr ? routes->limits() : CallerLimits();
}

bool TrafficState::acceptsRequests(Instant now) const
{
    return !draining || now - drainingSince < DrainAcceptTime;
}

bool TrafficState::ready() const
{
    return !draining && routes != nullptr && serverListLoaded
        && freshness.level(bootNow()) != FreshnessLevel::Expired;
}

} // namespace jacinthroad
