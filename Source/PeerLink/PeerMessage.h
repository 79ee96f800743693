#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Membership/PeerTable.h"
#include "PrefixIndex/PrefixKey.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// Maximum size of a sent or received datagram, in bytes; it fits in one frame on common networks.
inline constexpr std::size_t MaximumDatagramBytes = 1400;

/// Identifies a server in datagrams: the lower 32 bits of the hash of its name.
using ServerTag32 = std::uint32_t;

/// Returns the tag that identifies a server in datagrams.
[[nodiscard]] ServerTag32 serverTag(const ServerId &server);

/// Load that the sending node itself has placed on one server.
struct PeerServerLoad
{
    ServerTag32 server = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t longJobs = 0;
    std::uint32_t waitingPrefill = 0;
};

/// Number of requests of one team that are in flight on the sending node.
struct PeerTeamLoad
{
    std::uint32_t team = 0;
    std::uint32_t inFlight = 0;
};

/// Blocks that requests of the sending node have recently added to a server's cache.
struct PeerStoredBlocks
{
    ServerTag32 server = 0;
    std::vector<BlockKey> keys;
};

/// Content of one datagram between nodes. If it is too large, entries are omitted: first stored
/// blocks, then team loads, then server loads, and quarantine records only as a last resort. The
/// identity is always sent.
struct PeerMessage
{
    PeerIdentity identity;
    std::uint64_t sequence = 0;
    std::vector<QuarantineRecord> quarantine;
    std::vector<PeerServerLoad> loads;
    std::vector<PeerTeamLoad> teams;
    std::vector<PeerStoredBlocks> stored;
};

/// Encodes a message as a datagram of at most MaximumDatagramBytes with an HMAC authentication tag
/// computed with the key. Entries that do not fit are omitted, as described at PeerMessage.
[[nodiscard]] std::string encodePeerMessage(PeerMessage message, std::string_view key);

/// Decodes a datagram. Returns an error, and uses none of the content, if the datagram is
/// malformed or its authentication tag does not match the key.
[[nodiscard]] Result<PeerMessage> decodePeerMessage(std::string_view datagram,
                                                    std::string_view key);

} // namespace jacinthroad
