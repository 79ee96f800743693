#include "Quarantine/Quarantine.h"

#include <algorithm>

namespace jacinthroad {

namespace {

constexpr std::uint8_t MaximumCrashCount = 255;
// A request in flight during this many crashes is rejected, even if none is proven to be its fault.
constexpr std::uint8_t MaximumUnprovenCrashes = 5;

std::uint8_t saturatingIncrement(std::uint8_t count)
{
    return count == MaximumCrashCount ? count : static_cast<std::uint8_t>(count + 1);
}

} // namespace

Quarantine::Quarantine(QuarantineOptions options)
    : options_(options)
{ }

Instant Quarantine::expiry(const QuarantineRecord &record, Instant now) const
{
    return now
        + (record.exclusiveCrashes > 0 ? options_.quarantineLifetime : options_.suspectLifetime);
}

RunPermission Quarantine::permission(RequestFingerprint fingerprint, Instant now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.expires <= now || found->second.cleared) {
        return RunPermission::Unrestricted;
    }
    const QuarantineRecord &record = found->second.record;
    const bool proven = record.exclusiveCrashes > 0 || record.crashes >= MaximumUnprovenCrashes;
    return proven ? RunPermission::Denied : RunPermission::Exclusive;
}

void Quarantine::dropOldest()
{
    const auto oldest
        = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
              return a.second.expires < b.second.expires;
          });
    entries_.erase(oldest);
}

void Quarantine::noteCrash(RequestFingerprint fingerprint, bool exclusive, Instant now)
{
    if (entries_.size() >= options_.capacity && !entries_.contains(fingerprint)) {
        dropOldest();
    }
    Entry &entry = entries_[fingerprint];
    entry.record.fingerprint = fingerprint;
    entry.record.crashes = saturatingIncrement(entry.record.crashes);
    if (exclusive) {
        entry.record.exclusiveCrashes = saturatingIncrement(entry.record.exclusiveCrashes);
    }
    entry.cleared = false;
    entry.expires = expiry(entry.record, now);
}

void Quarantine::noteFinished(RequestFingerprint fingerprint, Instant now)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && !found->second.cleared) {
        found->second.cleared = true;
        found->second.expires = now + options_.suspectLifetime;
    }
}

void Quarantine::merge(const QuarantineRecord &record, Instant now)
{
    if (entries_.size() >= options_.capacity && !entries_.contains(record.fingerprint)) {
        dropOldest();
    }
    const auto [found, added] = entries_.try_emplace(record.fingerprint);
    Entry &entry = found->second;
    const bool worse = added || record.crashes > entry.record.crashes
        || record.exclusiveCrashes > entry.record.exclusiveCrashes;
    if (!worse) {
        return;
    }
    entry.cleared = false;
    entry.record.fingerprint = record.fingerprint;
    entry.record.crashes = std::max(entry.record.crashes, record.crashes);
    entry.record.exclusiveCrashes
        = std::max(entry.record.exclusiveCrashes, record.exclusiveCrashes);
    entry.expires = expiry(entry.record, now);
}

std::vector<QuarantineRecord> Quarantine::records(Instant now) const
{
    std::vector<QuarantineRecord> result;
    for (const auto &[fingerprint, entry] : entries_) {
        if (entry.expires > now && !entry.cleared) {
            result.push_back(entry.record);
        }
    }
    return result;
}

} // namespace jacinthroad
