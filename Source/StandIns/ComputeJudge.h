#pragma once

#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>

#include "Ledger/Ledger.h"
#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

/// Counts, over all engine stand-ins of a run, where prompt compute went. It sees every block
/// computed, found and lost, so its figures are the measure that routers' own are held against.
class ComputeJudge
{
public:
    /// A prompt was taken in: `found` leading blocks were cached, the others are computed by
    /// `engine`; `promptTokens` is its whole length.
    void notePrompt(std::span<const BlockKey> blocks, std::size_t found, std::uint64_t promptTokens,
                    std::uint32_t blockTokens);
    /// An engine now holds the block.
    void noteStored(BlockKey block);
    /// An engine lost the block, by eviction or with its whole cache.
    void noteLost(BlockKey block, RecomputeReason reason);

    /// The totals so far.
    [[nodiscard]] LedgerLine total() const;

private:
    struct Block
    {
        std::uint32_t holders = 0;
        RecomputeReason lastLoss = RecomputeReason::Evicted;
    };

    mutable std::mutex mutex_;
    std::unordered_map<BlockKey, Block> blocks_;
    LedgerLine total_;
};

} // namespace jacinthroad
