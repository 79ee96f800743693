#include "Fleet/WeightsRecord.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace jacinthroad {

namespace {

/// Records that tell more than this are not from the present rollout.
constexpr Duration MaxAge = std::chrono::hours(24);

/// Largest error of the time of day, which jumps by seconds. A VM that comes back from a snapshot
/// keeps the identifier of its kernel, but its clock differs from the time of day by more.
constexpr Duration MaxWallError = std::chrono::seconds(30);

Duration elapsedByWall(const ClockReading &from, const ClockReading &until)
{
    return std::clamp<Duration>(milliseconds(until.wallMs - from.wallMs), Duration::zero(), MaxAge);
}

/// The time since a record was written, as its reader measures it.
Duration elapsed(const WeightsRecord &record, const RecordReader &reader)
{
    const ClockReading &from = record.writtenAt;
    const Duration byWall = elapsedByWall(from, reader.now);
    if (record.node != reader.node || from.kernelBoot.empty()
        || from.kernelBoot != reader.now.kernelBoot) {
        return byWall;
    }
    const Duration byKernel = reader.now.sinceBoot - from.sinceBoot;
    const bool agree = byKernel >= Duration::zero() && byKernel - byWall <= MaxWallError
        && byWall - byKernel <= MaxWallError;
    return agree ? byKernel : byWall;
}

/// The age of a version by the records that name it; nothing if none does.
struct NamedAges
{
    std::optional<Duration> own;
    std::vector<Duration> ofOthers;

    [[nodiscard]] Duration age()
    {
        if (own.has_value()) {
            return *own;
        }
        const auto middle = ofOthers.begin() + static_cast<std::ptrdiff_t>(ofOthers.size() / 2);
        std::nth_element(ofOthers.begin(), middle, ofOthers.end());
        return *middle;
    }
};

} // namespace

std::vector<DesiredWeightsAge> agesFromRecords(std::span<const WeightsRecord> records,
                                               const RecordReader &reader,
                                               std::span<const DesiredWeights> desired)
{
    std::map<std::pair<ModelId, WeightsVersion>, NamedAges> named;
    std::vector<Duration> sinceRecords;
    for (const WeightsRecord &record : records) {
        const Duration since = elapsed(record, reader);
        if (record.era == reader.era) {
            sinceRecords.push_back(since);
        }
        for (const DesiredWeightsAge &entry : record.ages) {
            NamedAges &ages = named[{ entry.model, entry.version }];
            const Duration age = since + milliseconds(entry.ageMs);
            if (record.node == reader.node) {
                ages.own = age;
            } else {
                ages.ofOthers.push_back(age);
            }
        }
    }
    std::vector<DesiredWeightsAge> found;
    found.reserve(named.size() + desired.size());
    for (auto &[weights, ages] : named) {
        found.push_back({ .model = weights.first,
                          .version = weights.second,
                          .ageMs = wholeMilliseconds(ages.age()) });
    }
    if (sinceRecords.empty()) {
        return found;
    }
    std::sort(sinceRecords.begin(), sinceRecords.end());
    const Duration bound = sinceRecords[std::min<std::size_t>(1, sinceRecords.size() - 1)];
    for (const DesiredWeights &weights : desired) {
        if (!named.contains({ weights.model, weights.version })) {
            found.push_back({ .model = weights.model,
                              .version = weights.version,
                              .ageMs = wholeMilliseconds(bound) });
        }
    }
    return found;
}

WeightsRecordSchedule::WeightsRecordSchedule(const Options &options, Instant now)
    : options_(options)
    , periodicFrom_(now + options.phase)
    , retryFrom_(now)
{ }

bool WeightsRecordSchedule::due(std::span<const DesiredWeightsAge> ages, Instant now) const
{
    DesiredWeightsHistory written = written_;
    return now >= retryFrom_
        && (!everWritten_ || now >= periodicFrom_ || !written.mergeAges(ages, now).empty());
}

void WeightsRecordSchedule::noteWritten(std::span<const DesiredWeightsAge> ages, Instant now)
{
    everWritten_ = true;
    written_.mergeAges(ages, now);
    while (periodicFrom_ <= now) {
        periodicFrom_ += options_.period;
    }
}

} // namespace jacinthroad
