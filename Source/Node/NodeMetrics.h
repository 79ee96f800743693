#pragma once

#include <memory>
#include <string>

#include "Ledger/Ledger.h"
#include "Routing/Dispatcher.h"

namespace prometheus {
class Registry;
}

namespace jacinthroad {

/// Metric values that don't come from the dispatcher.
struct NodeGauges
{
    std::uint64_t configurationVersion = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t peerBytes = 0;
    std::size_t peersAlive = 0;
    std::size_t unwrittenClaims = 0;
    std::size_t receivedBytes = 0;
    std::size_t receivedBytesLimit = 0;
    bool platformUp = false;
    double controlCpuSeconds = 0;
};

/// The node's metrics, exposed with prometheus-cpp. Label values are models and fixed enumerations
/// only, never teams or requests, so that the number of series doesn't grow with the teams.
class NodeMetrics
{
public:
    NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;
    ~NodeMetrics();

    /// Updates all metrics and returns them in the Prometheus text format.
    [[nodiscard]] std::string render(const Dispatcher &dispatcher, const NodeGauges &gauges);

private:
    void set(const std::string &name, const std::string &help, double value);
    void renderLedger(const Ledger &ledger);

    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace jacinthroad
