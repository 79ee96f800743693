#include "PrefixIndex/PrefixKey.h"

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

BlockKey append(BlockKey seed, std::string_view part)
{
    // The length is part of the hash so that ("ab", "c") and ("a", "bc") differ.
    return mix64(hash64(part, seed), part.size());
}

} // namespace

BlockKey scopeSeed(const PrefixScope &scope)
{
    BlockKey seed = 0;
    seed = append(seed, scope.team.text());
    seed = append(seed, scope.model.text());
    seed = append(seed, scope.version);
    return append(seed, scope.adapter);
}

std::string cacheSalt(BlockKey seed)
{
    return hexadecimal(seed);
}

std::vector<BlockKey> blockKeys(BlockKey seed, std::string_view prompt, std::size_t blockTokens)
{
    const std::size_t blockBytes = blockTokens * BytesPerToken;
    std::vector<BlockKey> keys;
    keys.reserve(prompt.size() / blockBytes);
    BlockKey previous = seed;
    while (prompt.size() >= blockBytes) {
        previous = hash64(prompt.substr(0, blockBytes), previous);
        keys.push_back(previous);
        prompt.remove_prefix(blockBytes);
    }
    return keys;
}

} // namespace jacinthroad
