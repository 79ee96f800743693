#include "StandIns/BlockCache.h"

namespace jacinthroad {

BlockCache::BlockCache(std::size_t capacity)
    : capacity_(capacity)
{ }

std::size_t BlockCache::match(std::span<const BlockKey> blocks)
{
    std::size_t found = 0;
    while (found < blocks.size() && places_.contains(blocks[found])) {
        ++found;
    }
    // From the end, so that the head of a prefix is more recently used than its tail.
    for (std::size_t index = found; index-- > 0;) {
        order_.splice(order_.begin(), order_, places_[blocks[index]]);
    }
    return found;
}

BlockCache::Change BlockCache::insert(std::span<const BlockKey> blocks)
{
    Change change;
    for (std::size_t index = blocks.size(); index-- > 0;) {
        const BlockKey key = blocks[index];
        const auto known = places_.find(key);
        if (known != places_.end()) {
            order_.splice(order_.begin(), order_, known->second);
            continue;
        }
        order_.push_front(key);
        places_[key] = order_.begin();
        change.stored.push_back(key);
    }
    while (places_.size() > capacity_) {
        const BlockKey oldest = order_.back();
        order_.pop_back();
        places_.erase(oldest);
        change.removed.push_back(oldest);
    }
    return change;
}

std::vector<BlockKey> BlockCache::clear()
{
    std::vector<BlockKey> held(order_.begin(), order_.end());
    order_.clear();
    places_.clear();
    return held;
}

} // namespace jacinthroad
