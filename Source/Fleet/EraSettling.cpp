#include "Fleet/EraSettling.h"

#include <algorithm>

namespace jacinthroad {

EraSettling::EraSettling(const Options &options)
    : options_(options)
{ }

void EraSettling::noteEra(std::uint64_t era, BootInstant now)
{
    if (era <= era_) {
        return;
    }
    provenBefore_ = provenAt_.has_value() && now - *provenAt_ < options_.proofValidity;
    era_ = era;
    eraSeenAt_ = now;
}

void EraSettling::noteRecorded(std::uint64_t era)
{
    recordedEra_ = std::max(recordedEra_, era);
}

void EraSettling::noteProof(BootInstant sentAt)
{
    provenAt_ = sentAt;
}

bool EraSettling::settled(BootInstant now) const
{
    return recordedEra_ >= era_ || now - eraSeenAt_ >= options_.settleTime;
}

bool EraSettling::readsProve(BootInstant now) const
{
    return era_ == 0 || provenBefore_ || settled(now);
}

std::optional<std::uint64_t> EraSettling::eraToRecord(BootInstant now) const
{
    const bool due = era_ != 0 && recordedEra_ < era_
        && now - eraSeenAt_ >= options_.settleTime + options_.recordDelay;
    return due ? std::optional(era_) : std::nullopt;
}

} // namespace jacinthroad
