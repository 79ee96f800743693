#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Ids.h"
#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/ListedServer.h"
#include "Quarantine/CrashHistory.h"

namespace jacinthroad {

/// One cached prompt part. Equal keys identify equal contents.
struct CachedPart
{
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
};

/// Age in an update that says nothing about a limit; small, since most updates contain it.
constexpr std::uint32_t NoLimitReport = 0;

/// Longest time for which a node avoids a server that it could not reach, ms. A longer time is that
/// of a server that is leaving or no longer listed.
constexpr std::uint32_t MaxUnreachableMs = 2000;

/// State of one backend server as reported by a node to its peers.
struct ServerUpdate
{
    ServerId server;
    /// Requests of this node that are running on the server.
    std::uint32_t inFlight = 0;
    /// Prompt tokens sent by this node whose prefill is not finished.
    std::uint32_t pendingPrefillTokens = 0;
    /// The model that `weights` refers to; empty if none is reported.
    ModelId model;
    /// Weights version that the server runs; 0 if unknown.
    WeightsVersion weights = 0;
    /// Time in ms since the server last sent data to this node, which has requests on it.
    std::uint32_t unresponsiveMs = 0;
    /// Time in ms for which this node avoids the server: because it could not be reached, or if
    /// longer than MaxUnreachableMs because it is leaving or no longer listed.
    std::uint32_t avoidMs = 0;
    /// Time in ms for which the server is cordoned; 0 if it accepts new work.
    std::uint32_t cordonedForMs = 0;
    /// Requests a second, in thousandths, that a response of the server named as its limit; 0 if
    /// it named none. `limitAgeMs` is the age of that response, at least 1, or NoLimitReport.
    std::uint32_t limitPerThousandSeconds = 0;
    std::uint32_t limitAgeMs = NoLimitReport;
    /// Shared prompt parts sent to the server since the last digest.
    std::vector<CachedPart> sentParts;
    /// Parts known to be cached since the last digest, by a finished prefill or a cache event.
    std::vector<CachedPart> confirmedParts;
    /// Keys of parts evicted since the last digest, according to cache events.
    std::vector<std::uint64_t> evictedKeys;
};

/// Age reported before the configuration was first read.
constexpr std::uint32_t UnknownAgeMs = 0xffffffff;

/// Confirms to a node that its digest was received before this one was sent.
struct DigestEcho
{
    std::string node;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
};

/// One datagram to the peers.
struct NodeDigest
{
    std::string node;
    /// Start of the sender's process; tells datagrams of an earlier boot apart.
    std::uint64_t boot = 0;
    /// Increases with each digest of one boot.
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    /// Hash of its content: a restored store may assign a version again.
    std::uint64_t configurationHash = 0;
    /// Time in ms since that configuration was known to be the newest; UnknownAgeMs before the
    /// first read.
    std::uint32_t configurationAgeMs = 0;
    std::vector<ServerUpdate> servers;
    /// The desired weights of each model and earlier versions that servers may still run.
    std::vector<DesiredWeightsAge> desiredWeights;
    /// Echoes of digests from nodes whose configuration is old.
    std::vector<DigestEcho> echoes {};
    /// Requests that were running on servers that crashed.
    std::vector<CrashRecord> crashes {};
    /// The availability zone whose nodes' updates are summed up here; empty in a digest of a single
    /// node.
    std::string summarizedZone {};
    /// True if the sender has lost its links to the backend servers as a whole, so that what it
    /// reports of unreachable servers says nothing about them.
    bool linksLost = false;
    /// The services whose servers accept no connection of the sender, with the same consequence.
    std::vector<ServiceId> lostServices {};
};

[[nodiscard]] std::string encodeDigest(const NodeDigest &digest);
/// Decodes a datagram; nullopt if it is not a valid digest.
[[nodiscard]] std::optional<NodeDigest> decodeDigest(std::string_view datagram);

} // namespace jacinthroad
