#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Fleet/FleetConfiguration.h"

namespace jacinthroad {

/// One version of the configuration, indexed for request handling. Immutable, so that threads can
/// share it without locks.
class RouteTable
{
public:
    /// Refers to the routes and teams of `configuration` rather than copies them.
    explicit RouteTable(SharedConfiguration configuration);
    explicit RouteTable(FleetConfiguration configuration)
        : RouteTable(share(std::move(configuration)))
    { }

    [[nodiscard]] std::uint64_t version() const { return configuration_.version; }
    [[nodiscard]] const CallerLimits &limits() const { return configuration_.limits; }
    [[nodiscard]] const std::vector<ServiceDefinition> &services() const
    {
        return configuration_.services;
    }
    /// True if requests need a key, except on anonymous routes.
    [[nodiscard]] bool keysRequired() const
    {
        return configuration_.keysRequired || !configuration_.teams.empty();
    }
    /// True if callers can resume the streams of a route.
    [[nodiscard]] bool hasResumableStreams() const { return !resumableServices_.empty(); }
    /// The services whose streams callers can resume.
    [[nodiscard]] const std::set<ServiceId> &resumableServices() const
    {
        return resumableServices_;
    }

    /// The route of a host (lower case, without a port) with the longest prefix of the path, or
    /// null.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    /// The team that a key belongs to, or null.
    [[nodiscard]] const FleetTeam *team(std::string_view key) const;

    /// Returns the scope within which requests of this team share cached prompt parts; an empty
    /// name stands for requests without a team. An isolated team has a scope of its own. All others
    /// share one, which depends on the names of the isolated teams: parts that a team left there
    /// before it became isolated are out of reach afterwards, also for a node that has just
    /// started and knows only the present configuration.
    [[nodiscard]] std::string cacheScope(const TeamId &team) const;

    /// A service by its name, or null.
    [[nodiscard]] const ServiceDefinition *service(const ServiceId &name) const;

    /// Selects the service for a request by weight; `draw` is a uniform random 64-bit number. Null
    /// if no target of the route has a positive weight.
    [[nodiscard]] static const ServiceId *target(const Route &route, std::uint64_t draw);

private:
    SharedConfiguration configuration_;
    /// Routes of one host, longest prefix first. The names of hosts, and the keys below, are those
    /// in the parts.
    std::unordered_map<std::string_view, std::vector<const Route *>> byHost_;
    std::unordered_map<std::string_view, const FleetTeam *> byKey_;
    std::set<ServiceId> resumableServices_;
    std::set<TeamId> isolatedTeams_;
    /// The scope of the teams that aren't isolated.
    std::string sharedScope_;
};

} // namespace jacinthroad
