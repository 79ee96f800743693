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
[[nodiscard]] std::string cacheSalt(WeightsVersion weights, std::string_view wall);

/// The key of a prompt's part under a salt. All nodes compute the same.
[[nodiscard]] std::uint64_t partKey(const ModelId &model, std::string_view salt, std::uint64_t id);

/// What one server or cache store holds, as far as this node knows: parts that were sent to it,
/// that it has read, and that its own events tell. The least recently used are dropped once their
/// tokens exceed its room.
class HeldParts
{
public:
    /// `roomTokens` is the room for shared parts.
    explicit HeldParts(std::uint64_t roomTokens)
        : roomTokens_(roomTokens)
    { }

    /// Takes another room; what exceeds it is dropped with the next note.
    void setRoom(std::uint64_t roomTokens) { roomTokens_ = roomTokens; }

    /// Notes that a request with these parts was sent.
    void noteSent(std::span<const CachedPart> parts) { note(parts, false); }
    /// Notes that these parts have been read and can be fetched.
    void noteRead(std::span<const CachedPart> parts) { note(parts, true); }
    /// Notes that a part is held no longer, or not as a whole.
    void noteDropped(std::uint64_t key);
    /// Tokens at the head of the prompt that are cached or being read.
    [[nodiscard]] std::uint32_t heldTokens(std::span<const CachedPart> parts) const;
    /// Tokens at the head of the prompt that have been read and can be fetched.
    [[nodiscard]] std::uint32_t readTokens(std::span<const CachedPart> parts) const;
    /// The parts that have been read, the least recently used first.
    [[nodiscard]] std::vector<CachedPart> readParts() const;
    /// Forgets everything, as after a restart or new weights.
    void clear();

private:
    struct Entry
    {
        std::uint64_t key;
        std::uint32_t tokens;
        bool read;
    };

    /// Blocks in which caches hold tokens; a part may lack less than one at its end.
    static constexpr std::uint32_t BlockTokens = 16;

    void note(std::span<const CachedPart> parts, bool read);
    /// The entry that holds the part as a whole, or null.
    [[nodiscard]] const Entry *whole(const CachedPart &part) const;

    std::uint64_t roomTokens_;
    std::uint64_t usedTokens_ = 0;
    /// Most recently used first.
    std::list<Entry> order_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byKey_;
};

} // namespace jacinthroad
