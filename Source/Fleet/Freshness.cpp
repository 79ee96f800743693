#include "Fleet/Freshness.h"

namespace jacinthroad {

namespace {

/// Fractions of the time within which a revoked key must be rejected.
constexpr double StaleFraction = 0.4;
constexpr double ExpiredFraction = 0.8;

} // namespace

Freshness::Options Freshness::limitsFor(Duration keyRevocation)
{
    const double whole = toMilliseconds(keyRevocation);
    return { .staleAfter = fromMilliseconds(whole * StaleFraction),
             .expiredAfter = fromMilliseconds(whole * ExpiredFraction) };
}

Freshness::Freshness(const Options &options)
    : options_(options)
{ }

void Freshness::confirm(BootInstant moment)
{
    if (!confirmed_.has_value() || *confirmed_ < moment) {
        confirmed_ = moment;
    }
}

std::optional<Duration> Freshness::age(BootInstant now) const
{
    if (!confirmed_.has_value()) {
        return std::nullopt;
    }
    return now - *confirmed_;
}

FreshnessLevel Freshness::level(BootInstant now) const
{
    const std::optional<Duration> since = age(now);
    if (!since.has_value() || *since >= options_.expiredAfter) {
        return FreshnessLevel::Expired;
    }
    return *since >= options_.staleAfter ? FreshnessLevel::Stale : FreshnessLevel::Current;
}

} // namespace jacinthroad
