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

/// Position of a backend server in the table of the index's owner.
using ServerSlot = std::uint16_t;

/// Settings of a PrefixIndex.
struct PrefixIndexOptions
{
    /// Most keys kept; the least recently used half goes when it is reached.
    std::size_t capacityBlocks = 65536;
    /// An entry that was not used for so long counts as evicted until experience says otherwise.
    Duration initialHorizon = std::chrono::seconds(30);
    Duration minimumHorizon = milliseconds(200);
    Duration maximumHorizon = std::chrono::minutes(30);
};

/// What a node believes each backend server has cached. It is fed by the node's own dispatches,
/// by cache events and peers' samples, and corrected by the cached-token count of every answer.
/// A wrong belief costs time, never correctness: engines match by salted content themselves.
///
/// Each entry belongs to an epoch of its server; newEpoch() makes all earlier entries void at
/// once, for a restart, new weights or a gap in the events.
class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexOptions options);

    /// Makes room for slots 0 to `slots` - 1.
    void resize(std::size_t slots);

    /// Voids everything believed of the server.
    void newEpoch(ServerSlot server);

    /// Notes that the server holds these blocks since `now`.
    void noteStored(ServerSlot server, std::span<const BlockKey> keys, Instant now);

    /// Notes that the server no longer holds these blocks.
    void noteRemoved(ServerSlot server, std::span<const BlockKey> keys);

    /// Takes an answer's report that the first `cached` of `keys` were found in the cache:
    /// corrects entries and the server's eviction horizon.
    void noteObserved(ServerSlot server, std::span<const BlockKey> keys, std::size_t cached,
                      Instant now);

    /// For each slot the number of leading blocks that it is believed to hold. A key names its
    /// block with all before it, and engines evict from the end, so one held key stands for
    /// every earlier one; a small sample of keys is therefore enough to recognise a prefix.
    [[nodiscard]] std::vector<std::uint32_t> matchAll(std::span<const BlockKey> keys,
                                                      Instant now) const;

    /// The number of leading blocks that were seen at any server in living memory.
    [[nodiscard]] std::size_t seenBlocks(std::span<const BlockKey> keys) const;

    /// How long the server is believed to keep an unused block.
    [[nodiscard]] Duration horizon(ServerSlot server) const { return horizons_[server]; }

    /// Keys held now.
    [[nodiscard]] std::size_t size() const { return recent_.size() + older_.size(); }

    /// Bytes of memory used, by the sizes of what is held.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    struct Holder
    {
        ServerSlot server = 0;
        std::uint16_t epoch = 0;
        /// Milliseconds since origin_; 0 marks a free place.
        std::uint32_t usedMs = 0;
    };
    static constexpr std::size_t MaximumHolders = 4;
    using Holders = std::array<Holder, MaximumHolders>;
    using Generation = std::unordered_map<BlockKey, Holders>;

    [[nodiscard]] const Holders *find(BlockKey key) const;
    /// The entry of the key in the recent generation, moved or made there.
    Holders &touch(BlockKey key);
    [[nodiscard]] std::uint32_t stamp(Instant now) const;
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
