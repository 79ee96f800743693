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

/// One team.
struct Team
{
    TeamId id;
    std::vector<std::string> keySha256;
    double weight = 1;
    std::uint32_t maxConcurrent = 0;
};

/// One model and the terms of its service.
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
    /// Share of events that has to meet the targets.
    double objectiveShare = 0.95;
};

/// One model engine.
struct BackendServer
{
    ServerId id;
    ZoneId zone;
    std::string url;
    ModelId model;
    std::uint32_t slots = 0;
    double prefillTokensPerSecond = 0;
};

/// One plain service.
struct Service
{
    ServiceId id;
    std::vector<std::string> urls;
    /// `METHOD path-prefix` of calls that may be repeated.
    std::vector<std::string> retryable;
    std::uint32_t claimShards = 1;
    Duration callTimeout {};

    /// True when the configuration says that the call may be repeated; what it does not say may
    /// not be.
    [[nodiscard]] bool isRetryable(std::string_view method, std::string_view path) const;
};

/// The operators' objects of one version, checked. Immutable once made and shared by threads.
struct Configuration
{
    std::uint64_t version = 0;
    std::map<TeamId, Team> teams;
    std::map<ModelId, Model> models;
    std::map<ServerId, BackendServer> servers;
    std::map<ServiceId, Service> services;
    /// Teams by the SHA-256 of their keys.
    std::map<std::string, TeamId, std::less<>> teamByKey;

    /// The team whose key has this SHA-256; nullptr when none has. Only digests are looked up,
    /// so the time taken tells nothing about a key.
    [[nodiscard]] const Team *teamOfKey(std::string_view keySha256) const;
};

/// Every fault of a document: each object against its table, then the objects against each
/// other.
[[nodiscard]] std::vector<Fault> checkConfiguration(const Json::Value &document);

/// Reads a document that checkConfiguration() found without fault.
[[nodiscard]] Configuration readConfiguration(const Json::Value &document, std::uint64_t version);

} // namespace jacinthroad
