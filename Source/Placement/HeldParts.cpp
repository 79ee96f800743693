#include "Placement/HeldParts.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

std::string cacheSalt(WeightsVersion weights, std::string_view wall)
{
    std::string salt = "v" + std::to_string(weights);
    if (!wall.empty()) {
        salt.append("-").append(wall);
    }
    return salt;
}

std::uint64_t partKey(const ModelId &model, std::string_view salt, std::uint64_t id)
{
    return mix64(id, hash64(salt, hash64(model.text())));
}

void HeldParts::note(std::span<const CachedPart> parts, bool read)
{
    for (const CachedPart &part : parts) {
        const auto found = byKey_.find(part.key);
        if (found != byKey_.end()) {
            Entry &entry = *found->second;
            const std::uint32_t tokens = std::max(entry.tokens, part.tokens);
            usedTokens_ += tokens - entry.tokens;
            // Events tell of a part that is still being read as it grows.
            const bool complete = part.tokens + BlockTokens >= entry.tokens;
            entry.read = complete && (entry.read || read);
            entry.tokens = tokens;
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front({ .key = part.key, .tokens = part.tokens, .read = read });
        byKey_[part.key] = order_.begin();
        usedTokens_ += part.tokens;
    }
    while (usedTokens_ > roomTokens_ && order_.size() > parts.size()) {
        noteDropped(order_.back().key);
    }
}

void HeldParts::noteDropped(std::uint64_t key)
{
    const auto found = byKey_.find(key);
    if (found == byKey_.end()) {
        return;
    }
    usedTokens_ -= found->second->tokens;
    order_.erase(found->second);
    byKey_.erase(found);
}

const HeldParts::Entry *HeldParts::whole(const CachedPart &part) const
{
    const auto found = byKey_.find(part.key);
    const bool complete
        = found != byKey_.end() && found->second->tokens + BlockTokens >= part.tokens;
    return complete ? &*found->second : nullptr;
}

std::uint32_t HeldParts::heldTokens(std::span<const CachedPart> parts) const
{
    std::uint32_t held = 0;
    for (const CachedPart &part : parts) {
        if (whole(part) == nullptr) {
            break;
        }
        held += part.tokens;
    }
    return held;
}

std::uint32_t HeldParts::readTokens(std::span<const CachedPart> parts) const
{
    std::uint32_t tokens = 0;
    for (const CachedPart &part : parts) {
        const Entry *entry = whole(part);
        if (entry == nullptr || !entry->read) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

std::vector<CachedPart> HeldParts::readParts() const
{
    std::vector<CachedPart> parts;
    for (auto entry = order_.rbegin(); entry != order_.rend(); ++entry) {
        if (entry->read) {
            parts.push_back({ .key = entry->key, .tokens = entry->tokens });
        }
    }
    return parts;
}

void HeldParts::clear()
{
    order_.clear();
    byKey_.clear();
    usedTokens_ = 0;
}

} // namespace jacinthroad
