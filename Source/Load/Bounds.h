#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// One bound on a report: a figure of the `default` policy, alone or as a ratio to a baseline.
struct Bound
{
    /// Profile that it applies to; empty for all.
    std::string profile;
    /// Path of the figure, such as `ttft_ms.p99`.
    std::string figure;
    /// Empty for the plain value, a policy's name, or `best-baseline`.
    std::string relativeTo;
    bool hasMaximum = false;
    double maximum = 0;
    bool hasMinimum = false;
    double minimum = 0;
};

/// Reads a bounds file: `{"bounds": [{"profile", "figure", "relative_to", "max" or "min"}]}`.
[[nodiscard]] Result<std::vector<Bound>> readBounds(const std::string &text);

/// One line for each bound that the report of reportJson() leaves.
[[nodiscard]] std::vector<std::string> violatedBounds(const Json::Value &report,
                                                      const std::vector<Bound> &bounds);

} // namespace jacinthroad
