#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Fleet/FleetConfiguration.h"

namespace jacinthroad {

/// One version of the configuration, indexed for request handling. Immutable, so that threads can
/// share it without locks.
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
    /// True if requests need a key, except on anonymous routes.
    [[nodiscard]] bool hasTeams() const { return !configuration_.teams.empty(); }
    /// True if callers can resume the streams of a route.
    [[nodiscard]] bool hasResumableStreams() const;

    /// The route of a host (lower case, without a port) with the longest prefix of the path, or
    /// null.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    /// The team that a key belongs to, or null.
    [[nodiscard]] const FleetTeam *team(std::string_view key) const;

    /// A service by its name, or null.
    [[nodiscard]] const ServiceDefinition *service(const ServiceId &name) const;

    /// Selects the service for a request by weight; `draw` is a uniform random 64-bit number. Null
    /// if no target of the route has a positive weight.
    [[nodiscard]] static const ServiceId *target(const Route &route, std::uint64_t draw);

private:
    FleetConfiguration configuration_;
    /// Routes of one host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
    std::unordered_map<std::string, const FleetTeam *> byKey_;
};

} // namespace jacinthroad
