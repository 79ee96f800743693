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

} // namespace

GatewayMetrics::GatewayMetrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , requests_(&prometheus::BuildCounter()
                     .Name("jacinthroad_requests_total")
                     .Help("Requests by outcome")
                     .Register(*registry_))
    , attempts_(&prometheus::BuildCounter()
                     .Name("jacinthroad_attempts_total")
                     .Help("Attempts at backend servers by how they ended")
                     .Register(*registry_))
    , storeCalls_(&prometheus::BuildCounter()
                       .Name("jacinthroad_store_calls_total")
                       .Help("Calls to the platform's store by result")
                       .Register(*registry_))
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
    , firstByte_(&prometheus::BuildHistogram()
                      .Name("jacinthroad_first_byte_seconds")
                      .Help("Time from a whole request to the first byte of its answer")
                      .Register(*registry_)
                      .Add({}, FirstByteBounds))
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
{ }

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::countRequest(const std::string &outcome)
{
    requests_->Add({ { "outcome", outcome } }).Increment();
}

void GatewayMetrics::countAttempt(const std::string &end)
{
    attempts_->Add({ { "end", end } }).Increment();
}

void GatewayMetrics::countStoreCall(const std::string &result)
{
    storeCalls_->Add({ { "result", result } }).Increment();
}

void GatewayMetrics::countConnect()
{
    connects_->Increment();
}

void GatewayMetrics::countPeerConfirmation()
{
    peerConfirmations_->Increment();
}

void GatewayMetrics::observeFirstByte(Duration time)
{
    firstByte_->Observe(std::chrono::duration<double>(time).count());
}

void GatewayMetrics::setConfigurationAge(Duration age)
{
    configurationAge_->Set(std::chrono::duration<double>(age).count());
}

void GatewayMetrics::setConfigurationVersion(double version)
{
    configurationVersion_->Set(version);
}

std::string GatewayMetrics::render() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace jacinthroad
