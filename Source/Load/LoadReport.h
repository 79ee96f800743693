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

/// Values of a latency at some ranks, in milliseconds of model time.
struct Quantiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// The figures of one policy.
struct PolicyFigures
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejectedNotRun = 0;
    std::uint64_t failed = 0;
    double prefixHitRate = 0;
    Quantiles firstToken;
    /// Of requests sent in the crest.
    Quantiles firstTokenPeak;
    /// Of requests sent outside the crest.
    Quantiles firstTokenRated;
    double tokenGapP95Ms = 0;
    /// Of requests sent outside the crest.
    double tokenGapRatedP95Ms = 0;
    RecomputedTokens recomputed {};
    std::uint64_t promptTokens = 0;
    /// Requests of the crest answered whole with their first token in time, a second.
    double goodputPeak = 0;
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

/// The figures of one run of the load tool.
struct ExperimentReport
{
    std::string profile;
    std::uint64_t seed = 0;
    std::vector<std::pair<std::string, PolicyFigures>> policies;
};

/// Exact quantiles of values; zeros for none.
[[nodiscard]] Quantiles quantilesOf(const std::vector<double> &values);

/// The report as JSON with its fixed keys.
[[nodiscard]] Json::Value reportJson(const ExperimentReport &report);

/// The report as a table for people.
[[nodiscard]] std::string reportText(const ExperimentReport &report);

} // namespace jacinthroad
