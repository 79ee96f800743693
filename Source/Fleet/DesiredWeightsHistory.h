#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Fleet/ListedServer.h"

namespace jacinthroad {

/// Time since a node first saw a version as the desired weights of a model.
struct DesiredWeightsAge
{
    ModelId model;
    WeightsVersion version = 0;
    std::uint32_t ageMs = 0;

    friend bool operator==(const DesiredWeightsAge &, const DesiredWeightsAge &) = default;
};

/// The desired weights of each model, with the time since when each version is desired. The
/// platform's store keeps no such time, so a node counts from its first read of a version; a node
/// that has just started learns earlier times from peers and from the lease record.
class DesiredWeightsHistory
{
public:
    /// Records desired weights read from the store at `now`. Returns true if the version is new.
    bool recordDesired(const DesiredWeights &desired, Instant now);
    /// Merges the ages seen by other nodes, relative to `now`; the earliest time is kept. Returns
    /// the entries whose version is new or whose time is earlier by a second or more.
    std::vector<DesiredWeightsAge> mergeAges(std::span<const DesiredWeightsAge> entries,
                                             Instant now);
    /// The newest versions of each model with the time since they were first seen.
    [[nodiscard]] std::vector<DesiredWeightsAge> ages(Instant now) const;

    /// True if a version newer than `version` is or was desired.
    [[nodiscard]] bool isOutdated(const ModelId &model, WeightsVersion version) const;
    /// When a version after `version` was first seen; nullopt if there is none.
    [[nodiscard]] std::optional<Instant> outdatedSince(const ModelId &model,
                                                       WeightsVersion version) const;

private:
    /// When each version was first seen as desired.
    std::map<ModelId, std::map<WeightsVersion, Instant>> firstSeen_;
};

} // namespace jacinthroad
