#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// What a node tells of itself in every datagram.
struct PeerIdentity
{
    NodeId node;
    ZoneId zone;
    /// Grows with every start of the node.
    std::uint64_t incarnation = 0;
    /// `IP:port` of its datagrams.
    std::string address;
    /// Base URL of its operator interface, where it serves patches.
    std::string operatorUrl;
    /// Version of the configuration in force there.
    std::uint64_t configurationVersion = 0;
    bool leaving = false;
};

/// How a node stands towards a peer.
enum class PeerState : std::uint8_t { Alive, Leaving, Suspect };

/// One peer.
struct Peer
{
    PeerIdentity identity;
    Instant lastReceivedAt;
    /// Number of the last datagram taken, against replays.
    std::uint64_t lastSequence = 0;
};

/// Settings of a PeerTable.
struct PeerTableOptions
{
    Duration suspectAfter = std::chrono::seconds(2);
    Duration removeAfter = std::chrono::seconds(15);
};

/// The peers that a node knows, from their own datagrams only: nobody is believed about others
/// but for an address to try. Pure: the time is passed in.
class PeerTable
{
public:
    PeerTable(NodeId self, PeerTableOptions options);

    /// Takes the head of an authenticated datagram. False for one of our own, of an earlier
    /// incarnation, or not newer than the last taken: nothing of it may be used then.
    [[nodiscard]] bool acceptDatagram(const PeerIdentity &identity, std::uint64_t sequence,
                                      Instant now);

    /// Notes an address to try, from settings or the platform.
    void addAddress(const std::string &address);

    /// Drops peers not heard from for long and returns their names.
    [[nodiscard]] std::vector<NodeId> removeSilentPeers(Instant now);

    [[nodiscard]] PeerState state(const Peer &peer, Instant now) const;
    [[nodiscard]] const std::map<NodeId, Peer> &peers() const { return peers_; }
    /// Peers that serve, ourselves included.
    [[nodiscard]] std::size_t liveNodes(Instant now) const;
    /// Addresses to send to: every known peer's and those not yet heard from.
    [[nodiscard]] std::vector<std::string> targets() const;
    /// A peer with a configuration newer than ours, the newest first.
    [[nodiscard]] std::optional<PeerIdentity> peerWithNewerConfiguration(std::uint64_t version,
                                                                         Instant now) const;

private:
    NodeId self_;
    PeerTableOptions options_;
    std::map<NodeId, Peer> peers_;
    std::map<std::string, bool> addresses_;
};

} // namespace jacinthroad
