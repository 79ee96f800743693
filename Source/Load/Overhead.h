#pragma once

#include <string>

#include "Core/Error.h"
#include "Load/LoadReport.h"

namespace jacinthroad {

/// Latency and throughput of one call path, in clock time.
struct CallCost
{
    /// Time to the end of the response of sequential calls, in milliseconds.
    Quantiles latency;
    /// Completed calls per second with many concurrent calls.
    double requestsPerSecond = 0;
    /// Output tokens per second with many concurrent calls.
    double tokensPerSecond = 0;
};

/// Costs of direct calls to the engine and of calls through a node, measured in one run.
struct OverheadReport
{
    CallCost direct;
    CallCost throughNode;
};

/// Measures one node with one engine stand-in, whose model time runs fast enough that the cost of
/// the calls dominates. Fails with NotReady when the node does not become ready.
[[nodiscard]] Result<OverheadReport> measureOverhead();

/// Formats the report as a table.
[[nodiscard]] std::string overheadText(const OverheadReport &report);

} // namespace jacinthroad
