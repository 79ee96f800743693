#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Error.h"
#include "FleetPeers/FleetTopology.h"
#include "FleetPeers/FreshnessExchange.h"
#include "FleetPeers/LostServices.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// Sends the peers a digest of this node's recent sends to servers a few times a second, and
/// applies the digests that it receives. Datagrams may be lost, so each can be applied on its own.
/// Used by the traffic thread only.
class DigestExchange
{
public:
    DigestExchange(TrafficState &state, std::int64_t boot);

    /// Binds to `IP:port` and starts. Returns the error, after which it may be called again;
    /// `invalid_argument` if the address is not of that form.
    [[nodiscard]] boost::system::error_code open(const std::string &address);
    [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
    /// Replaces the registered nodes.
    void applyNodes(std::span<const FleetNode> nodes);
    /// Which nodes this one tells what.
    [[nodiscard]] const FleetTopology &topology() const { return topology_; }
    /// Sends a digest immediately.
    void sendDigest();
    /// Sends a digest after a short delay, together with all updates until then.
    void sendDigestSoon();
    /// Called on the first digest from a new or restarted node.
    std::function<void()> onPeerStarted = [] {};
    /// Names of the nodes from which a digest arrived recently, and of this node.
    [[nodiscard]] std::vector<std::string> liveNodes(Instant now) const;
    /// The nodes that take forwarded requests, without those that are known not to help.
    [[nodiscard]] std::vector<ForwardPeer> forwardPeers(Instant now) const;
    /// True if a digest arrived recently from each node that sends this one digests.
    [[nodiscard]] bool hearsAllPeers(Instant now) const;
    /// Returns the nodes that send this one digests, from which one arrived recently and that have
    /// not lost their links to the backend servers.
    [[nodiscard]] std::vector<FleetNode> peersWithLinks(Instant now) const;
    /// The same for the servers of one service.
    [[nodiscard]] std::vector<FleetNode> peersWithLinks(const ServiceId &service,
                                                        Instant now) const;

private:
    void receive();
    void applyDatagram(std::string_view datagram);
    void applySummary(const NodeDigest &summary);
    /// Resends the crash records to a peer that has started, unless others do.
    void informStartedPeer();
    void scheduleDigest();
    void scheduleSummary();
    void sendSummary();
    [[nodiscard]] NodeDigest emptyDigest(BootInstant now);

    static constexpr std::size_t DatagramBytes = 65536;

    TrafficState &state_;
    std::uint64_t boot_;
    FreshnessExchange freshness_;
    std::uint64_t sequence_ = 0;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer periodicTimer_;
    boost::asio::steady_timer batchTimer_;
    boost::asio::steady_timer summaryTimer_;
    /// Number of nodes that the last summary was sent to.
    std::size_t summarizedTo_ = 0;
    bool batchPending_ = false;
    /// Earliest time of the next digest, which bounds the share of the link that digests take.
    Instant nextDigestAt_;
    FleetTopology topology_;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    /// Boot and sequence number of the newest digest of each peer.
    std::unordered_map<std::string, std::pair<std::uint64_t, std::uint64_t>> newest_;
    /// When a digest of each peer arrived last, and whether that peer has lost its links.
    struct PeerState
    {
        Instant receivedAt;
        bool linksLost = false;
    };
    std::unordered_map<std::string, PeerState> heard_;
    LostServices lostServices_;
    std::array<char, DatagramBytes> buffer_ {};
    boost::asio::ip::udp::endpoint sender_;
};

} // namespace jacinthroad
