#pragma once

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

/// An engine's cache of prompt blocks with least-recently-used eviction.
class BlockCache
{
public:
    explicit BlockCache(std::size_t capacity);

    /// Leading blocks that are held; marks them as used.
    [[nodiscard]] std::size_t match(std::span<const BlockKey> blocks);

    /// What an insertion changed.
    struct Change
    {
        std::vector<BlockKey> stored;
        std::vector<BlockKey> removed;
    };
    /// Holds the blocks from now on and evicts the least recently used beyond the capacity.
    Change insert(std::span<const BlockKey> blocks);

    /// Drops everything and returns what was held.
    [[nodiscard]] std::vector<BlockKey> clear();

    [[nodiscard]] std::size_t size() const { return places_.size(); }

private:
    std::size_t capacity_;
    std::list<BlockKey> order_;
    std::unordered_map<BlockKey, std::list<BlockKey>::iterator> places_;
};

} // namespace jacinthroad
