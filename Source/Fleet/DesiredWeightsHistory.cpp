#include "Fleet/DesiredWeightsHistory.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Maximum number of versions per model in ages(), newest first. More are rarely published while
/// servers still run an older one.
constexpr unsigned MaximumReportedVersions = 4;
/// Correction of a known time from which mergeAges() reports it.
constexpr Duration NotableCorrection = std::chrono::seconds(1);

} // namespace

bool DesiredWeightsHistory::recordDesired(const DesiredWeights &desired, Instant now)
{
    return firstSeen_[desired.model].emplace(desired.version, now).second;
}

std::vector<DesiredWeightsAge>
DesiredWeightsHistory::mergeAges(std::span<const DesiredWeightsAge> entries, Instant now)
{
    std::vector<DesiredWeightsAge> learned;
    for (const DesiredWeightsAge &entry : entries) {
        const Instant seen = now - milliseconds(entry.ageMs);
        const auto [version, added] = firstSeen_[entry.model].emplace(entry.version, seen);
        if (added || version->second - seen >= NotableCorrection) {
            learned.push_back(entry);
        }
        version->second = std::min(version->second, seen);
    }
    return learned;
}

std::vector<DesiredWeightsAge> DesiredWeightsHistory::ages(Instant now) const
{
    std::vector<DesiredWeightsAge> ages;
    for (const auto &[model, versions] : firstSeen_) {
        unsigned reported = 0;
        for (auto version = versions.rbegin();
             version != versions.rend() && reported < MaximumReportedVersions;
             ++version, ++reported) {
            ages.push_back({ .model = model,
                             .version = version->first,
                             .ageMs = wholeMilliseconds(now - version->second) });
        }
    }
    return ages;
}

bool DesiredWeightsHistory::isOutdated(const ModelId &model, WeightsVersion version) const
{
    return outdatedSince(model, version).has_value();
}

std::optional<Instant> DesiredWeightsHistory::outdatedSince(const ModelId &model,
                                                            WeightsVersion version) const
{
    const auto versions = firstSeen_.find(model);
    if (versions == firstSeen_.end()) {
        return std::nullopt;
    }
    std::optional<Instant> since;
    for (auto newer = versions->second.upper_bound(version); newer != versions->second.end();
         ++newer) {
        since = std::min(since.value_or(newer->second), newer->second);
    }
    return since;
}

} // namespace jacinthroad
