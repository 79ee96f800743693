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

/// Largest datagram sent or taken, in bytes; it fits one frame of any usual network.
inline constexpr std::size_t MaximumDatagramBytes = 1400;

/// A server as it is named in datagrams: the low half of its name's hash.
using ServerTag32 = std::uint32_t;

/// The short name of a server.
[[nodiscard]] ServerTag32 serverTag(const ServerId &server);

/// A node's own work on one server.
struct PeerServerLoad
{
    ServerTag32 server = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t longJobs = 0;
    std::uint32_t waitingPrefill = 0;
};

/// A node's requests under way for one team.
struct PeerTeamLoad
{
    std::uint32_t team = 0;
    std::uint32_t inFlight = 0;
};

/// Blocks that a server holds since the sender's last request there.
struct PeerStored
{
    ServerTag32 server = 0;
    std::vector<BlockKey> keys;
};

/// One datagram between nodes. What is cut for lack of room is cut from the end: blocks first,
/// then loads; identity and quarantine always go.
struct PeerMessage
{
    PeerIdentity identity;
    std::uint64_t sequence = 0;
    std::vector<QuarantineRecord> quarantine;
    std::vector<PeerServerLoad> loads;
    std::vector<PeerTeamLoad> teams;
    std::vector<PeerStored> stored;
};

/// Writes a message of at most MaximumDatagramBytes, sealed with the key. Blocks that did not
/// fit are left out.
[[nodiscard]] std::string sealPeerMessage(PeerMessage message, std::string_view key);

/// Reads a datagram. Anything that is not whole and sealed with the key is an error, and
/// nothing of it is used.
[[nodiscard]] Result<PeerMessage> openPeerMessage(std::string_view datagram, std::string_view key);

} // namespace jacinthroad
