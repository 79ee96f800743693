#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <json/value.h>

#include "Ledger/Ledger.h"
#include "Load/LoadClient.h"

namespace jacinthroad {

/// Quantiles of a latency in milliseconds; of model time in reports on policies.
struct Quantiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// The measurements of one policy. Times and rates are in model time.
struct PolicyMetrics
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejectedNotRun = 0;
    std::uint64_t failed = 0;
    double prefixHitRate = 0;
    Quantiles firstToken;
    /// Of requests sent in the peak.
    Quantiles firstTokenPeak;
    /// Of requests sent between the warm-up and the peak.
    Quantiles firstTokenRated;
    double tokenGapP95Ms = 0;
    /// Of requests sent between the warm-up and the peak.
    double tokenGapRatedP95Ms = 0;
    RecomputedTokens recomputed {};
    std::uint64_t promptTokens = 0;
    /// Requests per second sent in the peak that completed with their first token in time.
    double goodputPeak = 0;
    /// Time to the first token of requests with short output.
    double shortWaitP95Ms = 0;
    std::uint64_t duplicateExecutions = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t brokenStreams = 0;
    std::uint64_t crossedStreams = 0;
    double controlBytesPerNodeSecond = 0;
    double controlCpuShare = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
};

/// The measurements of one run of the load tool.
struct ExperimentReport
{
    std::string profile;
    std::uint64_t seed = 0;
    std::vector<std::pair<std::string, PolicyMetrics>> policies;
};

/// Returns the quantiles of values to within one bin of a histogram, about 1.2 %; zeros for none.
[[nodiscard]] Quantiles quantilesOf(const std::vector<double> &values);

/// Returns the report as JSON with its fixed keys.
[[nodiscard]] Json::Value reportJson(const ExperimentReport &report);

/// Formats the report as a table.
[[nodiscard]] std::string reportText(const ExperimentReport &report);

} // namespace jacinthroad
