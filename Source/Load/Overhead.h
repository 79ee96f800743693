#pragma once

#include <string>

#include "Core/Error.h"
#include "Load/LoadReport.h"

namespace jacinthroad {

/// What one way of calling costs, on the clock.
struct CallCost
{
    /// Whole answers of single calls, one after the other, in milliseconds.
    Quantiles latency;
    /// With many calls at once.
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
};

/// A node against calling the engine directly, in one run.
struct OverheadReport
{
    CallCost direct;
    CallCost throughNode;
};

/// Measures one node before one engine stand-in whose model time runs so fast that what remains
/// is the cost of the calls.
[[nodiscard]] Result<OverheadReport> measureOverhead();

/// The report for people.
[[nodiscard]] std::string overheadText(const OverheadReport &report);

} // namespace jacinthroad
