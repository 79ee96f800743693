#pragma once

#include <memory>
#include <string>

#include "Core/Time.h"

namespace prometheus {
class Registry;
class Counter;
class Histogram;
class Gauge;
template <typename T> class Family;
} // namespace prometheus

namespace jacinthroad {

/// The gateway's counters and histograms over prometheus-cpp. Labels come from closed lists only,
/// never teams or requests. Safe from any thread.
class GatewayMetrics
{
public:
    GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;
    ~GatewayMetrics();

    /// A request ended with `outcome`, a word of the decision log.
    void countRequest(const std::string &outcome);
    /// An attempt at a backend server ended.
    void countAttempt(const std::string &end);
    /// A call to the platform's store ended.
    void countStoreCall(const std::string &result);
    /// A connection to a backend server was opened.
    void countConnect();
    /// A peer proved that the configuration is current.
    void countPeerConfirmation();
    /// The first byte of an answer left for the caller this long after its request was whole.
    void observeFirstByte(Duration time);
    /// Sets the age of the configuration.
    void setConfigurationAge(Duration age);
    /// Sets the version of the configuration in force.
    void setConfigurationVersion(double version);

    /// The page of metrics as text.
    [[nodiscard]] std::string render() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter> *requests_;
    prometheus::Family<prometheus::Counter> *attempts_;
    prometheus::Family<prometheus::Counter> *storeCalls_;
    prometheus::Counter *connects_;
    prometheus::Counter *peerConfirmations_;
    prometheus::Histogram *firstByte_;
    prometheus::Gauge *configurationAge_;
    prometheus::Gauge *configurationVersion_;
};

} // namespace jacinthroad
