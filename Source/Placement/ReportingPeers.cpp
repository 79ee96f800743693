#include "Placement/ReportingPeers.h"

#include "Core/Hashing.h"

namespace jacinthroad {

void ReportingPeers::setRegistered(std::span<const std::string> names)
{
    registered_.clear();
    for (const std::string &name : names) {
        registered_.insert(hash64(name));
        unregistered_.erase(hash64(name));
    }
}

bool ReportingPeers::note(std::string_view name, Instant now)
{
    const std::uint64_t hash = hash64(name);
    if (registered_.contains(hash)) {
        return true;
    }
    if (unregistered_.size() >= MaxUnregistered && !unregistered_.contains(hash)) {
        std::erase_if(unregistered_, [now](const auto &entry) {
            return now - entry.second >= UnregisteredLifetime;
        });
        if (unregistered_.size() >= MaxUnregistered) {
            return false;
        }
    }
    unregistered_[hash] = now;
    return true;
}

} // namespace jacinthroad
