#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "FleetPeers/NodeDigest.h"

namespace jacinthroad {

/// One leading part of a prompt together with all parts before it, for one model, version of
/// weights and wall. Equal keys name equal cache contents.
using PromptPrefix = PrefixNotice;

/// What one backend server probably holds in its cache: prefixes that were sent to it, the least
/// recently used dropped once their tokens exceed its room.
class HeldParts
{
public:
    /// `roomTokens` is the room for shared parts.
    explicit HeldParts(std::uint64_t roomTokens)
        : roomTokens_(roomTokens)
    { }

    /// Notes that requests with these prefixes were sent, those of one prompt shortest first.
    void noteSent(std::span<const PromptPrefix> prefixes) { note(prefixes, false); }
    /// Notes that the server has read these prefixes, those of one prompt shortest first.
    void noteRead(std::span<const PromptPrefix> prefixes) { note(prefixes, true); }
    /// Tokens at the head of the prompt that are cached or being read.
    [[nodiscard]] std::uint32_t heldTokens(std::span<const PromptPrefix> prefixes) const;
    /// Tokens at the head of the prompt that have been read and can be fetched.
    [[nodiscard]] std::uint32_t readTokens(std::span<const PromptPrefix> prefixes) const;
    /// Forgets everything, as after a restart or new weights.
    void clear();

private:
    struct Entry
    {
        std::uint64_t key;
        std::uint32_t ownTokens;
        bool read;
    };

    void note(std::span<const PromptPrefix> prefixes, bool read);

    std::uint64_t roomTokens_;
    std::uint64_t usedTokens_ = 0;
    /// Most recently used first.
    std::list<Entry> order_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byKey_;
};

} // namespace jacinthroad
