#include "Placement/ServerLimit.h"

#include <algorithm>
#include <cmath>

#include "FleetPeers/DigestPacing.h"

namespace jacinthroad {

namespace {

/// Share of the limit that requests use; the rest is left to orders and status reports.
constexpr double RequestShare = 0.75;
/// Requests a second of a limit for each node that shares it. A node of a large fleet receives many
/// times as many.
constexpr double RequestsPerSharer = 2;
/// Smallest limit that is kept exactly, requests a second.
constexpr double MinPerSecond = 0.05;
/// Shortest time without a response after which the other nodes take turns, and of each turn.
constexpr Duration MinTurnTime = std::chrono::seconds(2);
/// The same as a multiple of the time between two requests of the sharing nodes, and of the delay
/// of digests, which come every two delays.
constexpr int IntervalsPerTurn = 2;
constexpr int DigestDelaysPerTurn = 4;

Duration interval(double perSecond)
{
    return fromMilliseconds(1000 / perSecond);
}

} // namespace

bool ServerLimit::note(std::optional<double> perSecond, Instant observedAt)
{
    if (observedAt_.has_value() && observedAt <= *observedAt_) {
        return false;
    }
    observedAt_ = observedAt;
    if (perSecond.has_value()) {
        perSecond = std::max(*perSecond, MinPerSecond);
    }
    const bool changed = perSecond_ != perSecond;
    perSecond_ = perSecond;
    return changed;
}

Duration ServerLimit::turnTime(std::size_t nodes) const
{
    return std::max({ Duration(MinTurnTime),
                      IntervalsPerTurn * interval(*perSecond_ * RequestShare),
                      DigestDelaysPerTurn * digestBatchDelay(nodes) });
}

bool ServerLimit::needsRenewal(Instant now) const
{
    return perSecond_.has_value() && now - *observedAt_ >= MinTurnTime;
}

bool ServerLimit::maySend(const LimitRank &place, Instant now) const
{
    if (!perSecond_.has_value()) {
        return true;
    }
    const auto sharers = static_cast<std::size_t>(
        std::clamp(std::floor(*perSecond_ / RequestsPerSharer), 1.0,
                   static_cast<double>(std::max<std::size_t>(place.nodes, 1))));
    if (place.rank < sharers) {
        const double share = *perSecond_ * RequestShare / static_cast<double>(sharers);
        return !sentAt_.has_value() || now - *sentAt_ >= interval(share);
    }
    const Duration turn = turnTime(place.nodes);
    const Duration unseen = now - *observedAt_;
    if (unseen < turn || (sentAt_.has_value() && now - *sentAt_ < turn)) {
        return false;
    }
    const auto turnsPassed = static_cast<std::size_t>(unseen / turn - 1);
    return turnsPassed % (place.nodes - sharers) == place.rank - sharers;
}

Duration ServerLimit::controlInterval() const
{
    return perSecond_.has_value() ? interval(*perSecond_ * (1 - RequestShare)) : Duration::zero();
}

Duration ServerLimit::retryAfter() const
{
    return perSecond_.has_value() ? interval(*perSecond_ * RequestShare) : Duration::zero();
}

} // namespace jacinthroad
