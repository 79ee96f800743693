#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Core/Time.h"
#include "Gateway/RequestEnd.h"
#include "Placement/ServerStatements.h"

namespace prometheus {
class Registry;
class Counter;
class Histogram;
class Gauge;
template <typename T> class Family;
} // namespace prometheus

namespace jacinthroad {

/// The gateway's counters, gauges and histograms, based on prometheus-cpp. Label values come from
/// fixed sets only, never from teams or requests. Thread-safe.
class GatewayMetrics
{
public:
    GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;
    ~GatewayMetrics();

    /// Counts a request that ended with `outcome`, a value of the decision log.
    void countRequest(const std::string &outcome);
    /// Counts a request that was read completely and ended without a complete response.
    void countRequestEnd(RequestEnd end);
    /// Counts a request that was read completely and whose session ended without an end of it.
    void countRequestDropped();
    /// Number of these requests.
    [[nodiscard]] std::uint64_t requestsDropped() const;
    /// Counts a connection of a caller that was closed because of `reason`.
    void countConnectionClosed(const std::string &reason);
    /// Counts an attempt at a backend server that ended with `end`.
    void countAttempt(const std::string &end);
    /// Counts a suspension of a backend server by its cause.
    void countSuspension(std::string_view cause);
    /// Counts an attempt that was made by way of another node by how it ended.
    void countForwarded(const std::string &end);
    /// Counts a request of another node that ended with `outcome`, a value of the decision log.
    void countHelped(const std::string &outcome);
    /// Counts a request to resume a stream by whether it went on, or why not.
    void countResume(const std::string &outcome);
    /// Counts a call to the platform's store that ended with `result`.
    void countStoreCall(const std::string &result);
    /// Counts a query of another node for objects of the store by its result.
    void countRelayQuery(const std::string &result);
    /// Counts a datagram of another node that is not a digest.
    void countDigestRejected();
    /// Counts an opened connection to a backend server.
    void countConnect();
    /// Counts a confirmation by a peer that the configuration is current.
    void countPeerConfirmation();
    /// Counts datagrams of `bytes` each that were sent to `peers` peers.
    void countDigestsSent(std::size_t peers, std::size_t bytes);
    /// Counts a datagram of `bytes` from a peer.
    void countDigestReceived(std::size_t bytes);
    /// Counts a handler on an event loop of `thread` that ended with an exception.
    void countHandlerFailure(const std::string &thread);
    /// Records how late a periodic task of the traffic thread began.
    void observeTrafficDelay(Duration late);
    /// Records the time from a complete request to the first byte of its response to the caller.
    void observeFirstByte(Duration time);
    /// Sets the number of backend servers whose statements keep requests from them, by reason.
    void setWithheldServers(const std::map<WithholdReason, std::size_t> &counts);
    /// Sets the time since the configuration was last known to be current.
    void setConfigurationAge(Duration age);
    /// Sets the memory in bytes that received data takes until it is passed on, and its limit.
    void setReceivedBytes(std::size_t used, std::size_t limit);
    /// Sets the number of reads that have waited for their turn.
    void setPacedReads(std::uint64_t reads);
    /// Sets the version of the configuration in force.
    void setConfigurationVersion(double version);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> *requests_;
    prometheus::Family<prometheus::Counter> *requestsCut_;
    prometheus::Counter *requestsDropped_;
    prometheus::Family<prometheus::Counter> *connectionsClosed_;
    prometheus::Family<prometheus::Counter> *attempts_;
    prometheus::Family<prometheus::Counter> *suspensions_;
    prometheus::Family<prometheus::Counter> *forwarded_;
    prometheus::Family<prometheus::Counter> *helped_;
    prometheus::Family<prometheus::Counter> *resumes_;
    prometheus::Family<prometheus::Counter> *storeCalls_;
    prometheus::Family<prometheus::Counter> *relayQueries_;
    prometheus::Family<prometheus::Counter> *handlerFailures_;
    prometheus::Counter *digestsRejected_;
    prometheus::Counter *connects_;
    prometheus::Counter *peerConfirmations_;
    prometheus::Counter *digestsSent_;
    prometheus::Counter *digestBytesSent_;
    prometheus::Counter *digestsReceived_;
    prometheus::Counter *digestBytesReceived_;
    prometheus::Histogram *trafficDelay_;
    prometheus::Histogram *firstByte_;
    prometheus::Family<prometheus::Gauge> *withheldServers_;
    prometheus::Gauge *configurationAge_;
    prometheus::Gauge *configurationVersion_;
    prometheus::Gauge *receivedBytes_;
    prometheus::Gauge *receivedBytesLimit_;
    prometheus::Gauge *pacedReads_;
};

} // namespace jacinthroad
