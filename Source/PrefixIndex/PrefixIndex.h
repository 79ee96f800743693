#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"
#include "PrefixIndex/PrefixKey.h"

namespace jacinthroad {

/// Index of a backend server in the server table of the index's owner.
using ServerSlot = std::uint16_t;

/// Options of PrefixIndex.
struct PrefixIndexOptions
{
    /// Maximum number of keys; when it is reached, the least recently used half is removed.
    std::size_t capacityBlocks = 65536;
    /// Initial eviction horizon: an entry that was not used for this long counts as evicted. The
    /// horizon then follows the cached-token counts in responses, within the limits below.
    Duration initialHorizon = std::chrono::seconds(30);
    Duration minimumHorizon = milliseconds(200);
    Duration maximumHorizon = std::chrono::minutes(30);
};

/// A node's estimate of the prompt blocks that each backend server has cached. It is fed by the
/// node's own dispatches, by cache events and by samples from peers, and corrected by the
/// cached-token count of every response. A wrong estimate costs time but never correctness, because
/// engines match by salted content themselves.
///
/// Each entry belongs to an epoch of its server. newEpoch() invalidates all earlier entries at
/// once, after a restart, a change of weights or a gap in the events.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options);

    /// Makes room for the server slots 0 to `slots` - 1.
    void resize(std::size_t slots);

    /// Invalidates all entries of the server.
    void newEpoch(ServerSlot server);

    /// Records that the server stored or used these blocks at `now`.
    void noteStored(ServerSlot server, std::span<const BlockKey> keys, Instant now);

    /// Records that the server no longer has these blocks.
    void noteRemoved(ServerSlot server, std::span<const BlockKey> keys);

    /// Applies a response's report that the first `cached` of `keys` were found in the cache, and
    /// corrects the server's eviction horizon by it.
    void noteObserved(ServerSlot server, std::span<const BlockKey> keys, std::size_t cached,
                      Instant now);

    /// Returns for each slot the number of leading blocks that its server is believed to have
    /// cached. A key covers its block and all blocks before it, and engines evict from the end, so
    /// one cached key implies every earlier one. A small sample of keys is therefore enough to
    /// recognise a prefix.
    [[nodiscard]] std::vector<std::uint32_t> matchAll(std::span<const BlockKey> keys,
                                                      Instant now) const;

    /// Returns the number of leading blocks that the index still has an entry for, on any server
    /// and whether or not that entry is valid.
    [[nodiscard]] std::size_t seenBlocks(std::span<const BlockKey> keys) const;

    /// Returns how long the server is believed to keep an unused block.
    [[nodiscard]] Duration horizon(ServerSlot server) const { return horizons_[server]; }

    /// Returns the number of keys in the index.
    [[nodiscard]] std::size_t size() const { return recent_.size() + older_.size(); }

    /// Returns an estimate of the memory used, in bytes.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct Holder
    {
        ServerSlot server = 0;
        std::uint16_t epoch = 0;
        /// Time of the last use in milliseconds since `origin_`; 0 marks an unused element.
        std::uint32_t usedMs = 0;
    };
    static constexpr std::size_t MaximumHolders = 4;
    using Holders = std::array<Holder, MaximumHolders>;
    using Generation = std::unordered_map<BlockKey, Holders>;

    [[nodiscard]] const Holders *find(BlockKey key) const;
    /// Returns the key's entry in the recent generation, moving or creating it if necessary.
    Holders &touch(BlockKey key);
    /// Returns `now` in milliseconds since `origin_`, plus 1 because 0 marks an unused element.
    [[nodiscard]] std::uint32_t relativeMs(Instant now) const;
    [[nodiscard]] bool holds(const Holder &holder, std::uint32_t nowMs) const;
    Holder *holderOf(Holders &holders, ServerSlot server);

    PrefixIndexOptions options_;
    bool hasOrigin_ = false;
    Instant origin_;
    std::vector<std::uint16_t> epochs_;
    std::vector<Duration> horizons_;
    Generation recent_;
    Generation older_;
};

} // namespace jacinthroad
