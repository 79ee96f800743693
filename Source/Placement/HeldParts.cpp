#include "Placement/HeldParts.h"

namespace jacinthroad {

void HeldParts::note(std::span<const PromptPrefix> prefixes, bool read)
{
    std::uint32_t before = 0;
    for (const PromptPrefix &prefix : prefixes) {
        // A prefix that is not longer than the one before begins another prompt.
        const std::uint32_t own = prefix.tokens > before ? prefix.tokens - before : prefix.tokens;
        before = prefix.tokens;
        const auto found = byKey_.find(prefix.key);
        if (found != byKey_.end()) {
            found->second->read = found->second->read || read;
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front({ .key = prefix.key, .ownTokens = own, .read = read });
        byKey_[prefix.key] = order_.begin();
        usedTokens_ += own;
    }
    while (usedTokens_ > roomTokens_ && order_.size() > prefixes.size()) {
        usedTokens_ -= order_.back().ownTokens;
        byKey_.erase(order_.back().key);
        order_.pop_back();
    }
}

std::uint32_t HeldParts::heldTokens(std::span<const PromptPrefix> prefixes) const
{
    std::uint32_t held = 0;
    for (const PromptPrefix &prefix : prefixes) {
        if (!byKey_.contains(prefix.key)) {
            break;
        }
        held = prefix.tokens;
    }
    return held;
}

std::uint32_t HeldParts::readTokens(std::span<const PromptPrefix> prefixes) const
{
    std::uint32_t tokens = 0;
    for (const PromptPrefix &prefix : prefixes) {
        const auto found = byKey_.find(prefix.key);
        if (found == byKey_.end() || !found->second->read) {
            break;
        }
        tokens = prefix.tokens;
    }
    return tokens;
}

void HeldParts::clear()
{
    order_.clear();
    byKey_.clear();
    usedTokens_ = 0;
}

} // namespace jacinthroad
