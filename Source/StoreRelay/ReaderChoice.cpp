#include "StoreRelay/ReaderChoice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "Core/Hashing.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

/// Links of one class are at most a factor of two apart. The class depends on nothing but the link,
/// so that nodes which know different nodes rank them alike.
int linkClass(double linkMbps)
{
    return linkMbps > 0 ? std::ilogb(linkMbps) : std::numeric_limits<int>::min();
}

} // namespace

ReaderChoice::ReaderChoice(Options options)
    : options_(std::move(options))
{ }

void ReaderChoice::setZone(std::vector<RelayNode> nodes)
{
    zone_ = std::move(nodes);
    std::erase_if(failures_, [this](const auto &entry) {
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
    const auto ranksAbove = [key](const RelayNode &left, const RelayNode &right) {
        const int leftClass = linkClass(left.linkMbps);
        const int rightClass = linkClass(right.linkMbps);
        if (leftClass != rightClass) {
            return leftClass > rightClass;
        }
        const std::uint64_t leftScore = rendezvousScore(key, hash64(left.name));
        const std::uint64_t rightScore = rendezvousScore(key, hash64(right.name));
        return leftScore != rightScore ? leftScore > rightScore : left.name < right.name;
    };
    const RelayNode self { .name = options_.self, .address = {}, .linkMbps = options_.linkMbps };
    ranked_.clear();
    for (const RelayNode &node : zone_) {
        if (node.name != options_.self && ranksAbove(node, self)
            && std::find(live_.begin(), live_.end(), node.name) != live_.end()) {
            ranked_.push_back(node);
        }
    }
    std::sort(ranked_.begin(), ranked_.end(), ranksAbove);
    if (ranked_.size() > options_.maxTried) {
        ranked_.resize(options_.maxTried);
    }
}

void ReaderChoice::noteFailed(std::string_view name, Instant now)
{
    const auto [found, added] = failures_.try_emplace(std::string(name));
    Failure &failure = found->second;
    failure.at = now;
    failure.retryAfter
        = added ? options_.retryAfter : std::min(2 * failure.retryAfter, options_.maxRetryAfter);
}

void ReaderChoice::noteUsable(std::string_view name)
{
    const auto found = failures_.find(name);
    if (found != failures_.end()) {
        failures_.erase(found);
    }
}

std::optional<RelayNode> ReaderChoice::reader(Instant now) const
{
    for (const RelayNode &node : ranked_) {
        const auto failure = failures_.find(node.name);
        if (failure == failures_.end() || now - failure->second.at >= failure->second.retryAfter) {
            return node;
        }
    }
    return std::nullopt;
}

} // namespace jacinthroad
