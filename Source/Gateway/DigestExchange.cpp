#include "Gateway/DigestExchange.h"

#include <algorithm>
#include <utility>

#include "Core/Endpoint.h"
#include "Core/Log.h"
#include "FleetPeers/DigestPacing.h"
#include "FleetPeers/NodeDigest.h"
#include "Gateway/BootClock.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Maximum number of prompt parts in one digest.
constexpr std::size_t MaxPartsPerDigest = 80;
/// Maximum number of reports of crashes in one digest.
constexpr std::size_t MaxCrashReportsPerDigest = 24;

} // namespace

DigestExchange::DigestExchange(TrafficState &state, std::int64_t boot)
    : state_(state)
    , boot_(static_cast<std::uint64_t>(boot))
    , freshness_({ .self = state.settings.name, .boot = static_cast<std::uint64_t>(boot) })
    , socket_(state.context)
    , periodicTimer_(state.context)
    , batchTimer_(state.context)
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
    scheduleDigest();
    return {};
}

void DigestExchange::applyPeers(const std::unordered_map<std::string, std::string> &addresses)
{
    state_.setNodeCount(addresses.size());
    peers_.clear();
    std::vector<std::string> names;
    names.reserve(addresses.size());
    for (const auto &[name, address] : addresses) {
        names.push_back(name);
    }
    state_.pool.setNodes(state_.settings.name, names);
    for (const auto &[name, address] : addresses) {
        const auto endpoint = parseEndpoint(address);
        if (name != state_.settings.name && endpoint.has_value()) {
            peers_.emplace_back(endpoint->address(), endpoint->port());
        }
    }
}

void DigestExchange::scheduleDigest()
{
    periodicTimer_.expires_at(std::max(
        nextDigestAt_, std::chrono::steady_clock::now() + digestPeriod(peers_.size())));
    periodicTimer_.async_wait([this](error_code error) {
        if (!error) {
            // The pause may have grown with a batch that was sent meanwhile.
            if (std::chrono::steady_clock::now() >= nextDigestAt_) {
                sendDigest();
            }
            scheduleDigest();
        }
    });
}

void DigestExchange::sendDigestSoon()
{
    if (batchPending_ || peers_.empty()) {
        return;
    }
    batchPending_ = true;
    batchTimer_.expires_at(std::max(
        nextDigestAt_, std::chrono::steady_clock::now() + digestBatchDelay(peers_.size())));
    batchTimer_.async_wait([this](error_code error) {
        batchPending_ = false;
        if (!error) {
            sendDigest();
        }
    });
}

void DigestExchange::sendDigest()
{
    const BootInstant now = bootNow();
    const Instant sentAt = std::chrono::steady_clock::now();
    const auto age = state_.freshness.age(now);
    const ConfigurationIdentity configuration
        = state_.configuration().value_or(ConfigurationIdentity());
    const NodeDigest digest {
        .node = state_.settings.name,
        .boot = boot_,
        .sequence = ++sequence_,
        .configurationVersion = configuration.version,
        .configurationHash = configuration.contentHash,
        .configurationAgeMs = age.has_value() ? wholeMilliseconds(*age) + 1 : UnknownAgeMs,
        .servers = state_.pool.takeServerUpdates(sentAt, MaxPartsPerDigest, MaxDigestBytes),
        .desiredWeights = state_.pool.desiredWeightsAges(sentAt),
        .echoes = freshness_.takeEchoes(),
        .crashes = state_.crashHistory.takeRecords(sentAt, MaxCrashReportsPerDigest)
    };
    freshness_.noteSent(digest.sequence, now);
    if (!socket_.is_open()) {
        return;
    }
    const std::string datagram = encodeDigest(digest);
    nextDigestAt_ = sentAt + digestPause(peers_.size(), datagram.size());
    for (const asio::ip::udp::endpoint &peer : peers_) {
        // A failed send is treated as a lost datagram; the next digest follows soon.
        error_code ignored;
        socket_.send_to(asio::buffer(datagram), peer, 0, ignored);
    }
    state_.metrics.setWithheldServers(state_.pool.withheldServers(sentAt));
    state_.metrics.countDigestsSent(peers_.size(), datagram.size());
    if (state_.pool.hasPendingParts()) {
        sendDigestSoon();
    }
}

std::vector<std::string> DigestExchange::liveNodes(Instant now) const
{
    const Duration timeout = nodeTimeout(peers_.size());
    std::vector<std::string> names { state_.settings.name };
    for (const auto &[name, received] : receivedAt_) {
        if (now - received < timeout) {
            names.push_back(name);
        }
    }
    return names;
}

bool DigestExchange::hearsAllPeers(Instant now) const
{
    return liveNodes(now).size() > peers_.size();
}

void DigestExchange::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](error_code error, std::size_t size) {
                                   if (error == asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!error) {
                                       state_.metrics.countDigestReceived(size);
                                       applyDatagram({ buffer_.data(), size });
                                   }
                                   receive();
                               });
}

void DigestExchange::applyDatagram(std::string_view datagram)
{
    const auto digest = decodeDigest(datagram);
    if (!digest.has_value() || digest->node == state_.settings.name) {
        return;
    }
    auto &newest = newest_[digest->node];
    // The wall clock may have jumped back between two boots, so a different boot counts as newer.
    const bool started = newest.first != digest->boot;
    if (!started && digest->sequence <= newest.second) {
        return;
    }
    newest = { digest->boot, digest->sequence };
    if (started) {
        state_.crashHistory.resendAll();
        onPeerStarted();
    }
    receivedAt_[digest->node] = std::chrono::steady_clock::now();
    state_.notePeerConfiguration(digest->configurationVersion);
    freshness_.noteReceived(*digest, state_.outdatedConfigurationAge());
    const auto &configuration = state_.configuration();
    if (configuration.has_value()) {
        const auto confirmed
            = freshness_.confirmedBy(*digest, configuration->version, configuration->contentHash);
        if (confirmed.has_value()) {
            state_.freshness.confirm(*confirmed);
            state_.metrics.countPeerConfirmation();
        }
    }
    state_.pool.applyDesiredWeightsAges(digest->desiredWeights, std::chrono::steady_clock::now());
    state_.mergeCrashes(digest->crashes, std::chrono::steady_clock::now());
    state_.pool.applyPeer(digest->node, digest->servers, std::chrono::steady_clock::now());
}

} // namespace jacinthroad
