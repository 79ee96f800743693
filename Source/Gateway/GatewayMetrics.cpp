#include "Gateway/GatewayMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jacinthroad {

namespace {

/// Upper bucket bounds in seconds, spread around the latency objectives of interactive traffic.
const prometheus::Histogram::BucketBoundaries FirstByteBounds { 0.02, 0.05, 0.1, 0.2, 0.3, 0.4,
                                                                0.5,  0.75, 1,   2,   5 };

/// Upper bucket bounds in seconds, from the delay of a busy thread to that of a suspended VM.
const prometheus::Histogram::BucketBoundaries TrafficDelayBounds { 0.005, 0.02, 0.05, 0.1,
                                                                   0.25,  0.5,  1,    2 };

} // namespace

GatewayMetrics::GatewayMetrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , requests_(&prometheus::BuildCounter()
                     .Name("jacinthroad_requests_total")
                     .Help("Requests by outcome")
                     .Register(*registry_))
    , requestsCut_(&prometheus::BuildCounter()
                        .Name("jacinthroad_requests_cut_total")
                        .Help("Requests without a complete response by what ended them")
                        .Register(*registry_))
    , requestsDropped_(&prometheus::BuildCounter()
                            .Name("jacinthroad_requests_dropped_total")
                            .Help("Requests that were read and ended for no known reason")
                            .Register(*registry_)
                            .Add({}))
    , connectionsClosed_(&prometheus::BuildCounter()
                              .Name("jacinthroad_caller_connections_closed_total")
                              .Help("Connections of callers that were closed by reason")
                              .Register(*registry_))
    , attempts_(&prometheus::BuildCounter()
                     .Name("jacinthroad_attempts_total")
                     .Help("Attempts at backend servers by how they ended")
                     .Register(*registry_))
    , suspensions_(&prometheus::BuildCounter()
                        .Name("jacinthroad_server_suspensions_total")
                        .Help("Suspensions of backend servers by cause")
                        .Register(*registry_))
    , forwarded_(&prometheus::BuildCounter()
                      .Name("jacinthroad_forwarded_requests_total")
                      .Help("Attempts that were made by way of other nodes by how they ended")
                      .Register(*registry_))
    , helped_(&prometheus::BuildCounter()
                   .Name("jacinthroad_helped_requests_total")
                   .Help("Requests that other nodes have forwarded by outcome")
                   .Register(*registry_))
    , resumes_(&prometheus::BuildCounter()
                    .Name("jacinthroad_resumes_total")
                    .Help("Requests to resume a stream by outcome")
                    .Register(*registry_))
    , storeCalls_(&prometheus::BuildCounter()
                       .Name("jacinthroad_store_calls_total")
                       .Help("Calls to the platform's store by result")
                       .Register(*registry_))
    , relayQueries_(&prometheus::BuildCounter()
                         .Name("jacinthroad_relay_queries_total")
                         .Help("Queries of other nodes for objects of the store by result")
                         .Register(*registry_))
    , handlerFailures_(&prometheus::BuildCounter()
                            .Name("jacinthroad_handlers_failed_total")
                            .Help("Handlers that ended with an exception by thread")
                            .Register(*registry_))
    , digestsRejected_(&prometheus::BuildCounter()
                            .Name("jacinthroad_digests_rejected_total")
                            .Help("Datagrams of peers that are malformed or of another format")
                            .Register(*registry_)
                            .Add({}))
    , connects_(&prometheus::BuildCounter()
                     .Name("jacinthroad_server_connects_total")
                     .Help("Connections opened to backend servers")
                     .Register(*registry_)
                     .Add({}))
    , peerConfirmations_(&prometheus::BuildCounter()
                              .Name("jacinthroad_peer_confirmations_total")
                              .Help("Times at which a peer proved the configuration to be current")
                              .Register(*registry_)
                              .Add({}))
    , digestsSent_(&prometheus::BuildCounter()
                        .Name("jacinthroad_digests_sent_total")
                        .Help("Datagrams sent to peers")
                        .Register(*registry_)
                        .Add({}))
    , digestBytesSent_(&prometheus::BuildCounter()
                            .Name("jacinthroad_digest_bytes_sent_total")
                            .Help("Bytes of the datagrams sent to peers")
                            .Register(*registry_)
                            .Add({}))
    , digestsReceived_(&prometheus::BuildCounter()
                            .Name("jacinthroad_digests_received_total")
                            .Help("Datagrams received from peers")
                            .Register(*registry_)
                            .Add({}))
    , digestBytesReceived_(&prometheus::BuildCounter()
                                .Name("jacinthroad_digest_bytes_received_total")
                                .Help("Bytes of the datagrams received from peers")
                                .Register(*registry_)
                                .Add({}))
    , trafficDelay_(&prometheus::BuildHistogram()
                         .Name("jacinthroad_traffic_delay_seconds")
                         .Help("Time by which a periodic task of the traffic thread was late")
                         .Register(*registry_)
                         .Add({}, TrafficDelayBounds))
    , firstByte_(&prometheus::BuildHistogram()
                      .Name("jacinthroad_first_byte_seconds")
                      .Help("Time from a whole request to the first byte of its answer")
                      .Register(*registry_)
                      .Add({}, FirstByteBounds))
    , withheldServers_(&prometheus::BuildGauge()
                            .Name("jacinthroad_withheld_servers")
                            .Help("Backend servers whose statements keep requests from them")
                            .Register(*registry_))
    , configurationAge_(&prometheus::BuildGauge()
                             .Name("jacinthroad_configuration_age_seconds")
                             .Help("Time since the configuration was last known to be current")
                             .Register(*registry_)
                             .Add({}))
    , configurationVersion_(&prometheus::BuildGauge()
                                 .Name("jacinthroad_configuration_version")
                                 .Help("Version of the configuration in force")
                                 .Register(*registry_)
                                 .Add({}))
    , receivedBytes_(&prometheus::BuildGauge()
                          .Name("jacinthroad_received_bytes")
                          .Help("Memory of the data that was received and not yet passed on")
                          .Register(*registry_)
                          .Add({}))
    , receivedBytesLimit_(&prometheus::BuildGauge()
                               .Name("jacinthroad_received_bytes_limit")
                               .Help("Memory that received data may take")
                               .Register(*registry_)
                               .Add({}))
    , pacedReads_(
          &prometheus::BuildGauge()
               .Name("jacinthroad_paced_reads")
               .Help("Reads of responses that have waited behind other work since the start")
               .Register(*registry_)
               .Add({}))
{ }

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::countRequest(const std::string &outcome)
{
    requests_->Add({ { "outcome", outcome } }).Increment();
}

void GatewayMetrics::countRequestEnd(RequestEnd end)
{
    if (end != RequestEnd::Responded) {
        requestsCut_->Add({ { "ended_by", std::string(endedByName(end)) } }).Increment();
    }
}

void GatewayMetrics::countRequestDropped()
{
    requestsDropped_->Increment();
}

std::uint64_t GatewayMetrics::requestsDropped() const
{
    return static_cast<std::uint64_t>(requestsDropped_->Value());
}

void GatewayMetrics::countConnectionClosed(const std::string &reason)
{
    connectionsClosed_->Add({ { "reason", reason } }).Increment();
}

void GatewayMetrics::countAttempt(const std::string &end)
{
    attempts_->Add({ { "end", end } }).Increment();
}

void GatewayMetrics::countSuspension(std::string_view cause)
{
    suspensions_->Add({ { "cause", std::string(cause) } }).Increment();
}

void GatewayMetrics::countForwarded(const std::string &end)
{
    forwarded_->Add({ { "end", end } }).Increment();
}

void GatewayMetrics::countHelped(const std::string &outcome)
{
    helped_->Add({ { "outcome", outcome } }).Increment();
}

void GatewayMetrics::countResume(const std::string &outcome)
{
    resumes_->Add({ { "outcome", outcome } }).Increment();
}

void GatewayMetrics::countStoreCall(const std::string &result)
{
    storeCalls_->Add({ { "result", result } }).Increment();
}

void GatewayMetrics::countRelayQuery(const std::string &result)
{
    relayQueries_->Add({ { "result", result } }).Increment();
}

void GatewayMetrics::countDigestRejected()
{
    digestsRejected_->Increment();
}

void GatewayMetrics::countConnect()
{
    connects_->Increment();
}

void GatewayMetrics::countPeerConfirmation()
{
    peerConfirmations_->Increment();
}

void GatewayMetrics::countDigestsSent(std::size_t peers, std::size_t bytes)
{
    digestsSent_->Increment(static_cast<double>(peers));
    digestBytesSent_->Increment(static_cast<double>(peers * bytes));
}

void GatewayMetrics::countDigestReceived(std::size_t bytes)
{
    digestsReceived_->Increment();
    digestBytesReceived_->Increment(static_cast<double>(bytes));
}

void GatewayMetrics::countHandlerFailure(const std::string &thread)
{
    handlerFailures_->Add({ { "thread", thread } }).Increment();
}

void GatewayMetrics::observeTrafficDelay(Duration late)
{
    trafficDelay_->Observe(std::chrono::duration<double>(late).count());
}

void GatewayMetrics::observeFirstByte(Duration time)
{
    firstByte_->Observe(std::chrono::duration<double>(time).count());
}

void GatewayMetrics::setWithheldServers(const std::map<WithholdReason, std::size_t> &counts)
{
    for (const WithholdReason reason : { WithholdReason::Leaving, WithholdReason::Pause,
                                         WithholdReason::Limit, WithholdReason::Rejections }) {
        const auto count = counts.find(reason);
        withheldServers_->Add({ { "reason", withholdReasonName(reason) } })
            .Set(count != counts.end() ? static_cast<double>(count->second) : 0);
    }
}

void GatewayMetrics::setConfigurationAge(Duration age)
{
    configurationAge_->Set(std::chrono::duration<double>(age).count());
}

void GatewayMetrics::setConfigurationVersion(double version)
{
    configurationVersion_->Set(version);
}

void GatewayMetrics::setReceivedBytes(std::size_t used, std::size_t limit)
{
    receivedBytes_->Set(static_cast<double>(used));
    receivedBytesLimit_->Set(static_cast<double>(limit));
}

void GatewayMetrics::setPacedReads(std::uint64_t reads)
{
    pacedReads_->Set(static_cast<double>(reads));
}

std::string GatewayMetrics::render() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace jacinthroad
