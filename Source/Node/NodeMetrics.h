#pragma once

#include <memory>
#include <string>

#include "Ledger/Ledger.h"
#include "Routing/Dispatcher.h"

namespace prometheus {
class Registry;
}

namespace jacinthroad {

/// Values that metrics show beside the dispatcher's own.
struct NodeGauges
{
    std::uint64_t configurationVersion = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t peerBytes = 0;
    std::size_t peersAlive = 0;
    std::size_t unwrittenClaims = 0;
    bool platformUp = false;
    double controlCpuSeconds = 0;
};

/// The node's metrics over prometheus-cpp. Labels are models and closed lists only, never teams
/// or requests, so the number of series stays small at any number of teams.
class NodeMetrics
{
public:
    NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;
    ~NodeMetrics();

    /// Takes the present values and returns the page of metrics as text.
    [[nodiscard]] std::string render(const Dispatcher &dispatcher, const NodeGauges &gauges);

private:
    void set(const std::string &name, const std::string &help, double value);
    void renderLedger(const Ledger &ledger);

    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace jacinthroad
