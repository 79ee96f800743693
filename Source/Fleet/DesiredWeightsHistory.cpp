#include "Fleet/DesiredWeightsHistory.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Maximum number of versions per model in ages(), newest first. More are rarely published while
/// servers still run an older one.
constexpr unsigned MaximumReportedVersions = 4;

} // namespace

void DesiredWeightsHistory::recordDesired(const DesiredWeights &desired, Instant now)
{
    firstSeen_[desired.model].emplace(desired.version, now);
}

void DesiredWeightsHistory::mergeAges(std::span<const DesiredWeightsAge> entries, Instant now)
{
    for (const DesiredWeightsAge &entry : entries) {
        const Instant seen = now - milliseconds(entry.ageMs);
        Instant &known = firstSeen_[entry.model].emplace(entry.version, seen).first->second;
        known = std::min(known, seen);
    }
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
    const auto newer = versions->second.upper_bound(version);
    return newer == versions->second.end() ? std::nullopt : std::optional(newer->second);
}

} // namespace jacinthroad
