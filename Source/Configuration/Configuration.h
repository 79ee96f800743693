#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <json/value.h>

#include "Core/Ids.h"
#include "Core/Schema.h"
#include "Core/Time.h"

namespace jacinthroad {

/// A team that calls the router.
struct Team
{
    TeamId id;
    /// SHA-256 of each key, as 64 hexadecimal digits.
    std::vector<std::string> keySha256;
    /// Relative share when requests of several teams have to wait.
    double weight = 1;
    /// Maximum number of concurrent requests over all nodes.
    std::uint32_t maxConcurrent = 0;
};

/// A model and its service objectives.
struct Model
{
    ModelId id;
    std::string version;
    std::string adapter;
    std::uint32_t blockTokens = 64;
    double recomputePriceMsPerToken = 0;
    double firstTokenTargetMs = 0;
    double firstTokenLimitMs = 0;
    double tokenGapTargetMs = 0;
    /// Fraction of events that has to meet the targets.
    double objectiveShare = 0.95;
};

/// A backend server that runs a model engine.
struct BackendServer
{
    ServerId id;
    ZoneId zone;
    std::string url;
    ModelId model;
    std::uint32_t slots = 0;
    double prefillTokensPerSecond = 0;
};

/// A plain service.
struct Service
{
    ServiceId id;
    std::vector<std::string> urls;
    /// `METHOD path-prefix` of calls that may be retried.
    std::vector<std::string> retryable;
    std::uint32_t claimShards = 1;
    Duration callTimeout {};

    /// True if the configuration lists the call as retryable. Calls that it does not list are not.
    [[nodiscard]] bool isRetryable(std::string_view method, std::string_view path) const;
};

/// One validated version of the operators' configuration. Immutable and shared between threads.
struct Configuration
{
    std::uint64_t version = 0;
    std::map<TeamId, Team> teams;
    std::map<ModelId, Model> models;
    std::map<ServerId, BackendServer> servers;
    std::map<ServiceId, Service> services;
    /// Team by SHA-256 of its keys.
    std::map<std::string, TeamId, std::less<>> teamByKey;

    /// Returns the team whose key has this SHA-256, or nullptr. Only digests are compared, so the
    /// duration of the lookup reveals nothing about a key.
    [[nodiscard]] const Team *teamOfKey(std::string_view keySha256) const;
};

/// Returns all faults of a document. Checks each object against its schema and, if that finds
/// nothing, the references between objects.
[[nodiscard]] std::vector<Fault> checkConfiguration(const Json::Value &document);

/// Reads a document in which checkConfiguration() found no fault.
[[nodiscard]] Configuration readConfiguration(const Json::Value &document, std::uint64_t version);

} // namespace jacinthroad
