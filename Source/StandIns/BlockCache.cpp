#include "StandIns/BlockCache.h"

namespace jacinthroad {

BlockCache::BlockCache(std::size_t capacity)
    : capacity_(capacity)
{ }

std::size_t BlockCache::matchPrefix(std::span<const BlockKey> blocks)
{
    std::size_t found = 0;
    while (found < blocks.size() && positions_.contains(blocks[found])) {
        ++found;
    }
    // Backwards, so that the first blocks of a prefix end up as the most recently used and are
    // evicted last.
    for (std::size_t index = found; index-- > 0;) {
        recency_.splice(recency_.begin(), recency_, positions_[blocks[index]]);
    }
    return found;
}

BlockCache::Change BlockCache::insert(std::span<const BlockKey> blocks)
{
    Change change;
    for (std::size_t index = blocks.size(); index-- > 0;) {
        const BlockKey key = blocks[index];
        const auto existing = positions_.find(key);
        if (existing != positions_.end()) {
            recency_.splice(recency_.begin(), recency_, existing->second);
            continue;
        }
        recency_.push_front(key);
        positions_[key] = recency_.begin();
        change.stored.push_back(key);
    }
    while (positions_.size() > capacity_) {
        const BlockKey oldest = recency_.back();
        recency_.pop_back();
        positions_.erase(oldest);
        change.removed.push_back(oldest);
    }
    return change;
}

std::vector<BlockKey> BlockCache::clear()
{
    std::vector<BlockKey> cleared(recency_.begin(), recency_.end());
    recency_.clear();
    positions_.clear();
    return cleared;
}

} // namespace jacinthroad
