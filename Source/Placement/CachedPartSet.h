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

/// Returns the salt under which a server caches the parts of a request. Parts of other weights or
/// of other cache scopes, as given by RouteTable::cacheScope(), never match it.
[[nodiscard]] std::string cacheSalt(WeightsVersion weights, std::string_view cacheScope);

/// Returns the cache key of a prompt part under a salt; it is the same on all nodes.
[[nodiscard]] std::uint64_t partKey(const ModelId &model, std::string_view salt, std::uint64_t id);

/// The prompt parts that one server or cache store is believed to cache: parts that were sent to
/// it, parts whose prefill is complete, and parts reported by its cache events. The least recently
/// used ones are evicted when their tokens exceed the capacity.
class CachedPartSet
{
public:
    /// `capacityTokens` is the capacity for shared parts, in tokens.
    explicit CachedPartSet(std::uint64_t capacityTokens)
        : capacityTokens_(capacityTokens)
    { }

    /// Changes the capacity; parts in excess of it are evicted when the next part is recorded.
    void setCapacity(std::uint64_t capacityTokens) { capacityTokens_ = capacityTokens; }

    /// Records that a request with these parts was sent.
    void noteSent(std::span<const CachedPart> parts) { record(parts, false); }
    /// Records that these parts have been prefilled and can be fetched.
    void notePrefilled(std::span<const CachedPart> parts) { record(parts, true); }
    /// Records that a part is no longer cached, or no longer complete.
    void noteRemoved(std::uint64_t key);
    /// Returns the number of leading prompt tokens that are cached or being prefilled.
    [[nodiscard]] std::uint32_t cachedTokens(std::span<const CachedPart> parts) const;
    /// Returns the number of leading prompt tokens that have been prefilled and can be fetched.
    [[nodiscard]] std::uint32_t fetchableTokens(std::span<const CachedPart> parts) const;
    /// Returns the prefilled parts, least recently used first.
    [[nodiscard]] std::vector<CachedPart> fetchableParts() const;
    /// Removes all parts, as after a restart or a change of weights.
    void clear();

private:
    struct Entry
    {
        std::uint64_t key;
        std::uint32_t tokens;
        bool prefilled;
    };

    /// Size of a cache block in tokens. Caches store only full blocks, so up to one block may be
    /// missing at the end of a part.
    static constexpr std::uint32_t BlockTokens = 16;

    void record(std::span<const CachedPart> parts, bool prefilled);
    /// Returns the entry if it covers the complete part, otherwise null.
    [[nodiscard]] const Entry *findComplete(const CachedPart &part) const;

    std::uint64_t capacityTokens_;
    std::uint64_t usedTokens_ = 0;
    /// In order of use, most recent first.
    std::list<Entry> entries_;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byKey_;
};

} // namespace jacinthroad
