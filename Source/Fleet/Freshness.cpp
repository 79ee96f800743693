#include "Fleet/Freshness.h"

namespace jacinthroad {

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
