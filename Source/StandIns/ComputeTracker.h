#pragma once

#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>

#include "Ledger/Ledger.h"
#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

/// Counts reused, first-time and recomputed prompt tokens over all engine stand-ins of a run. It is
/// notified of every block that an engine computes, reuses or loses, so its totals are the
/// reference for the ledgers that the nodes keep. Thread-safe.
class ComputeTracker
{
public:
    /// Counts a prompt of `promptTokens` tokens that an engine starts to prefill. The first `found`
    /// of its `blocks` are in the engine's cache; the engine computes the others.
    void recordPrompt(std::span<const BlockKey> blocks, std::size_t found,
                      std::uint64_t promptTokens, std::uint32_t blockTokens);
    /// Counts an engine that has the block in its cache.
    void recordStored(BlockKey block);
    /// Removes an engine from the block's holders, after an eviction or the loss of its cache.
    void recordLost(BlockKey block, RecomputeReason reason);

    /// Returns the totals since the start of the run.
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
