#include "FleetPeers/FleetTopology.h"

#include <algorithm>
#include <map>

#include "Core/Hashing.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

/// Number of nodes up to which each tells all others everything: a digest to that many peers is
/// delayed by no more than 15 ms.
constexpr std::size_t MaxMeshNodes = 16;

/// True if `self` has the highest score for the pair of zones among the live nodes.
bool relaysTo(const std::string &self, const std::string &from, const std::string &to,
              std::span<const std::string> live)
{
    const std::uint64_t key = mix64(hash64("tells the zone"), mix64(hash64(from), hash64(to)));
    const std::uint64_t own = rendezvousScore(key, hash64(self));
    return std::none_of(live.begin(), live.end(), [&](const std::string &name) {
        const std::uint64_t score = rendezvousScore(key, hash64(name));
        return score > own || (score == own && name < self);
    });
}

} // namespace

FleetTopology::FleetTopology(const std::string &self, const std::string &zone,
                             std::span<const FleetNode> nodes)
    : self_(self)
    , zone_(zone)
    , zoned_(nodes.size() > MaxMeshNodes && !zone.empty())
{
    for (const FleetNode &node : nodes) {
        if (node.name == self) {
            continue;
        }
        // Nodes of older builds name no zone and expect digests of everybody.
        if (!zoned_ || node.zone.empty() || node.zone == zone) {
            neighbours_.push_back(node);
        } else {
            remote_.push_back(node);
        }
    }
}

std::vector<FleetNode> FleetTopology::summaryReceivers(std::span<const std::string> live) const
{
    std::map<std::string, bool> relayed;
    std::vector<FleetNode> receivers;
    for (const FleetNode &node : remote_) {
        const auto [zone, added] = relayed.try_emplace(node.zone, false);
        if (added) {
            zone->second = relaysTo(self_, zone_, node.zone, live);
        }
        if (zone->second) {
            receivers.push_back(node);
        }
    }
    return receivers;
}

} // namespace jacinthroad
