#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// A limit on a figure of the `default` policy, as a value or as a ratio to a baseline.
struct Bound
{
    /// Profile to which it applies; empty for all.
    std::string profile;
    /// Path of the figure, such as `ttft_ms.p99`.
    std::string figure;
    /// Empty for the value itself, or the name of the policy to compare with, or `best-baseline`.
    std::string relativeTo;
    bool hasMaximum = false;
    double maximum = 0;
    bool hasMinimum = false;
    double minimum = 0;
};

/// Parses a bounds file: `{"bounds": [{"profile", "figure", "relative_to", "max" or "min"}]}`.
/// Fails with the parser's error for malformed JSON and with InvalidSettings for a wrong field.
[[nodiscard]] Result<std::vector<Bound>> readBounds(const std::string &text);

/// Returns one line for each bound that a report of reportJson() violates or lacks the figure of.
[[nodiscard]] std::vector<std::string> violatedBounds(const Json::Value &report,
                                                      const std::vector<Bound> &bounds);

} // namespace jacinthroad
