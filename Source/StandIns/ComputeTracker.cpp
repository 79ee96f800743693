#include "StandIns/ComputeTracker.h"

namespace jacinthroad {

void ComputeTracker::recordPrompt(std::span<const BlockKey> blocks, std::size_t found,
                                  std::uint64_t promptTokens, std::uint32_t blockTokens)
{
    const std::scoped_lock lock(mutex_);
    ++total_.requests;
    total_.reused += found * blockTokens;
    total_.firstTime += promptTokens - blocks.size() * blockTokens;
    for (const BlockKey key : blocks.subspan(found)) {
        const auto existing = blocks_.find(key);
        if (existing == blocks_.end()) {
            total_.firstTime += blockTokens;
            continue;
        }
        const RecomputeReason reason = existing->second.holders > 0 ? RecomputeReason::RoutedAway
                                                                    : existing->second.lastLoss;
        total_.recomputed[static_cast<std::size_t>(reason)] += blockTokens;
    }
}

void ComputeTracker::recordStored(BlockKey block)
{
    const std::scoped_lock lock(mutex_);
    ++blocks_[block].holders;
}

void ComputeTracker::recordLost(BlockKey block, RecomputeReason reason)
{
    const std::scoped_lock lock(mutex_);
    Block &existing = blocks_[block];
    existing.holders -= existing.holders > 0 ? 1 : 0;
    existing.lastLoss = reason;
}

LedgerLine ComputeTracker::total() const
{
    const std::scoped_lock lock(mutex_);
    return total_;
}

} // namespace jacinthroad
