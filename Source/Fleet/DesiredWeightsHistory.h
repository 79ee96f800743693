#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Fleet/ListedServer.h"

namespace jacinthroad {

/// How long ago a node first saw weights to be named.
struct DesiredWeightsAge
{
    ModelId model;
    WeightsVersion version = 0;
    std::uint32_t ageMs = 0;

    friend bool operator==(const DesiredWeightsAge &, const DesiredWeightsAge &) = default;
};

/// Which weights operators have named for each model, and since when. The platform's store keeps
/// no such time, so a node counts from when it first read a name; peers and the lease record tell
/// a node that has just started what was seen before it.
class DesiredWeightsHistory
{
public:
    /// Takes weights as read from the store at `now`.
    void recordDesired(const DesiredWeights &named, Instant now);
    /// Takes how long before `now` others saw weights to be named; the earliest time stands.
    void mergeAges(std::span<const DesiredWeightsAge> notices, Instant now);
    /// The newest versions of each model with the time since they were seen.
    [[nodiscard]] std::vector<DesiredWeightsAge> ages(Instant now) const;

    /// True where weights newer than `version` have been named.
    [[nodiscard]] bool isOutdated(const ModelId &model, WeightsVersion version) const;
    /// When the first weights newer than `version` were seen; nothing where there are none.
    [[nodiscard]] std::optional<Instant> outdatedSince(const ModelId &model,
                                                       WeightsVersion version) const;

private:
    /// When each version was first seen to be named.
    std::map<ModelId, std::map<WeightsVersion, Instant>> named_;
};

} // namespace jacinthroad
