#include "Gateway/DigestExchange.h"

#include <algorithm>
#include <utility>

#include "Core/Log.h"
#include "FleetPeers/NodeDigest.h"
#include "Gateway/BootClock.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time between two digests: a fraction of the time that a request stays on a server.
constexpr Duration DigestPeriod = milliseconds(200);
/// Parts of prompts in one digest: keeps it near the size of one packet.
constexpr std::size_t MostParts = 80;
/// How long a send waits for others before the peers hear of it, for each peer: a node then gets a
/// thousand datagrams a second at most.
constexpr Duration SoonPerPeer = milliseconds(1);
/// Peers beyond which that grows with their number: a large fleet's nodes have little processor
/// and many servers, so news may be older.
constexpr int PeersToldAtOnce = 15;
/// A node that has told nothing for this long counts as gone; several digests in a row are lost.
constexpr Duration NodeSilence = milliseconds(1500);

} // namespace

DigestExchange::DigestExchange(TrafficState &state, std::int64_t boot)
    : state_(state)
    , boot_(static_cast<std::uint64_t>(boot))
    , freshness_({ .self = state.settings.name, .boot = static_cast<std::uint64_t>(boot) })
    , socket_(state.context)
    , timer_(state.context)
    , soon_(state.context)
{ }

Result<void> DigestExchange::open(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    error_code error;
    if (endpoint.has_value()) {
        const asio::ip::udp::endpoint own(endpoint->address(), endpoint->port());
        socket_.open(own.protocol(), error);
        if (!error) {
            socket_.bind(own, error);
        }
    }
    if (!endpoint.has_value() || error) {
        return makeError(ErrorKind::InvalidSettings,
                         "peer address '" + address + "' cannot be bound",
                         "Write IP:port with this VM's address and a free UDP port.");
    }
    receive();
    schedule();
    return {};
}

void DigestExchange::applyPeers(const std::unordered_map<std::string, std::string> &addresses)
{
    state_.applyNodes(addresses.size());
    peers_.clear();
    for (const auto &[name, address] : addresses) {
        const auto endpoint = parseEndpoint(address);
        if (name != state_.settings.name && endpoint.has_value()) {
            peers_.emplace_back(endpoint->address(), endpoint->port());
        }
    }
}

void DigestExchange::schedule()
{
    timer_.expires_after(std::max(DigestPeriod, 2 * soonDelay()));
    timer_.async_wait([this](error_code error) {
        if (!error) {
            tell();
            schedule();
        }
    });
}

Duration DigestExchange::soonDelay() const
{
    const int peers = static_cast<int>(peers_.size());
    return SoonPerPeer * peers * std::max(PeersToldAtOnce, peers) / PeersToldAtOnce;
}

void DigestExchange::tellSoon()
{
    if (soonPending_ || peers_.empty()) {
        return;
    }
    soonPending_ = true;
    soon_.expires_after(soonDelay());
    soon_.async_wait([this](error_code error) {
        soonPending_ = false;
        if (!error) {
            tell();
        }
    });
}

void DigestExchange::tell()
{
    const BootInstant now = bootNow();
    const auto age = state_.freshness.age(now);
    const NodeDigest digest {
        .node = state_.settings.name,
        .boot = boot_,
        .sequence = ++sequence_,
        .configurationVersion = state_.routes != nullptr ? state_.routes->version() : 0,
        .configurationAgeMs = age.has_value() ? wholeMilliseconds(*age) + 1 : UnknownAgeMs,
        .servers = state_.pool.takeNotices(std::chrono::steady_clock::now(), MostParts),
        .desiredWeights = state_.pool.namedAges(std::chrono::steady_clock::now()),
        .echoes = freshness_.takeEchoes()
    };
    freshness_.noteSent(digest.sequence, now);
    if (!socket_.is_open()) {
        return;
    }
    const std::string datagram = encodeDigest(digest);
    for (const asio::ip::udp::endpoint &peer : peers_) {
        // A datagram that cannot be sent is a lost one; the next digest follows soon.
        error_code ignored;
        socket_.send_to(asio::buffer(datagram), peer, 0, ignored);
    }
    if (state_.pool.partsLeftToTell()) {
        tellSoon();
    }
}

std::vector<std::string> DigestExchange::liveNodes(Instant now) const
{
    std::vector<std::string> names { state_.settings.name };
    for (const auto &[name, heard] : heardAt_) {
        if (now - heard < NodeSilence) {
            names.push_back(name);
        }
    }
    return names;
}

void DigestExchange::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](error_code error, std::size_t size) {
                                   if (error == asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!error) {
                                       take({ buffer_.data(), size });
                                   }
                                   receive();
                               });
}

void DigestExchange::take(std::string_view datagram)
{
    const auto digest = decodeDigest(datagram);
    if (!digest.has_value() || digest->node == state_.settings.name) {
        return;
    }
    auto &newest = newest_[digest->node];
    // The time of day may have jumped back between two boots, so another boot is a newer one.
    const bool started = newest.first != digest->boot;
    if (!started && digest->sequence <= newest.second) {
        return;
    }
    newest = { digest->boot, digest->sequence };
    if (started) {
        newPeer();
    }
    heardAt_[digest->node] = std::chrono::steady_clock::now();
    freshness_.noteReceived(*digest, state_.oldConfigurationAge());
    if (state_.routes != nullptr) {
        const auto confirmed = freshness_.confirmedBy(*digest, state_.routes->version());
        if (confirmed.has_value()) {
            state_.freshness.confirm(*confirmed);
            state_.metrics.countPeerConfirmation();
        }
    }
    state_.pool.applyNamedAges(digest->desiredWeights, std::chrono::steady_clock::now());
    state_.pool.applyPeer(digest->node, digest->servers, std::chrono::steady_clock::now());
}

} // namespace jacinthroad
