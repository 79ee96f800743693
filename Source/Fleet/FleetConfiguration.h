#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// What may be repeated of a route's requests.
enum class RouteKind : std::uint8_t {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answered by a stream of events; may run again only where the route is resumable.
    Streaming,
};

/// One target of a route, with its share of the requests.
struct ServiceShare
{
    ServiceId service;
    double weight = 1;
};

/// One route: which requests it takes and how they are to be treated.
struct Route
{
    std::string name;
    /// Host name in lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind = RouteKind::Unsafe;
    /// A broken stream may go on at another backend server.
    bool resumable = false;
    /// Requests need no key.
    bool anonymous = false;
    /// Longest time that a caller is kept waiting for the whole answer.
    Duration timeout = std::chrono::seconds(30);
    /// Time within which an answer, or the first event of one, is wanted.
    Duration objective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Backend servers that one request may be sent to.
    unsigned maximumAttempts = 1;
    std::vector<ServiceShare> services;

    /// True where a second run of one request does no harm.
    [[nodiscard]] bool retryable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }
};

/// What a service's model engines can hold.
struct EngineCapacity
{
    unsigned slots = 0;
    /// Tokens of KV cache that running requests and cached parts share.
    std::uint64_t cacheTokens = 0;
};

/// One service as the configuration describes it.
struct ServiceDefinition
{
    ServiceId name;
    /// Connections that one backend server accepts from all callers together.
    unsigned maximumConnections = 0;
    /// Set where the service runs model engines.
    std::optional<EngineCapacity> engine;
    /// `IP:port` where the service is a store of KV cache; empty otherwise.
    std::string cacheStoreAddress;
    /// Tokens that such a store has room for.
    std::uint64_t cacheStoreTokens = 0;
};

/// One team, its keys and its walls.
struct FleetTeam
{
    TeamId name;
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<int> priority;
    /// Shares no cached part of a prompt with any other team.
    bool isolated = false;
};

/// Bounds on what callers send.
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
    CallerLimits limits;
};

} // namespace jacinthroad
