#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Description of a node, sent in each of its datagrams.
struct PeerIdentity
{
    NodeId node;
    ZoneId zone;
    /// Increases with every start of the node.
    std::uint64_t incarnation = 0;
    /// `IP:port` for datagrams to the node.
    std::string address;
    /// Base URL of the operator interface, which serves configuration patches.
    std::string operatorUrl;
    /// Version of the configuration active on the node.
    std::uint64_t configurationVersion = 0;
    bool leaving = false;
};

/// State of a peer as seen by this node.
enum class PeerState : std::uint8_t { Alive, Leaving, Suspect };

/// A peer and its last accepted datagram.
struct Peer
{
    PeerIdentity identity;
    Instant lastReceivedAt;
    /// Sequence number of the last accepted datagram; protects against replays.
    std::uint64_t lastSequence = 0;
};

/// Settings of a PeerTable.
struct PeerTableOptions
{
    Duration suspectAfter = std::chrono::seconds(2);
    Duration removeAfter = std::chrono::seconds(15);
};

/// The peers known to this node, based only on their own datagrams. What a peer reports about
/// others is not trusted, except for addresses to contact. Performs no I/O; the time is passed in.
class PeerTable
{
public:
    PeerTable(NodeId self, PeerTableOptions options);

    /// Processes the header of an authenticated datagram. Returns false, and the datagram must be
    /// ignored, if it was sent by this node or by an earlier incarnation, or is not newer than the
    /// last accepted one.
    [[nodiscard]] bool acceptDatagram(const PeerIdentity &identity, std::uint64_t sequence,
                                      Instant now);

    /// Adds an address to contact, from the settings or the platform.
    void addAddress(const std::string &address);

    /// Removes peers that sent nothing for longer than `removeAfter` and returns their identifiers.
    [[nodiscard]] std::vector<NodeId> removeSilentPeers(Instant now);

    [[nodiscard]] PeerState state(const Peer &peer, Instant now) const;
    [[nodiscard]] const std::map<NodeId, Peer> &peers() const { return peers_; }
    /// Number of live nodes, including this one.
    [[nodiscard]] std::size_t liveNodes(Instant now) const;
    /// Addresses to send to: those of all known peers and those added by addAddress().
    [[nodiscard]] std::vector<std::string> targets() const;
    /// The live peer with the newest configuration, if that is newer than `version`.
    [[nodiscard]] std::optional<PeerIdentity> peerWithNewerConfiguration(std::uint64_t version,
                                                                         Instant now) const;

private:
    NodeId self_;
    PeerTableOptions options_;
    std::map<NodeId, Peer> peers_;
    std::map<std::string, bool> addresses_;
};

} // namespace jacinthroad
