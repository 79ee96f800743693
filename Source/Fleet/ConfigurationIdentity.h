#pragma once

#include <cstdint>
#include <optional>
#include <span>

namespace jacinthroad {

/// What tells one configuration from another. A store that was restored from an earlier copy may
/// assign a version again.
struct ConfigurationIdentity
{
    std::uint64_t version = 0;
    /// Sum of the hashes of the parts of the object, each with its name, so that it depends neither
    /// on how nor on the order in which they arrived. Other spacing in the store gives another one.
    std::uint64_t contentHash = 0;
    /// The newest era of the store in which it was read; nothing if the store names none.
    std::optional<std::uint64_t> era;
    /// The object's revision in that era.
    std::uint64_t revision = 0;
};

/// What becomes of a configuration that was read.
enum class ConfigurationDecision : std::uint8_t {
    /// It is newer than the one in force.
    Apply,
    /// It has the version of the one in force, but another configuration got that version later:
    /// after the store was restored, or with a later write of the same era. It is newer.
    ApplyReusedVersion,
    /// It is the one in force, or another of that version that was written earlier.
    Keep,
    /// It is older than the one in force, which the store has lost.
    KeepNewer,
};

/// Decides whether a configuration that was read replaces the one in force; its version never
/// becomes lower. `replaced` are the content hashes that the version in force had before; a second
/// restore may bring them back.
[[nodiscard]] ConfigurationDecision
decideConfiguration(const std::optional<ConfigurationIdentity> &inForce,
                    const ConfigurationIdentity &read,
                    std::span<const std::uint64_t> replaced = {});

} // namespace jacinthroad
