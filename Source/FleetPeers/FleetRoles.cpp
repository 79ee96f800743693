#include "FleetPeers/FleetRoles.h"

#include <algorithm>

#include "Core/Hashing.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

bool isFleetDelegate(std::string_view self, std::span<const std::string> live, std::size_t most)
{
    // Hash input; all nodes of a fleet must use the same text to select the same delegates.
    const std::uint64_t key = hash64("acts for the fleet");
    const std::uint64_t own = rendezvousScore(key, hash64(self));
    const auto ahead = std::count_if(live.begin(), live.end(), [&](const std::string &name) {
        const std::uint64_t score = rendezvousScore(key, hash64(name));
        return score > own || (score == own && name < self);
    });
    return static_cast<std::size_t>(ahead) < most;
}

} // namespace jacinthroad
