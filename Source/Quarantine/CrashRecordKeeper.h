#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

#include "Quarantine/CrashHistory.h"

namespace jacinthroad {

/// Maximum number of reports that are kept in the platform's store, about 150 bytes each.
constexpr std::size_t MaxKeptReports = 512;

/// The content of the object in the platform's store that holds the crash records.
struct KeptCrashRecords
{
    /// Wall-clock time of writing in Unix milliseconds, to which the ages in the records refer.
    std::int64_t writtenAtMs = 0;
    std::vector<CrashRecord> records;
};

/// Reads the object.
struct ReadCrashRecords
{
    /// A cheaper response that may be some seconds old is sufficient.
    bool mayBeStale = false;
};

/// Creates the object, or replaces it if it is still at `revision`.
struct WriteCrashRecords
{
    /// Nothing if the object doesn't exist.
    std::optional<std::uint64_t> revision;
    KeptCrashRecords content;
};

using CrashRecordCall = std::variant<ReadCrashRecords, WriteCrashRecords>;

/// Settings of a CrashRecordKeeper.
struct CrashRecordKeeperOptions
{
    /// Hash of the name and the boot of this node, as in its CrashHistory.
    std::uint64_t reporter = 0;
    /// Seed of the pauses, which differ between nodes.
    std::uint64_t seed = 0;
    /// Minimum time between two writes, in which changes are batched.
    Duration minWriteInterval = std::chrono::seconds(1);
    /// Time after which a node begins to write what other nodes observed and didn't write. Each
    /// node adds a random part of the same length, and reads the object before.
    Duration takeOverTime = std::chrono::seconds(5);
    /// Interval at which the object is read while some nodes aren't heard.
    Duration isolatedReadInterval = std::chrono::seconds(5);
    /// Interval at which the object is read while records are kept, for changes by operators.
    Duration reviewInterval = std::chrono::seconds(30);
    /// Pause after a failed call; doubles with each further failure up to longestPause. Each pause
    /// is a random part of it, at least one half.
    Duration firstPause = milliseconds(200);
    Duration longestPause = std::chrono::seconds(4);
    /// Time after which a read that may be stale should reflect a write.
    Duration staleTime = std::chrono::seconds(10);
};

/// Decides when to read and write the object in the platform's store that holds the crash records,
/// and what to write. The records outlast a restart of all nodes there. The node whose observation
/// changed the records writes them; others write them later if they still lack something. A write
/// holds the union of what was read and what the node knows, so it can be repeated. Does no I/O;
/// the caller passes the times and makes one call at a time.
class CrashRecordKeeper
{
public:
    explicit CrashRecordKeeper(const CrashRecordKeeperOptions &options);

    /// Sets the records that this node has to keep, as returned by CrashHistory::recordsToKeep().
    void setLocal(std::vector<CrashRecord> records, Instant now);
    /// Sets whether other nodes exist from which nothing was heard recently.
    void setPeersMissing(bool missing) { peersMissing_ = missing; }
    /// Notes that the store responds again after a time in which it didn't.
    void noteStoreRegained(Instant now);

    /// Returns the call to make now, if any. `wallMs` is the wall-clock time in Unix milliseconds.
    [[nodiscard]] std::optional<CrashRecordCall> nextCall(Instant now, std::int64_t wallMs);

    /// Records the content of the object at a revision and returns its records with ages at `now`,
    /// for CrashHistory::merge(). Nothing for `content` stands for an unreadable object.
    [[nodiscard]] std::vector<CrashRecord> noteRead(const ReadCrashRecords &call,
                                                    const std::optional<KeptCrashRecords> &content,
                                                    std::uint64_t revision, Instant now,
                                                    std::int64_t wallMs);
    /// Records that the object doesn't exist.
    void noteMissing(const ReadCrashRecords &call, Instant now);
    /// Records that a write was applied.
    void noteWritten(const WriteCrashRecords &call, std::uint64_t revision, Instant now);
    /// Records that a read failed.
    void noteReadFailed(Instant now);
    /// Records that a write was rejected and not applied. If the object had changed, noteRead()
    /// gives its content before.
    void noteWriteRejected(Instant now);
    /// Records that a write got no usable response: it may have been applied, or may still be.
    void noteWriteUnanswered(Instant now);

    /// True once the object has been read, or found missing.
    [[nodiscard]] bool known() const { return known_; }
    /// The revision of the object as it was last read or written; nothing if there is none.
    [[nodiscard]] std::optional<std::uint64_t> revision() const { return revision_; }

private:
    enum class Coverage : std::uint8_t { Complete, LacksOthers, LacksOwn };

    /// Returns whether `stored` holds everything that `records` report.
    [[nodiscard]] Coverage coverage(std::span<const CrashRecord> stored,
                                    std::span<const CrashRecord> records) const;
    /// Returns the pause after a number of failures.
    [[nodiscard]] Duration pauseAfter(unsigned failures);
    /// Returns by how many milliseconds the ages in `records` are too low, as far as the local
    /// records show it; otherwise nothing.
    [[nodiscard]] std::optional<std::int64_t> ageOffset(std::span<const CrashRecord> records,
                                                        Instant now) const;
    [[nodiscard]] Duration randomPart(Duration whole);
    [[nodiscard]] bool ignoresStale(const ReadCrashRecords &call, std::uint64_t revision,
                                    Instant now);

    CrashRecordKeeperOptions options_;
    std::mt19937_64 random_;
    std::vector<CrashRecord> local_;
    Instant localAt_;
    /// The records in the store, with ages at storedAt_.
    std::vector<CrashRecord> stored_;
    Instant storedAt_;
    std::optional<std::uint64_t> revision_;
    bool known_ = false;
    bool readDue_ = true;
    bool peersMissing_ = false;
    std::optional<Instant> readAt_;
    std::optional<Instant> writtenAt_;
    /// When this node writes what other nodes observed, if the store still lacks it.
    std::optional<Instant> takeOverAt_;
    /// No read is made earlier, and no write.
    std::optional<Instant> readPausedUntil_;
    std::optional<Instant> writePausedUntil_;
    unsigned readFailures_ = 0;
    unsigned writeFailures_ = 0;
    /// When the last write failed, if it did.
    std::optional<Instant> writeFailedAt_;
};

} // namespace jacinthroad
