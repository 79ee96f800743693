#include "Gateway/DigestExchange.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Core/Endpoint.h"
#include "Core/Log.h"
#include "FleetPeers/DigestPacing.h"
#include "FleetPeers/FleetRoles.h"
#include "FleetPeers/NodeDigest.h"
#include "Gateway/BootClock.h"
#include "Gateway/EventLoop.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Maximum number of prompt parts in one digest.
constexpr std::size_t MaxPartsPerDigest = 80;
/// Nodes and summaries that are kept: datagrams may claim any name.
constexpr std::size_t MaxSenders = 2048;
constexpr std::size_t MaxNameBytes = 255;
/// Maximum number of reports of crashes in one digest.
constexpr std::size_t MaxCrashReportsPerDigest = 24;
/// Number of nodes of a large fleet that resend the crash records to a node that has started.
constexpr std::size_t NodesThatInform = 2;

std::vector<asio::ip::udp::endpoint> endpointsOf(std::span<const FleetNode> nodes)
{
    std::vector<asio::ip::udp::endpoint> endpoints;
    for (const FleetNode &node : nodes) {
        const auto endpoint = parseEndpoint(node.address);
        if (endpoint.has_value()) {
            endpoints.emplace_back(endpoint->address(), endpoint->port());
        }
    }
    return endpoints;
}

} // namespace

DigestExchange::DigestExchange(TrafficState &state, std::int64_t boot)
    : state_(state)
    , boot_(static_cast<std::uint64_t>(boot))
    , freshness_({ .self = state.settings.name, .boot = static_cast<std::uint64_t>(boot) })
    , socket_(state.context)
    , periodicTimer_(state.context)
    , batchTimer_(state.context)
    , summaryTimer_(state.context)
    , lostServices_(state.bodyMemory)
{ }

error_code DigestExchange::open(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.has_value()) {
        return asio::error::invalid_argument;
    }
    const asio::ip::udp::endpoint own(endpoint->address(), endpoint->port());
    error_code error;
    socket_.open(own.protocol(), error);
    if (!error) {
        socket_.bind(own, error);
    }
    if (!error) {
        // A datagram is dropped if the send buffer is full; waiting for room would hold up all
        // requests.
        socket_.non_blocking(true, error);
    }
    if (error) {
        error_code ignored;
        socket_.close(ignored);
        return error;
    }
    receive();
    scheduleDigest();
    scheduleSummary();
    return {};
}

void DigestExchange::applyNodes(std::span<const FleetNode> nodes)
{
    state_.setNodeCount(nodes.size());
    std::vector<std::string> names;
    names.reserve(nodes.size());
    for (const FleetNode &node : nodes) {
        names.push_back(node.name);
    }
    state_.pool.setNodes(state_.settings.name, names);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(names.size());
    for (const std::string &name : names) {
        hashes.push_back(hash64(name));
    }
    state_.crashHistory.setNodes(hash64(state_.settings.name), std::move(hashes));
    topology_ = FleetTopology(state_.settings.name, state_.settings.zone, nodes);
    peers_ = endpointsOf(topology_.neighbours());
    lostServices_.setPeers(topology_.neighbours());
    std::vector<std::string> reporting;
    for (const FleetNode &node : topology_.neighbours()) {
        reporting.push_back(node.name);
    }
    for (const FleetNode &node : topology_.remote()) {
        reporting.push_back(zonePeerName(node.zone));
    }
    state_.pool.setReportingPeers(reporting);
}

void DigestExchange::scheduleDigest()
{
    periodicTimer_.expires_at(
        std::max(nextDigestAt_, std::chrono::steady_clock::now() + digestPeriod(peers_.size())));
    periodicTimer_.async_wait([this](error_code error) {
        if (!error) {
            runThen(
                [this] {
                    // The pause may have grown with a batch that was sent meanwhile.
                    if (std::chrono::steady_clock::now() >= nextDigestAt_) {
                        sendDigest();
                    }
                },
                [this] { scheduleDigest(); });
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

NodeDigest DigestExchange::emptyDigest(BootInstant now)
{
    const auto age = state_.freshness.age(now);
    const std::set<ServiceId> lost = state_.links.lostServices(std::chrono::steady_clock::now());
    const ConfigurationIdentity configuration
        = state_.configuration().value_or(ConfigurationIdentity());
    return { .node = state_.settings.name,
             .boot = boot_,
             .sequence = ++sequence_,
             .configurationVersion = configuration.version,
             .configurationHash = configuration.contentHash,
             .configurationAgeMs = age.has_value() ? wholeMilliseconds(*age) + 1 : UnknownAgeMs,
             .servers = {},
             .desiredWeights = state_.pool.desiredWeightsAges(std::chrono::steady_clock::now()),
             .linksLost = state_.links.lost(std::chrono::steady_clock::now()),
             .lostServices = { lost.begin(), lost.end() } };
}

void DigestExchange::scheduleSummary()
{
    summaryTimer_.expires_after(summaryPeriod(summarizedTo_));
    summaryTimer_.async_wait([this](error_code error) {
        if (!error) {
            runThen([this] { sendSummary(); }, [this] { scheduleSummary(); });
        }
    });
}

void DigestExchange::sendSummary()
{
    const Instant sentAt = std::chrono::steady_clock::now();
    const std::vector<asio::ip::udp::endpoint> receivers
        = endpointsOf(topology_.summaryReceivers(liveNodes(sentAt)));
    summarizedTo_ = receivers.size();
    if (receivers.empty() || !socket_.is_open()) {
        return;
    }
    NodeDigest summary = emptyDigest(bootNow());
    summary.servers = state_.pool.takeZoneSummary(sentAt, MaxDigestBytes);
    summary.crashes = state_.crashHistory.takeSummaryRecords(sentAt, MaxCrashReportsPerDigest);
    summary.summarizedZone = state_.settings.zone;
    const std::string datagram = encodeDigest(summary);
    for (const asio::ip::udp::endpoint &receiver : receivers) {
        error_code ignored;
        socket_.send_to(asio::buffer(datagram), receiver, 0, ignored);
    }
    state_.metrics.countDigestsSent(receivers.size(), datagram.size());
}

void DigestExchange::sendDigest()
{
    if (!socket_.is_open()) {
        return;
    }
    const BootInstant now = bootNow();
    const Instant sentAt = std::chrono::steady_clock::now();
    NodeDigest digest = emptyDigest(now);
    digest.servers = state_.pool.takeServerUpdates(sentAt, MaxPartsPerDigest, MaxDigestBytes);
    digest.echoes = freshness_.takeEchoes();
    digest.crashes = state_.crashHistory.takeRecords(sentAt, MaxCrashReportsPerDigest);
    freshness_.noteSent(digest.sequence, now);
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
    for (const auto &[name, peer] : heard_) {
        if (now - peer.receivedAt < timeout) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<ForwardPeer> DigestExchange::forwardPeers(Instant now) const
{
    std::vector<ForwardPeer> peers;
    for (const FleetNode &node : peersWithLinks(now)) {
        if (!node.forwardingAddress.empty()) {
            peers.push_back(
                { .name = node.name, .zone = node.zone, .address = node.forwardingAddress });
        }
    }
    for (const FleetNode &node : topology_.remote()) {
        if (!node.forwardingAddress.empty()) {
            peers.push_back({ .name = node.name,
                              .zone = node.zone,
                              .address = node.forwardingAddress,
                              .reportsLinks = false });
        }
    }
    return peers;
}

bool DigestExchange::hearsAllPeers(Instant now) const
{
    return liveNodes(now).size() > peers_.size();
}

std::vector<FleetNode> DigestExchange::peersWithLinks(Instant now) const
{
    const Duration timeout = nodeTimeout(peers_.size());
    std::vector<FleetNode> nodes;
    for (const FleetNode &node : topology_.neighbours()) {
        const auto found = heard_.find(node.name);
        if (found != heard_.end() && now - found->second.receivedAt < timeout
            && !found->second.linksLost) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::vector<FleetNode> DigestExchange::peersWithLinks(const ServiceId &service, Instant now) const
{
    std::vector<FleetNode> nodes = peersWithLinks(now);
    std::erase_if(
        nodes, [&](const FleetNode &node) { return lostServices_.contains(node.name, service); });
    return nodes;
}

void DigestExchange::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](error_code error, std::size_t size) {
                                   if (error == asio::error::operation_aborted) {
                                       return;
                                   }
                                   runThen(
                                       [&] {
                                           if (!error) {
                                               state_.metrics.countDigestReceived(size);
                                               applyDatagram({ buffer_.data(), size });
                                           }
                                       },
                                       [this] { receive(); });
                               });
}

void DigestExchange::applyDatagram(std::string_view datagram)
{
    const auto digest = decodeDigest(datagram);
    if (!digest.has_value()) {
        state_.metrics.countDigestRejected();
        return;
    }
    if (digest->node == state_.settings.name) {
        return;
    }
    const bool summary = !digest->summarizedZone.empty();
    const std::string sender = summary ? digest->node + "/summary" : digest->node;
    if (digest->node.size() > MaxNameBytes
        || (newest_.size() >= MaxSenders && !newest_.contains(sender))) {
        state_.metrics.countDigestRejected();
        return;
    }
    auto &newest = newest_[sender];
    // The wall clock may have jumped back between two boots, so a different boot counts as newer.
    const bool started = newest.first != digest->boot;
    if (!started && digest->sequence <= newest.second) {
        return;
    }
    newest = { digest->boot, digest->sequence };
    if (summary) {
        applySummary(*digest);
        return;
    }
    if (started) {
        informStartedPeer();
        onPeerStarted();
    }
    PeerState &peer = heard_[digest->node];
    const bool kept = lostServices_.note(digest->node, digest->lostServices);
    if (!kept && !peer.linksLost) {
        logLine(LogLevel::Warning, "lost_services_refused",
                { { "node", digest->node },
                  { "services", static_cast<std::int64_t>(digest->lostServices.size()) },
                  { "max_bytes", static_cast<std::int64_t>(LostServices::MaxPeerBytes) },
                  { "remedy", "Check the node; no requests are forwarded to it meanwhile." } });
    }
    // A peer that has lost more services than are kept is taken for one without links.
    peer = { .receivedAt = std::chrono::steady_clock::now(),
             .linksLost = digest->linksLost || !kept };
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
    state_.mergeDesiredWeights(digest->desiredWeights, digest->node,
                               std::chrono::steady_clock::now());
    state_.mergeCrashes(digest->crashes, std::chrono::steady_clock::now());
    state_.pool.applyPeer(digest->node, digest->servers, std::chrono::steady_clock::now(),
                          digest->linksLost ? PeerScope::NodeWithoutLinks : PeerScope::Node,
                          digest->lostServices);
}

void DigestExchange::applySummary(const NodeDigest &summary)
{
    if (summary.summarizedZone == state_.settings.zone) {
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    state_.notePeerConfiguration(summary.configurationVersion);
    state_.mergeDesiredWeights(summary.desiredWeights, summary.summarizedZone, now);
    state_.mergeCrashes(summary.crashes, now);
    state_.pool.applyPeer(zonePeerName(summary.summarizedZone), summary.servers, now,
                          PeerScope::Zone);
}

void DigestExchange::informStartedPeer()
{
    const std::vector<std::string> live = liveNodes(std::chrono::steady_clock::now());
    if (!topology_.zoned() || isFleetDelegate(state_.settings.name, live, NodesThatInform)) {
        state_.crashHistory.resendAll();
    }
}

} // namespace jacinthroad
