#include "Gateway/TrafficState.h"

#include <algorithm>

#include "Core/Log.h"
#include "Gateway/BootClock.h"

namespace jacinthroad {

namespace {

/// Entry VMs that the allowance for repeated sends is divided by at least, above the size of a
/// small fleet: a node that has just started knows of few others.
constexpr std::size_t LeastNodes = 12;
/// Share of the fleet-wide ratio that a node uses itself, as requests spread unevenly.
constexpr double RepeatShareUsed = 0.7;
/// Parts of the time after which a key that was taken away must be refused. Old is more than a
/// node in touch with the store ever is: its watch waits for a second, and its answer's age counts
/// from the sending.
constexpr double AgedPart = 0.4;
constexpr double OldPart = 0.5;
constexpr double ExpiredPart = 0.8;

/// A request may wait this long on a server before it begins.
constexpr Duration WeightsMargin = milliseconds(1500);
/// The balancer leaves a node that is not ready after two questions, a second apart, and callers
/// need a moment more.
constexpr Duration AcceptanceAfterStop = milliseconds(2800);

Duration part(Duration whole, double share)
{
    return fromMilliseconds(toMilliseconds(whole) * share);
}

Freshness::Options freshnessOptions(const GatewaySettings &settings)
{
    return { .staleAfter = part(settings.keyRevocation, AgedPart),
             .expiredAfter = part(settings.keyRevocation, ExpiredPart) };
}

AttemptBudget::Options repeatOptions(const GatewaySettings &settings, std::size_t nodes)
{
    return { .ratio = settings.repeatShare * RepeatShareUsed,
             .window = settings.repeatWindow,
             .allowance
             = settings.repeatAllowance / static_cast<double>(std::max(LeastNodes, nodes)) };
}

} // namespace

TrafficState::TrafficState(boost::asio::io_context &ioContext, const GatewaySettings &nodeSettings,
                           GatewayMetrics &gatewayMetrics)
    : context(ioContext)
    , settings(nodeSettings)
    , metrics(gatewayMetrics)
    , freshness(freshnessOptions(settings))
    , pool({ .zone = ZoneId(settings.zone),
             .weightsOverdue = settings.weightsBound - WeightsMargin })
    , repeats(repeatOptions(settings, LeastNodes))
    , bounds_(settings)
{ }

void TrafficState::applySettings(const GatewaySettings &changed)
{
    bounds_ = changed;
    freshness.setOptions(freshnessOptions(bounds_));
    repeats.setOptions(repeatOptions(bounds_, nodes_));
}

Duration TrafficState::oldConfigurationAge() const
{
    return part(bounds_.keyRevocation, OldPart);
}

void TrafficState::applyNodes(std::size_t count)
{
    nodes_ = count;
    repeats.setOptions(repeatOptions(bounds_, nodes_));
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
    for (auto &[id, present] : listed_) {
        present = false;
    }
    for (const ListedServer &server : servers) {
        listed_[server.id] = true;
        pool.applyServer(server, now);
    }
    for (auto entry = listed_.begin(); entry != listed_.end();) {
        if (entry->second) {
            ++entry;
            continue;
        }
        pool.removeServer(entry->first, now);
        connections.drop(entry->first);
        entry = listed_.erase(entry);
    }
    serversKnown = true;
}

CallerLimits TrafficState::limits() const
{
    return routes != nullptr ? routes->limits() : CallerLimits();
}

bool TrafficState::takesRequests(Instant now) const
{
    return !draining || now - drainingSince < AcceptanceAfterStop;
}

bool TrafficState::ready() const
{
    return !draining && routes != nullptr && serversKnown
        && freshness.level(bootNow()) != FreshnessLevel::Expired;
}

} // namespace jacinthroad
