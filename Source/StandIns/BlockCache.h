#pragma once

#include <cstddef>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

/// A fixed-capacity cache of prompt blocks with least-recently-used eviction, as in an engine.
class BlockCache
{
public:
    /// `capacity` is in blocks.
    explicit BlockCache(std::size_t capacity);

    /// Returns how many leading blocks are cached and marks them as recently used.
    [[nodiscard]] std::size_t matchPrefix(std::span<const BlockKey> blocks);

    /// The blocks that an insertion added and evicted.
    struct Change
    {
        std::vector<BlockKey> stored;
        std::vector<BlockKey> removed;
    };
    /// Adds the blocks, marks them as recently used and evicts the least recently used ones beyond
    /// the capacity.
    Change insert(std::span<const BlockKey> blocks);

    /// Removes all blocks and returns them.
    [[nodiscard]] std::vector<BlockKey> clear();

    [[nodiscard]] std::size_t size() const { return positions_.size(); }

private:
    std::size_t capacity_;
    std::list<BlockKey> recency_;
    std::unordered_map<BlockKey, std::list<BlockKey>::iterator> positions_;
};

} // namespace jacinthroad
