#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Error.h"
#include "FleetPeers/FreshnessExchange.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// Tells the peers a few times a second what this node has sent where, and takes what they tell.
/// Datagrams may be lost: each stands for itself. Belongs to the traffic thread.
class DigestExchange
{
public:
    DigestExchange(TrafficState &state, std::int64_t boot);

    /// Binds to `IP:port` and begins; fails with InvalidSettings where that is not possible.
    [[nodiscard]] Result<void> open(const std::string &address);
    /// Takes the `IP:port` of all nodes by name.
    void applyPeers(const std::unordered_map<std::string, std::string> &addresses);
    /// Sends a digest now.
    void sendDigest();
    /// Sends a digest shortly, with whatever else happens until then.
    void sendDigestSoon();
    /// Called when a node is heard that has just started.
    std::function<void()> onPeerStarted = [] {};
    /// Names of the nodes that have told something lately, this one included.
    [[nodiscard]] std::vector<std::string> liveNodes(Instant now) const;

private:
    void receive();
    void applyDatagram(std::string_view datagram);
    void scheduleDigest();
    /// How long a send may wait until its peers hear of it.
    [[nodiscard]] Duration batchDelay() const;

    static constexpr std::size_t DatagramBytes = 65536;

    TrafficState &state_;
    std::uint64_t boot_;
    FreshnessExchange freshness_;
    std::uint64_t sequence_ = 0;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer periodicTimer_;
    boost::asio::steady_timer batchTimer_;
    bool batchPending_ = false;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    /// Newest boot and sequence of each peer.
    std::unordered_map<std::string, std::pair<std::uint64_t, std::uint64_t>> newest_;
    std::unordered_map<std::string, Instant> receivedAt_;
    std::array<char, DatagramBytes> buffer_ {};
    boost::asio::ip::udp::endpoint sender_;
};

} // namespace jacinthroad
