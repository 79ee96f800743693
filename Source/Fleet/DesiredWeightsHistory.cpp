#include "Fleet/DesiredWeightsHistory.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Versions of a model whose ages are told, newest first: more are hardly named while servers still
/// have an older one.
constexpr unsigned MostVersionsTold = 4;

} // namespace

void DesiredWeightsHistory::recordDesired(const DesiredWeights &named, Instant now)
{
    named_[named.model].emplace(named.version, now);
}

void DesiredWeightsHistory::mergeAges(std::span<const DesiredWeightsAge> notices, Instant now)
{
    for (const DesiredWeightsAge &notice : notices) {
        const Instant seen = now - milliseconds(notice.ageMs);
        Instant &known = named_[notice.model].emplace(notice.version, seen).first->second;
        known = std::min(known, seen);
    }
}

std::vector<DesiredWeightsAge> DesiredWeightsHistory::ages(Instant now) const
{
    std::vector<DesiredWeightsAge> ages;
    for (const auto &[model, versions] : named_) {
        unsigned told = 0;
        for (auto version = versions.rbegin();
             version != versions.rend() && told < MostVersionsTold; ++version, ++told) {
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
    const auto versions = named_.find(model);
    if (versions == named_.end()) {
        return std::nullopt;
    }
    const auto newer = versions->second.upper_bound(version);
    return newer == versions->second.end() ? std::nullopt : std::optional(newer->second);
}

} // namespace jacinthroad
