#include "StandIns/ComputeJudge.h"

namespace jacinthroad {

void ComputeJudge::notePrompt(std::span<const BlockKey> blocks, std::size_t found,
                              std::uint64_t promptTokens, std::uint32_t blockTokens)
{
    const std::scoped_lock lock(mutex_);
    ++total_.requests;
    total_.reused += found * blockTokens;
    total_.firstTime += promptTokens - blocks.size() * blockTokens;
    for (const BlockKey key : blocks.subspan(found)) {
        const auto known = blocks_.find(key);
        if (known == blocks_.end()) {
            total_.firstTime += blockTokens;
            continue;
        }
        const RecomputeReason reason
            = known->second.holders > 0 ? RecomputeReason::RoutedAway : known->second.lastLoss;
        total_.recomputed[static_cast<std::size_t>(reason)] += blockTokens;
    }
}

void ComputeJudge::noteStored(BlockKey block)
{
    const std::scoped_lock lock(mutex_);
    ++blocks_[block].holders;
}

void ComputeJudge::noteLost(BlockKey block, RecomputeReason reason)
{
    const std::scoped_lock lock(mutex_);
    Block &known = blocks_[block];
    known.holders -= known.holders > 0 ? 1 : 0;
    known.lastLoss = reason;
}

LedgerLine ComputeJudge::total() const
{
    const std::scoped_lock lock(mutex_);
    return total_;
}

} // namespace jacinthroad
