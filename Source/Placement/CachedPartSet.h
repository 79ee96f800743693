#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/Ids.h"
#include "Fleet/ListedServer.h"
#include "FleetPeers/NodeDigest.h"

namespace jacinthroad {

/// The salt under which a server caches the parts of a request: parts of other weights, and of
/// isolated teams, are never found under it. `wall` is the isolated team's name or empty.
[[nodiscard]] std::string cacheSalt(WeightsVersion weights, std::string_view isolationScope);

/// The key of a prompt's part under a salt. All nodes compute the same.
[[nodiscard]] std::uint64_t partKey(const ModelId &model, std::string_view salt, std::uint64_t id);

/// What one server or cache store holds, as far as this node knows: parts that were sent to it,
/// that it has read, and that its own events tell. The least recently used are dropped once their
/// tokens exceed its room.
class CachedPartSet
{
public:
    /// `roomTokens` is the room for shared parts.
    explicit CachedPartSet(std::uint64_t capacityTokens)
        : capacityTokens_(capacityTokens)
    { }

    /// Takes another room; what exceeds it is dropped with the next note.
    void setCapacity(std::uint64_t capacityTokens) { capacityTokens_ = capacityTokens; }

    /// Notes that a request with these parts was sent.
    void noteSent(std::span<const CachedPart> parts) { record(parts, false); }
    /// Notes that these parts have been read and can be fetched.
    void notePrefilled(std::span<const CachedPart> parts) { record(parts, true); }
    /// Notes that a part is held no longer, or not as a whole.
    void noteRemoved(std::uint64_t key);
    /// Tokens at the head of the prompt that are cached or being read.
    [[nodiscard]] std::uint32_t cachedTokens(std::span<const CachedPart> parts) const;
    /// Tokens at the head of the prompt that have been read and can be fetched.
    [[nodiscard]] std::uint32_t fetchableTokens(std::span<const CachedPart> parts) const;
    /// The parts that have been read, the least recently used first.
    [[nodiscard]] std::vector<CachedPart> fetchableParts() const;
    /// Forgets everything, as after a restart or new weights.
    void clear();

private:
    struct Entry
    {
        std::uint64_t key;
        std::uint32_t tokens;
        bool prefilled;
    };

    /// Blocks in which caches hold tokens; a part may lack less than one at its end.
    static constexpr std::uint32_t BlockTokens = 16;

    void record(std::span<const CachedPart> parts, bool prefilled);
    /// The entry that holds the part as a whole, or null.
    [[nodiscard]] const Entry *findComplete(const CachedPart &part) const;

    std::uint64_t capacityTokens_;
    std::uint64_t usedTokens_ = 0;
    /// Most recently used first.
    std::list<Entry> entries_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byKey_;
};

} // namespace jacinthroad
