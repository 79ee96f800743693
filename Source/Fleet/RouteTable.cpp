#include "Fleet/RouteTable.h"

#include <algorithm>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// First characters of scopes, which keep shared scopes apart from those of isolated teams.
constexpr char TeamScopeMark = '-';
constexpr char SharedScopeMark = '.';

} // namespace

RouteTable::RouteTable(SharedConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto &route : configuration_.routes) {
        byHost_[route->host].push_back(route.get());
        if (route->kind == RouteKind::Streaming && route->resumable) {
            for (const ServiceShare &share : route->services) {
                resumableServices_.insert(share.service);
            }
        }
    }
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    for (const auto &team : configuration_.teams) {
        for (const std::string &key : team->keys) {
            byKey_.emplace(key, team.get());
        }
        if (team->isolated) {
            isolatedTeams_.insert(team->name);
        }
    }
    if (!isolatedTeams_.empty()) {
        std::uint64_t names = 0;
        for (const TeamId &team : isolatedTeams_) {
            names = mix64(names, hash64(team.text()));
        }
        sharedScope_ = SharedScopeMark + hexadecimal(names);
    }
}

const Route *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto routes = byHost_.find(host);
    if (routes == byHost_.end()) {
        return nullptr;
    }
    const auto found
        = std::find_if(routes->second.begin(), routes->second.end(),
                       [&](const Route *route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const FleetTeam *RouteTable::team(std::string_view key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

std::string RouteTable::cacheScope(const TeamId &team) const
{
    return isolatedTeams_.contains(team) ? TeamScopeMark + team.text() : sharedScope_;
}

const ServiceDefinition *RouteTable::service(const ServiceId &name) const
{
    const auto found
        = std::find_if(configuration_.services.begin(), configuration_.services.end(),
                       [&](const ServiceDefinition &service) { return service.name == name; });
    return found == configuration_.services.end() ? nullptr : &*found;
}

const ServiceId *RouteTable::target(const Route &route, std::uint64_t draw)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += std::max(0.0, share.weight);
    }
    constexpr double DrawRange = 18446744073709551616.0;
    double left = static_cast<double>(draw) / DrawRange * total;
    const ServiceId *last = nullptr;
    for (const ServiceShare &share : route.services) {
        if (share.weight <= 0) {
            continue;
        }
        last = &share.service;
        left -= share.weight;
        if (left < 0) {
            break;
        }
    }
    return last;
}

} // namespace jacinthroad
