#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/Freshness.h"

namespace jacinthroad {

/// A moment as the clocks of one VM show it.
struct ClockReading
{
    /// Identifies the start of the VM's kernel; empty if that is not known.
    std::string kernelBoot;
    BootInstant sinceBoot;
    /// Time of day in Unix milliseconds.
    std::int64_t wallMs = 0;

    friend bool operator==(const ClockReading &, const ClockReading &) = default;
};

/// What a node knew of desired weights at a moment, as the store keeps it for those that start
/// later.
struct WeightsRecord
{
    std::string node;
    ClockReading writtenAt;
    /// The era of the store in which it was written; 0 if unknown.
    std::uint64_t era = 0;
    std::vector<DesiredWeightsAge> ages;

    friend bool operator==(const WeightsRecord &, const WeightsRecord &) = default;
};

/// A node that has started and reads the records of earlier processes.
struct RecordReader
{
    std::string node;
    ClockReading now;
    std::uint64_t era = 0;
};

/// Returns for how long weights have been desired, as records tell a node that has started.
/// `desired` are the weights that the store holds.
///
/// A version in the node's own record is as old as it was then and the time since, by the clock of
/// the kernel or, if the VM has restarted, by the time of day. Of other nodes' records the median
/// counts, by the time of day. A version that is in no record was set after all of them were
/// written; it is taken to be as old as the second newest record, since one time of day may be
/// ahead. So an age may be too long, but too short only if most clocks are wrong.
[[nodiscard]] std::vector<DesiredWeightsAge>
agesFromRecords(std::span<const WeightsRecord> records, const RecordReader &reader,
                std::span<const DesiredWeights> desired);

/// Decides when a node writes its record: at first, as soon as it learns of a version, or that one
/// is older than it knew, and once per period, so that records bound the age of versions that are
/// set while all nodes are down. Does no I/O; the caller passes the time.
class WeightsRecordSchedule
{
public:
    struct Options
    {
        /// Time between two writes while nothing changes.
        Duration period = std::chrono::seconds(5);
        /// Time from the start to the first of these; differs between nodes.
        Duration phase {};
        /// Pause after a write that failed.
        Duration retryPause = milliseconds(500);
    };

    WeightsRecordSchedule(const Options &options, Instant now);

    /// Returns true if a record with these ages is to be written now.
    [[nodiscard]] bool due(std::span<const DesiredWeightsAge> ages, Instant now) const;
    void noteWritten(std::span<const DesiredWeightsAge> ages, Instant now);
    void noteFailed(Instant now) { retryFrom_ = now + options_.retryPause; }

private:
    Options options_;
    Instant periodicFrom_;
    Instant retryFrom_;
    bool everWritten_ = false;
    /// What the last record told.
    DesiredWeightsHistory written_;
};

} // namespace jacinthroad
