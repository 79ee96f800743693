#include "Placement/CachedPartSet.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

std::string cacheSalt(WeightsVersion weights, std::string_view cacheScope)
{
    return std::string("v").append(std::to_string(weights)).append(cacheScope);
}

std::uint64_t partKey(const ModelId &model, std::string_view salt, std::uint64_t id)
{
    return mix64(id, hash64(salt, hash64(model.text())));
}

void CachedPartSet::record(std::span<const CachedPart> parts, bool prefilled)
{
    for (const CachedPart &part : parts) {
        const auto found = byKey_.find(part.key);
        if (found != byKey_.end()) {
            Entry &entry = *found->second;
            const std::uint32_t tokens = std::max(entry.tokens, part.tokens);
            usedTokens_ += tokens - entry.tokens;
            // Events report a part repeatedly, with increasing size, while it is being prefilled.
            const bool complete = part.tokens + BlockTokens >= entry.tokens;
            entry.prefilled = complete && (entry.prefilled || prefilled);
            entry.tokens = tokens;
            entries_.splice(entries_.begin(), entries_, found->second);
            continue;
        }
        entries_.push_front({ .key = part.key, .tokens = part.tokens, .prefilled = prefilled });
        byKey_[part.key] = entries_.begin();
        usedTokens_ += part.tokens;
    }
    while (usedTokens_ > capacityTokens_ && entries_.size() > parts.size()) {
        noteRemoved(entries_.back().key);
    }
}

void CachedPartSet::noteRemoved(std::uint64_t key)
{
    const auto found = byKey_.find(key);
    if (found == byKey_.end()) {
        return;
    }
    usedTokens_ -= found->second->tokens;
    entries_.erase(found->second);
    byKey_.erase(found);
}

const CachedPartSet::Entry *CachedPartSet::findComplete(const CachedPart &part) const
{
    const auto found = byKey_.find(part.key);
    const bool complete
        = found != byKey_.end() && found->second->tokens + BlockTokens >= part.tokens;
    return complete ? &*found->second : nullptr;
}

std::uint32_t CachedPartSet::cachedTokens(std::span<const CachedPart> parts) const
{
    std::uint32_t cached = 0;
    for (const CachedPart &part : parts) {
        if (findComplete(part) == nullptr) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

std::uint32_t CachedPartSet::fetchableTokens(std::span<const CachedPart> parts) const
{
    std::uint32_t tokens = 0;
    for (const CachedPart &part : parts) {
        const Entry *entry = findComplete(part);
        if (entry == nullptr || !entry->prefilled) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

std::vector<CachedPart> CachedPartSet::fetchableParts() const
{
    std::vector<CachedPart> parts;
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
        if (entry->prefilled) {
            parts.push_back({ .key = entry->key, .tokens = entry->tokens });
        }
    }
    return parts;
}

void CachedPartSet::clear()
{
    entries_.clear();
    byKey_.clear();
    usedTokens_ = 0;
}

} // namespace jacinthroad
