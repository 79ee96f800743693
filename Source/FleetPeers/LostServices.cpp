#include "FleetPeers/LostServices.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace jacinthroad {

void LostServices::setPeers(std::span<const FleetNode> peers)
{
    std::set<std::string> names;
    for (const FleetNode &peer : peers) {
        names.insert(peer.name);
        peers_.try_emplace(peer.name,
                           Services { .services = {}, .memory = { memory_, BodyKind::Control } });
    }
    std::erase_if(peers_, [&names](const auto &entry) { return !names.contains(entry.first); });
}

bool LostServices::note(const std::string &node, std::span<const ServiceId> services)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        return true;
    }
    const std::size_t bytes
        = std::accumulate(services.begin(), services.end(), std::size_t { 0 },
                          [](std::size_t sum, const ServiceId &service) {
                              return sum + sizeof(ServiceId) + service.text().size();
                          });
    Services &kept = found->second;
    const bool fits = bytes <= MaxPeerBytes && kept.memory.resize(bytes);
    // A copy of a vector has no more capacity than it needs.
    kept.services = fits ? std::vector<ServiceId>(services.begin(), services.end())
                         : std::vector<ServiceId>();
    if (!fits) {
        static_cast<void>(kept.memory.resize(0));
    }
    return fits;
}

bool LostServices::contains(const std::string &node, const ServiceId &service) const
{
    const auto found = peers_.find(node);
    return found != peers_.end()
        && std::find(found->second.services.begin(), found->second.services.end(), service)
        != found->second.services.end();
}

} // namespace jacinthroad
