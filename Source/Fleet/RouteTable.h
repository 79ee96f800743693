#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Fleet/FleetConfiguration.h"

namespace jacinthroad {

/// One version of the configuration, indexed for the traffic path. Immutable, so threads share it.
class RouteTable
{
public:
    explicit RouteTable(FleetConfiguration configuration);

    [[nodiscard]] std::uint64_t version() const { return configuration_.version; }
    [[nodiscard]] const CallerLimits &limits() const { return configuration_.limits; }
    [[nodiscard]] const std::vector<ServiceDefinition> &services() const
    {
        return configuration_.services;
    }
    /// True where requests need a key unless their route is anonymous.
    [[nodiscard]] bool hasTeams() const { return !configuration_.teams.empty(); }

    /// The route of a host (lower case, without a port) with the longest prefix of the path, or
    /// null.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    /// The team that holds a key, or null.
    [[nodiscard]] const FleetTeam *team(std::string_view key) const;

    /// A service by its name, or null.
    [[nodiscard]] const ServiceDefinition *service(const ServiceId &name) const;

    /// The service that a request of the route goes to; `draw` is uniform over 64 bits. Null where
    /// the route has no target with a weight.
    [[nodiscard]] static const ServiceId *target(const Route &route, std::uint64_t draw);

private:
    FleetConfiguration configuration_;
    /// Routes of one host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
    std::unordered_map<std::string, const FleetTeam *> byKey_;
};

} // namespace jacinthroad
