#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Whether requests of a route may be retried.
enum class RouteKind : std::uint8_t {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// The response is an event stream; may run again only if the route is resumable.
    Streaming,
};

/// One target service of a route with its relative traffic weight.
struct ServiceShare
{
    ServiceId service;
    double weight = 1;
};

/// One route: which requests it matches and how they are handled.
struct Route
{
    std::string name;
    /// Host name in lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    /// An interrupted stream may continue on another backend server.
    bool resumable = false;
    /// Requests need no key.
    bool anonymous = false;
    /// Maximum time until the complete response.
    Duration timeout = std::chrono::seconds(30);
    /// Target time until the response, or until the first event of a stream.
    Duration objective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of backend servers that one request is sent to.
    unsigned maximumAttempts = 1;
    std::vector<ServiceShare> services;

    /// True if a request may safely run more than once.
    [[nodiscard]] bool retryable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
};

/// Capacity of a service's model engines.
struct EngineCapacity
{
    unsigned slots = 0;
    /// Size of the KV cache in tokens, shared by running requests and cached prompt parts.
    std::uint64_t cacheTokens = 0;
};

/// Configuration of one service.
struct ServiceDefinition
{
    ServiceId name;
    /// Maximum number of connections that one backend server accepts from all callers together.
    unsigned maximumConnections = 0;
    /// Set if the service runs model engines.
    std::optional<EngineCapacity> engine;
    /// `IP:port` if the service is a KV cache store; empty otherwise.
    std::string cacheStoreAddress;
    /// Capacity of the KV cache store in tokens.
    std::uint64_t cacheStoreTokens = 0;
};

/// One team with its keys, priority and isolation.
struct FleetTeam
{
    TeamId name;
    std::vector<std::string> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// Cached prompt parts are not shared with other teams.
    bool isolated = false;
};

/// Size and time limits for requests from callers.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One numbered version of the configuration.
struct FleetConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDefinition> services;
    std::vector<FleetTeam> teams;
    /// Requests need a key, except on anonymous routes. Also true for a list of teams without
    /// entries.
    bool keysRequired = false;
    CallerLimits limits;
};

/// The same with routes and teams that several versions share.
struct SharedConfiguration
{
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<const Route>> routes;
    std::vector<ServiceDefinition> services;
    std::vector<std::shared_ptr<const FleetTeam>> teams;
    bool keysRequired = false;
    CallerLimits limits;
};

/// Moves the routes and teams of a configuration into shared ones.
[[nodiscard]] SharedConfiguration share(FleetConfiguration configuration);

} // namespace jacinthroad
