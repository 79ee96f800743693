#include "Fleet/StopSchedule.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// The balancer stops using a node after two failed readiness checks one second apart, and callers
/// need slightly longer.
constexpr Duration BalancerAcceptTime = milliseconds(2800);
/// The same with the time that callers need to move away.
constexpr Duration BalancerDelay = milliseconds(3200);
/// Part of the grace period that is reserved for the last responses and the end of the process.
constexpr Duration StopMargin = milliseconds(450);
/// The part reserved of a short grace period. Less than the last sixth, before which no stream that
/// a server is still sending may be ended according to the platform's pages.
constexpr int MarginDivisor = 8;
/// Time for releasing the lease at the end: one step of the rollout driver and one store call.
constexpr Duration ReleaseTime = milliseconds(150);

} // namespace

StopSchedule::StopSchedule(Duration grace)
    : grace_(grace)
{ }

Duration StopSchedule::acceptEnd() const
{
    return std::min(BalancerAcceptTime, answerEnd());
}

Duration StopSchedule::listenerEnd() const
{
    return std::min(BalancerDelay, answerEnd());
}

Duration StopSchedule::answerEnd() const
{
    return grace_ - std::min(StopMargin, grace_ / MarginDivisor);
}

Duration StopSchedule::waitEnd(Duration sinceSignal) const
{
    return sinceSignal + std::max(grace_ - sinceSignal, Duration::zero()) / 2;
}

Duration StopSchedule::releaseTime() const
{
    return std::min(ReleaseTime, (grace_ - answerEnd()) / 2);
}

std::optional<Duration> StopSchedule::serviceLimit(const StopArrival &arrival) const
{
    if (arrival.sinceSignal >= acceptEnd()) {
        return std::nullopt;
    }
    const Duration remaining = answerEnd() - arrival.sinceSignal;
    if (arrival.limit <= remaining) {
        return arrival.limit;
    }
    const bool likelyDone
        = arrival.usualDuration.has_value() && *arrival.usualDuration <= remaining;
    return arrival.mayBeEnded && likelyDone ? std::optional(remaining) : std::nullopt;
}

} // namespace jacinthroad
