#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Core/Ids.h"

namespace jacinthroad {

/// Key of one prompt block; it names the block together with everything before it.
using BlockKey = std::uint64_t;

/// Bytes of prompt text that the router counts as one token until an engine reports better.
inline constexpr std::size_t BytesPerToken = 4;

/// What a cached block belongs to. Two scopes that differ in any member share no key, so the
/// blocks of another team, other weights or another adapter can never match.
struct PrefixScope
{
    TeamId team;
    ModelId model;
    /// Version of the weights.
    std::string_view version;
    /// Name of the adapter; empty for none.
    std::string_view adapter;
};

/// The seed that all keys of a scope start from.
[[nodiscard]] BlockKey scopeSeed(const PrefixScope &scope);

/// The scope's salt as engines take it: hexadecimal text of the seed.
[[nodiscard]] std::string cacheSalt(BlockKey seed);

/// Keys of the full blocks of `prompt`, chained from `seed`; a last partial block has none.
/// `blockTokens` is the engine's block size in tokens.
[[nodiscard]] std::vector<BlockKey> blockKeys(BlockKey seed, std::string_view prompt,
                                              std::size_t blockTokens);

} // namespace jacinthroad
