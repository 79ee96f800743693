#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "Core/Ids.h"
#include "Core/MemoryBudget.h"
#include "FleetPeers/FleetTopology.h"

namespace jacinthroad {

/// The services whose servers accept no connection of a peer, as the peers report them. Datagrams
/// aren't authenticated, so only those of registered peers are kept, up to a largest size each, in
/// memory from the budget of the node. Does no I/O.
class LostServices
{
public:
    /// Largest memory in bytes for the services of one peer.
    static constexpr std::size_t MaxPeerBytes = 8192;

    explicit LostServices(std::shared_ptr<MemoryBudget> memory)
        : memory_(std::move(memory))
    { }

    /// Replaces the peers, and forgets the services of others.
    void setPeers(std::span<const FleetNode> peers);
    /// Replaces the services of a node. Returns false if it is a peer and they take more memory
    /// than MaxPeerBytes or the budget has; none are kept then.
    [[nodiscard]] bool note(const std::string &node, std::span<const ServiceId> services);
    /// True if a peer reported that it has lost this service.
    [[nodiscard]] bool contains(const std::string &node, const ServiceId &service) const;

private:
    struct Services
    {
        std::vector<ServiceId> services;
        MemoryReservation memory;
    };

    std::shared_ptr<MemoryBudget> memory_;
    std::map<std::string, Services> peers_;
};

} // namespace jacinthroad
