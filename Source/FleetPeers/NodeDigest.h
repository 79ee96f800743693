#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Ids.h"
#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/ListedServer.h"

namespace jacinthroad {

/// One part of a prompt as caches hold it. Equal keys name equal contents.
struct CachedPart
{
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
};

/// What a node tells its peers of one backend server.
struct ServerUpdate
{
    ServerId server;
    /// Requests that this node has on it.
    std::uint32_t inFlight = 0;
    /// Prompt tokens that this node has sent to it and that are not read yet.
    std::uint32_t pendingPrefillTokens = 0;
    /// The model whose weights the notice names; empty where it names none.
    ModelId model;
    /// Weights that it is known to run; 0 where unknown.
    WeightsVersion weights = 0;
    /// Time since this node, which has requests on it, has heard anything of it, ms.
    std::uint32_t unresponsiveMs = 0;
    /// This node could not reach it and keeps work off it for this long, ms.
    std::uint32_t avoidMs = 0;
    /// New work is to stay off it for this long, ms; 0 where it is welcome.
    std::uint32_t cordonedForMs = 0;
    /// Shared parts of prompts that were sent to it since the last digest.
    std::vector<CachedPart> sentParts;
    /// Parts that it has read, or that its events say it holds, since the last digest.
    std::vector<CachedPart> confirmedParts;
    /// Keys of parts that its events say it has dropped since the last digest.
    std::vector<std::uint64_t> evictedKeys;
};

/// Age that is told where the configuration was never read.
constexpr std::uint32_t UnknownAgeMs = 0xffffffff;

/// Says to a node that one of its digests was heard before this one was sent.
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
    /// Start of the sender's process, so that an older boot's datagrams are known.
    std::uint64_t boot = 0;
    /// Rises with each digest of one boot.
    std::uint64_t sequence = 0;
    std::uint64_t configurationVersion = 0;
    /// Time since that configuration was known to be the newest, ms; UnknownAgeMs before the first.
    std::uint32_t configurationAgeMs = 0;
    std::vector<ServerUpdate> servers;
    /// The newest weights of each model and the ones before that servers may still run.
    std::vector<DesiredWeightsAge> desiredWeights;
    /// Digests of nodes whose configuration is old.
    std::vector<DigestEcho> echoes {};
};

/// Encodes a digest.
[[nodiscard]] std::string encodeDigest(const NodeDigest &digest);
/// Decodes a datagram; nothing where it is not a digest.
[[nodiscard]] std::optional<NodeDigest> decodeDigest(std::string_view datagram);

} // namespace jacinthroad
