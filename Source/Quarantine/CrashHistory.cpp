#include "Quarantine/CrashHistory.h"

#include <algorithm>
#include <tuple>

namespace jacinthroad {

namespace {

/// Observations of one server within this time belong to one crash: a server needs some seconds to
/// restart.
constexpr Duration SameCrashTime = milliseconds(1500);
/// How much later than the previous crash a request must have been sent if another node observed
/// that crash: the times of other nodes are late by the transit time of their messages.
constexpr Duration TransitAllowance = milliseconds(150);
/// Maximum number of crashes kept for one request.
constexpr std::size_t MaxCrashes = 64;
/// How many times a change is sent, because datagrams may be lost.
constexpr unsigned SendsPerChange = 5;
/// Minimum time between two sends of one record.
constexpr Duration MinSendInterval = milliseconds(150);
/// Interval at which records with several crashes are sent again.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
/// Counted crashes from which a record is sent repeatedly.
constexpr unsigned CrashesToRepeat = 2;
/// Counted and cleared crashes from which a record is kept across restarts of all nodes, and
/// maximum number of crashes that are kept of one request, the latest.
constexpr std::size_t CrashesToKeep = 2;
constexpr std::size_t MaxKeptCrashes = 8;

} // namespace

CrashHistory::CrashHistory(const CrashHistoryOptions &options)
    : options_(options)
{ }

void CrashHistory::recount(Entry &entry)
{
    // The order must not depend on the order in which the messages arrived.
    std::sort(entry.crashes.begin(), entry.crashes.end(), [](const Crash &a, const Crash &b) {
        return std::tie(a.crashedAt, a.sentAt, a.reporter, a.number)
            < std::tie(b.crashedAt, b.sentAt, b.reporter, b.number);
    });
    entry.counted = 0;
    const Crash *previous = nullptr;
    for (Crash &crash : entry.crashes) {
        entry.lastCrashAt = std::max(entry.lastCrashAt, crash.crashedAt);
        crash.counts = !crash.cleared
            && (previous == nullptr
                || crash.sentAt >= previous->crashedAt
                        + (crash.reporter == previous->reporter ? Duration::zero()
                                                                : TransitAllowance));
        if (crash.counts) {
            ++entry.counted;
            entry.lastCountedAt = crash.crashedAt;
            previous = &crash;
        }
    }
}

std::tuple<bool, std::uint64_t, std::uint32_t> CrashHistory::keepOrder(const Crash &crash)
{
    return { !crash.counts, crash.reporter, crash.number };
}

bool CrashHistory::add(Entry &entry, const Crash &crash)
{
    const auto known
        = std::find_if(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &candidate) {
              const bool sameObservation
                  = candidate.reporter == crash.reporter && candidate.number == crash.number;
              return sameObservation
                  || (candidate.server == crash.server
                      && std::chrono::abs(candidate.crashedAt - crash.crashedAt) < SameCrashTime);
          });
    if (known == entry.crashes.end()) {
        entry.crashes.push_back(crash);
        recount(entry);
        dropExcessCrash(entry);
        return true;
    }
    // Delays make the times late, so the earliest are the most accurate.
    known->sentAt = std::min(known->sentAt, crash.sentAt);
    known->crashedAt = std::min(known->crashedAt, crash.crashedAt);
    known->cleared = known->cleared || crash.cleared;
    if (std::tie(crash.reporter, crash.number) < std::tie(known->reporter, known->number)) {
        known->reporter = crash.reporter;
        known->number = crash.number;
    }
    recount(entry);
    return false;
}

void CrashHistory::dropExcessCrash(Entry &entry)
{
    if (entry.crashes.size() <= MaxCrashes) {
        return;
    }
    const auto dropped = std::max_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const Crash &a, const Crash &b) { return keepOrder(a) < keepOrder(b); });
    entry.crashes.erase(dropped);
    recount(entry);
}

CrashHistory::Entry &CrashHistory::entryFor(RequestFingerprint fingerprint)
{
    if (entries_.size() >= options_.capacity && !entries_.contains(fingerprint)) {
        const auto least
            = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
                  return std::tie(a.second.counted, a.second.lastCrashAt, a.first)
                      < std::tie(b.second.counted, b.second.lastCrashAt, b.first);
              });
        entries_.erase(least);
    }
    return entries_[fingerprint];
}

void CrashHistory::removeExpired(Instant now)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        auto &crashes = entry->second.crashes;
        if (std::erase_if(
                crashes,
                [&](const Crash &crash) { return now - crash.crashedAt > options_.retention; })
            > 0) {
            recount(entry->second);
        }
        entry = crashes.empty() ? entries_.erase(entry) : std::next(entry);
    }
}

bool CrashHistory::noteCrash(RequestFingerprint fingerprint, std::uint64_t server, Instant sentAt,
                             Instant crashedAt, Instant now)
{
    removeExpired(now);
    Entry &entry = entryFor(fingerprint);
    const bool added = add(entry,
                           { .reporter = options_.reporter,
                             .number = ++nextNumber_,
                             .server = server,
                             .sentAt = sentAt,
                             .crashedAt = crashedAt });
    if (added) {
        entry.pendingSends = SendsPerChange;
    }
    return added;
}

void CrashHistory::noteCompleted(RequestFingerprint fingerprint, Instant now)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    bool changed = false;
    for (Crash &crash : entry.crashes) {
        if (!crash.cleared && crash.crashedAt <= now) {
            crash.cleared = true;
            changed = true;
        }
    }
    if (changed) {
        recount(entry);
        entry.pendingSends = SendsPerChange;
    }
}

CrashAssessment CrashHistory::assess(const Entry &entry, Instant now) const
{
    CrashAssessment assessment { .crashes = entry.counted };
    const Duration remaining = entry.lastCountedAt + options_.denialTime - now;
    if (entry.counted >= options_.crashesToDeny && remaining > Duration::zero()) {
        assessment.permission = CrashPermission::Denied;
        assessment.remaining = remaining;
    } else if (entry.counted >= options_.crashesToRefuseRetry) {
        assessment.permission = CrashPermission::WithoutRetry;
    }
    return assessment;
}

CrashAssessment CrashHistory::assess(RequestFingerprint fingerprint, Instant now) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? CrashAssessment() : assess(found->second, now);
}

std::vector<DeniedRequest> CrashHistory::merge(std::span<const CrashRecord> records, Instant now)
{
    std::vector<DeniedRequest> denied;
    for (const CrashRecord &record : records) {
        std::vector<Crash> received;
        for (const CrashReport &report : record.crashes) {
            const Instant crashedAt = now - milliseconds(report.crashAgeMs);
            if (now - crashedAt <= options_.retention) {
                received.push_back({ .reporter = report.reporter,
                                     .number = report.number,
                                     .server = report.server,
                                     .sentAt = now - milliseconds(report.sentAgeMs),
                                     .crashedAt = crashedAt,
                                     .cleared = report.cleared });
            }
        }
        if (received.empty()) {
            continue;
        }
        Entry &entry = entryFor(record.fingerprint);
        const bool wasDenied = assess(entry, now).permission == CrashPermission::Denied;
        for (const Crash &crash : received) {
            static_cast<void>(add(entry, crash));
        }
        const CrashAssessment assessment = assess(entry, now);
        if (!wasDenied && assessment.permission == CrashPermission::Denied) {
            denied.push_back({ .fingerprint = record.fingerprint, .assessment = assessment });
        }
    }
    return denied;
}

bool CrashHistory::isDue(const Entry &entry, Instant now) const
{
    const Duration since = now - entry.sentAt;
    return (entry.pendingSends > 0 && since >= MinSendInterval)
        || (entry.counted >= CrashesToRepeat && since >= RepeatInterval);
}

std::vector<CrashRecord> CrashHistory::takeRecords(Instant now, std::size_t maxReports)
{
    if (entries_.empty()) {
        return {};
    }
    removeExpired(now);
    std::vector<std::pair<const RequestFingerprint, Entry> *> due;
    for (auto &entry : entries_) {
        if (isDue(entry.second, now)) {
            due.push_back(&entry);
        }
    }
    // Requests with more crashes first, and of these the one that was sent the longest ago.
    std::sort(due.begin(), due.end(), [](const auto *a, const auto *b) {
        return std::tie(b->second.counted, a->second.sentAt, a->first)
            < std::tie(a->second.counted, b->second.sentAt, b->first);
    });
    std::vector<CrashRecord> records;
    std::size_t left = maxReports;
    for (auto *item : due) {
        Entry &entry = item->second;
        CrashRecord record { .fingerprint = item->first, .crashes = reports(entry, now) };
        if (!records.empty() && record.crashes.size() > left) {
            break;
        }
        left -= std::min(left, record.crashes.size());
        entry.pendingSends -= entry.pendingSends > 0 ? 1 : 0;
        entry.sentAt = now;
        records.push_back(std::move(record));
    }
    return records;
}

CrashReport CrashHistory::report(const Crash &crash, Instant now)
{
    return { .reporter = crash.reporter,
             .number = crash.number,
             .server = crash.server,
             .sentAgeMs = wholeMilliseconds(now - crash.sentAt),
             .crashAgeMs = wholeMilliseconds(now - crash.crashedAt),
             .cleared = crash.cleared };
}

std::vector<CrashReport> CrashHistory::reports(const Entry &entry, Instant now)
{
    std::vector<CrashReport> result;
    for (const Crash &crash : entry.crashes) {
        result.push_back(report(crash, now));
    }
    return result;
}

std::vector<CrashRecord> CrashHistory::recordsToKeep(Instant now, std::size_t maxReports) const
{
    struct KeptEntry
    {
        unsigned counted;
        Instant lastCrashAt;
        CrashRecord record;
    };
    std::vector<KeptEntry> kept;
    for (const auto &[fingerprint, entry] : entries_) {
        KeptEntry item { .counted = entry.counted,
                         .lastCrashAt = entry.lastCrashAt,
                         .record = { .fingerprint = fingerprint, .crashes = {} } };
        // The crashes are in order of time.
        for (auto crash = entry.crashes.rbegin();
             crash != entry.crashes.rend() && item.record.crashes.size() < MaxKeptCrashes;
             ++crash) {
            if ((crash->counts || crash->cleared) && now - crash->crashedAt <= options_.retention) {
                item.record.crashes.push_back(report(*crash, now));
            }
        }
        if (item.record.crashes.size() >= CrashesToKeep) {
            kept.push_back(std::move(item));
        }
    }
    std::sort(kept.begin(), kept.end(), [](const KeptEntry &a, const KeptEntry &b) {
        return std::tie(b.counted, b.lastCrashAt, a.record.fingerprint)
            < std::tie(a.counted, a.lastCrashAt, b.record.fingerprint);
    });
    std::vector<CrashRecord> records;
    for (KeptEntry &item : kept) {
        if (item.record.crashes.size() > maxReports) {
            break;
        }
        maxReports -= item.record.crashes.size();
        records.push_back(std::move(item.record));
    }
    return records;
}

void CrashHistory::resendAll()
{
    for (auto &[fingerprint, entry] : entries_) {
        entry.sentAt = Instant();
        entry.pendingSends = std::max(entry.pendingSends, 1U);
    }
}

} // namespace jacinthroad
