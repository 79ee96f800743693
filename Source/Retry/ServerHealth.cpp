#include "Retry/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace jacinthroad {

namespace {

constexpr double GapSmoothingWeight = 0.3;
constexpr double MaxSlowdown = 20;
constexpr unsigned MaxDoublings = 10;

} // namespace

ServerHealth::ServerHealth(ServerHealthOptions options)
    : options_(options)
{ }

void ServerHealth::noteSuccess()
{
    failures_ = 0;
    ejections_ = 0;
    ejected_ = false;
    probing_ = false;
}

void ServerHealth::noteFailure(Instant now)
{
    ++failures_;
    const bool probeFailed = ejected_ && probing_;
    probing_ = false;
    if (!probeFailed && failures_ < options_.failuresToEject) {
        return;
    }
    if (ejected_ && now < ejectedUntil_) {
        return;
    }
    const double factor = std::exp2(std::min(ejections_, MaxDoublings));
    const Duration length
        = std::min(options_.longestEjection,
                   fromMilliseconds(toMilliseconds(options_.firstEjection) * factor));
    ++ejections_;
    ejected_ = true;
    ejectedUntil_ = now + length;
}

void ServerHealth::noteRelativeGap(double ratio, Instant now)
{
    const double current = slowdown(now);
    slowdown_ = std::clamp(current + GapSmoothingWeight * (ratio - current), 1.0, MaxSlowdown);
    slowdownAt_ = now;
}

ServerHealth::State ServerHealth::state(Instant now) const
{
    if (!ejected_) {
        return State::Serving;
    }
    return now < ejectedUntil_ ? State::Ejected : State::HalfOpen;
}

bool ServerHealth::available(Instant now) const
{
    switch (state(now)) {
    case State::Serving:
        return true;
    case State::Ejected:
        return false;
    case State::HalfOpen:
        return !probing_;
    }
    return false;
}

double ServerHealth::slowdown(Instant now) const
{
    if (slowdown_ <= 1) {
        return 1;
    }
    const double age = toMilliseconds(now - slowdownAt_);
    const double halves = std::max(0.0, age) / toMilliseconds(options_.slowdownHalfLife);
    return 1 + (slowdown_ - 1) * std::exp2(-halves);
}

} // namespace jacinthroad
