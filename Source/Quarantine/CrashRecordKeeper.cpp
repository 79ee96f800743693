#include "Quarantine/CrashRecordKeeper.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace jacinthroad {

namespace {

/// Observations of one server within this time belong to one crash. Longer than in CrashHistory,
/// since the wall clocks of the nodes differ by some seconds.
constexpr std::int64_t SameCrashMs = 10000;
/// Maximum number of requests in the union of the stored and the local records.
constexpr std::size_t UnionCapacity = 4096;

std::uint32_t shifted(std::uint32_t ageMs, std::int64_t offsetMs)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::int64_t { ageMs } + offsetMs, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::vector<CrashRecord> aged(std::vector<CrashRecord> records, std::int64_t offsetMs)
{
    for (CrashRecord &record : records) {
        for (CrashReport &report : record.crashes) {
            report.sentAgeMs = shifted(report.sentAgeMs, offsetMs);
            report.crashAgeMs = shifted(report.crashAgeMs, offsetMs);
        }
    }
    return records;
}

std::int64_t elapsedMs(Instant since, Instant now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

bool sameObservation(const CrashReport &left, const CrashReport &right)
{
    return left.reporter == right.reporter && left.number == right.number;
}

} // namespace

CrashRecordKeeper::CrashRecordKeeper(const CrashRecordKeeperOptions &options)
    : options_(options)
    , random_(options.seed)
{ }

void CrashRecordKeeper::setLocal(std::vector<CrashRecord> records, Instant now)
{
    local_ = std::move(records);
    localAt_ = now;
}

void CrashRecordKeeper::noteStoreRegained(Instant now)
{
    // The store may have lost its latest changes, and other nodes may have written meanwhile.
    if (!local_.empty() || peersMissing_) {
        readDue_ = true;
        readPausedUntil_ = now + randomPart(options_.minWriteInterval);
    }
}

Duration CrashRecordKeeper::randomPart(Duration whole)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, whole.count())(random_));
}

CrashRecordKeeper::Coverage CrashRecordKeeper::coverage(std::span<const CrashRecord> stored,
                                                        std::span<const CrashRecord> records) const
{
    std::unordered_map<RequestFingerprint, const CrashRecord *> byFingerprint;
    for (const CrashRecord &record : stored) {
        byFingerprint[record.fingerprint] = &record;
    }
    Coverage result = Coverage::Complete;
    for (const CrashRecord &record : records) {
        const auto found = byFingerprint.find(record.fingerprint);
        for (const CrashReport &report : record.crashes) {
            const auto covers = [&](const CrashReport &candidate) {
                const bool same = sameObservation(candidate, report)
                    || (candidate.server == report.server
                        && std::abs(std::int64_t { candidate.crashAgeMs } - report.crashAgeMs)
                            < SameCrashMs);
                return same && (candidate.cleared || !report.cleared);
            };
            if (found != byFingerprint.end()
                && std::any_of(found->second->crashes.begin(), found->second->crashes.end(),
                               covers)) {
                continue;
            }
            if (report.reporter == options_.reporter) {
                return Coverage::LacksOwn;
            }
            result = Coverage::LacksOthers;
        }
    }
    return result;
}

std::optional<CrashRecordCall> CrashRecordKeeper::nextCall(Instant now, std::int64_t wallMs)
{
    const bool readPaused = readPausedUntil_.has_value() && now < *readPausedUntil_;
    if (readDue_) {
        return readPaused ? std::nullopt : std::optional<CrashRecordCall>(ReadCrashRecords {});
    }
    const auto readUnlessPaused = [&]() -> std::optional<CrashRecordCall> {
        return readPaused ? std::nullopt
                          : std::optional<CrashRecordCall>(ReadCrashRecords { .mayBeStale = true });
    };
    const Duration readInterval
        = peersMissing_ ? options_.isolatedReadInterval : options_.reviewInterval;
    if ((peersMissing_ || !local_.empty())
        && (!readAt_.has_value() || now - *readAt_ >= readInterval)) {
        return readUnlessPaused();
    }
    if (local_.empty()) {
        takeOverAt_.reset();
        return std::nullopt;
    }
    const std::vector<CrashRecord> stored = aged(stored_, elapsedMs(storedAt_, now));
    CrashHistory all({ .reporter = options_.reporter, .capacity = UnionCapacity });
    static_cast<void>(all.merge(aged(local_, elapsedMs(localAt_, now)), now));
    static_cast<void>(all.merge(stored, now));
    std::vector<CrashRecord> records = all.recordsToKeep(now, MaxKeptReports);
    const Coverage covered = coverage(stored, records);
    if (covered == Coverage::Complete) {
        takeOverAt_.reset();
        writeFailures_ = 0;
        return std::nullopt;
    }
    if (covered == Coverage::LacksOthers) {
        if (!takeOverAt_.has_value()) {
            takeOverAt_ = now + options_.takeOverTime + randomPart(options_.takeOverTime);
        }
        if (now < *takeOverAt_) {
            return std::nullopt;
        }
        if (!readAt_.has_value() || *readAt_ < *takeOverAt_) {
            return readUnlessPaused();
        }
    }
    if ((writtenAt_.has_value() && now - *writtenAt_ < options_.minWriteInterval)
        || (writePausedUntil_.has_value() && now < *writePausedUntil_)) {
        return std::nullopt;
    }
    // Another node may have written it meanwhile.
    if (writeFailures_ > 0 && (!readAt_.has_value() || *readAt_ <= *writeFailedAt_)) {
        return readUnlessPaused();
    }
    return WriteCrashRecords { .revision = revision_,
                               .content
                               = { .writtenAtMs = wallMs, .records = std::move(records) } };
}

std::optional<std::int64_t> CrashRecordKeeper::ageOffset(std::span<const CrashRecord> records,
                                                         Instant now) const
{
    const std::int64_t sinceLocal = elapsedMs(localAt_, now);
    for (const CrashRecord &record : records) {
        const auto own
            = std::find_if(local_.begin(), local_.end(), [&](const CrashRecord &candidate) {
                  return candidate.fingerprint == record.fingerprint;
              });
        if (own == local_.end()) {
            continue;
        }
        for (const CrashReport &report : record.crashes) {
            for (const CrashReport &known : own->crashes) {
                if (sameObservation(known, report)) {
                    return std::int64_t { known.crashAgeMs } + sinceLocal - report.crashAgeMs;
                }
            }
        }
    }
    return std::nullopt;
}

bool CrashRecordKeeper::ignoresStale(const ReadCrashRecords &call, std::uint64_t revision,
                                     Instant now)
{
    if (!call.mayBeStale || !revision_.has_value() || revision >= *revision_) {
        return false;
    }
    // The store may have lost its latest changes; a current read shows it.
    readDue_ = !writtenAt_.has_value() || now - *writtenAt_ >= options_.staleTime;
    return true;
}

std::vector<CrashRecord> CrashRecordKeeper::noteRead(const ReadCrashRecords &call,
                                                     const std::optional<KeptCrashRecords> &content,
                                                     std::uint64_t revision, Instant now,
                                                     std::int64_t wallMs)
{
    known_ = true;
    readDue_ = false;
    readAt_ = now;
    readFailures_ = 0;
    readPausedUntil_.reset();
    if (ignoresStale(call, revision, now)) {
        return {};
    }
    revision_ = revision;
    stored_.clear();
    storedAt_ = now;
    if (content.has_value()) {
        // Wall clocks may be wrong; what this node knows itself is more accurate.
        const std::int64_t offset
            = ageOffset(content->records, now)
                  .value_or(std::max<std::int64_t>(wallMs - content->writtenAtMs, 0));
        stored_ = aged(content->records, offset);
    }
    return stored_;
}

void CrashRecordKeeper::noteMissing(const ReadCrashRecords &call, Instant now)
{
    known_ = true;
    readDue_ = false;
    readAt_ = now;
    readFailures_ = 0;
    readPausedUntil_.reset();
    if (!ignoresStale(call, 0, now)) {
        revision_.reset();
        stored_.clear();
    }
}

void CrashRecordKeeper::noteWritten(const WriteCrashRecords &call, std::uint64_t revision,
                                    Instant now)
{
    revision_ = revision;
    stored_ = call.content.records;
    storedAt_ = now;
    writtenAt_ = now;
    readAt_ = now;
    takeOverAt_.reset();
    writeFailures_ = 0;
    writePausedUntil_.reset();
}

Duration CrashRecordKeeper::pauseAfter(unsigned failures)
{
    Duration pause = options_.firstPause;
    for (unsigned step = 1; step < failures && pause < options_.longestPause; ++step) {
        pause *= 2;
    }
    pause = std::min(pause, options_.longestPause);
    return pause / 2 + randomPart(pause / 2);
}

void CrashRecordKeeper::noteReadFailed(Instant now)
{
    readPausedUntil_ = now + pauseAfter(++readFailures_);
}

void CrashRecordKeeper::noteWriteRejected(Instant now)
{
    writePausedUntil_ = now + pauseAfter(++writeFailures_);
    writeFailedAt_ = now;
}

void CrashRecordKeeper::noteWriteUnanswered(Instant now)
{
    noteWriteRejected(now);
    readDue_ = true;
}

} // namespace jacinthroad
