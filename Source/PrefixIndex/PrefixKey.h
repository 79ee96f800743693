#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Core/Ids.h"

namespace jacinthroad {

/// Key of a prompt block; a hash of the block and of everything before it.
using BlockKey = std::uint64_t;

/// Bytes of prompt text that the router counts as one token until an engine reports a better value.
inline constexpr std::size_t BytesPerToken = 4;

/// The scope of cached blocks. Two scopes that differ in any member share no key, so blocks of
/// another team, other weights or another adapter can never match.
struct PrefixScope
{
    TeamId team;
    ModelId model;
    /// Version of the weights.
    std::string_view version;
    /// Name of the adapter, or empty.
    std::string_view adapter;
};

/// Returns the seed of the hash chain for all keys of a scope.
[[nodiscard]] BlockKey scopeSeed(const PrefixScope &scope);

/// Returns the scope's salt in the form that engines accept: the seed in hexadecimal.
[[nodiscard]] std::string cacheSalt(BlockKey seed);

/// Returns the keys of the full blocks of `prompt`, chained from `seed`; a partial last block has
/// no key. `blockTokens` is the engine's block size in tokens.
[[nodiscard]] std::vector<BlockKey> blockKeys(BlockKey seed, std::string_view prompt,
                                              std::size_t blockTokens);

} // namespace jacinthroad
