#include "StoreRelay/ReaderChoice.h"

#include <algorithm>
#include <utility>

#include "Core/Hashing.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

ReaderChoice::ReaderChoice(Options options)
    : options_(std::move(options))
{ }

void ReaderChoice::setZone(std::vector<RelayNode> nodes)
{
    zone_ = std::move(nodes);
    std::erase_if(failedAt_, [this](const auto &entry) {
        return std::none_of(zone_.begin(), zone_.end(),
                            [&](const RelayNode &node) { return node.name == entry.first; });
    });
    rank();
}

void ReaderChoice::setLive(std::span<const std::string> names)
{
    live_.assign(names.begin(), names.end());
    rank();
}

void ReaderChoice::rank()
{
    // Hash input; all nodes of a fleet must use the same text to choose the same readers.
    const std::uint64_t key = mix64(hash64("reads the store"), hash64(options_.kind));
    const auto ranksAbove = [key](const std::string &left, const std::string &right) {
        const std::uint64_t leftScore = rendezvousScore(key, hash64(left));
        const std::uint64_t rightScore = rendezvousScore(key, hash64(right));
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    };
    ranked_.clear();
    for (const RelayNode &node : zone_) {
        if (node.name != options_.self && ranksAbove(node.name, options_.self)
            && std::find(live_.begin(), live_.end(), node.name) != live_.end()) {
            ranked_.push_back(node);
        }
    }
    std::sort(ranked_.begin(), ranked_.end(), [&](const RelayNode &left, const RelayNode &right) {
        return ranksAbove(left.name, right.name);
    });
    if (ranked_.size() > options_.maxTried) {
        ranked_.resize(options_.maxTried);
    }
}

void ReaderChoice::noteFailed(std::string_view name, Instant now)
{
    failedAt_.insert_or_assign(std::string(name), now);
}

std::optional<RelayNode> ReaderChoice::reader(Instant now) const
{
    for (const RelayNode &node : ranked_) {
        const auto failed = failedAt_.find(node.name);
        if (failed == failedAt_.end() || now - failed->second >= options_.retryAfter) {
            return node;
        }
    }
    return std::nullopt;
}

} // namespace jacinthroad
