#include "Load/LoadReport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>

#include <boost/histogram.hpp>

namespace jacinthroad {

namespace {

// A logarithmic histogram from 0.1 ms to 1000 s whose bins grow by about 1.2 %.
constexpr unsigned HistogramBins = 1400;
constexpr double MinLatencyMs = 0.1;
constexpr double MaxLatencyMs = 1e6;

template <typename Histogram> double quantile(const Histogram &histogram, double total, double rank)
{
    double below = 0;
    for (const auto &bin : boost::histogram::indexed(histogram)) {
        below += *bin;
        if (below >= rank * total) {
            return bin.bin().upper();
        }
    }
    return MaxLatencyMs;
}

Json::Value quantilesJson(const Quantiles &quantiles)
{
    Json::Value value;
    value["p50"] = quantiles.p50;
    value["p95"] = quantiles.p95;
    value["p99"] = quantiles.p99;
    return value;
}

Json::Value metricsJson(const PolicyMetrics &metrics)
{
    Json::Value value;
    value["requests"] = Json::UInt64(metrics.requests);
    value["completed"] = Json::UInt64(metrics.completed);
    value["refused_not_run"] = Json::UInt64(metrics.rejectedNotRun);
    value["failed"] = Json::UInt64(metrics.failed);
    value["prefix_hit_rate"] = metrics.prefixHitRate;
    value["ttft_ms"] = quantilesJson(metrics.firstToken);
    value["ttft_crest_ms"] = quantilesJson(metrics.firstTokenPeak);
    value["ttft_rated_ms"] = quantilesJson(metrics.firstTokenRated);
    value["inter_token_ms"]["p95"] = metrics.tokenGapP95Ms;
    value["inter_token_rated_ms"]["p95"] = metrics.tokenGapRatedP95Ms;
    std::uint64_t recomputed = 0;
    for (std::size_t index = 0; index < RecomputeReasonCount; ++index) {
        const auto name = recomputeReasonName(static_cast<RecomputeReason>(index));
        value["recomputed_tokens"][std::string(name)] = Json::UInt64(metrics.recomputed[index]);
        recomputed += metrics.recomputed[index];
    }
    value["recomputed_tokens_total"] = Json::UInt64(recomputed);
    value["recomputed_tokens_per_request"]
        = static_cast<double>(recomputed) / std::max<double>(1, double(metrics.completed));
    value["prompt_tokens"] = Json::UInt64(metrics.promptTokens);
    value["goodput_crest"] = metrics.goodputPeak;
    value["short_wait_behind_long_ms"]["p95"] = metrics.shortWaitP95Ms;
    value["duplicate_executions"] = Json::UInt64(metrics.duplicateExecutions);
    value["false_not_run"] = Json::UInt64(metrics.falseNotRun);
    value["broken_streams"] = Json::UInt64(metrics.brokenStreams);
    value["crossed_answers"] = Json::UInt64(metrics.crossedStreams);
    value["control_bytes_per_node_s"] = metrics.controlBytesPerNodeSecond;
    value["control_cpu_share"] = metrics.controlCpuShare;
    value["platform_calls"] = Json::UInt64(metrics.platformCalls);
    value["hedges"] = Json::UInt64(metrics.hedges);
    value["retries"] = Json::UInt64(metrics.retries);
    return value;
}

std::string cell(double value)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%18.*f",
                                     value != 0 && std::abs(value) < 10 ? 3 : 0, value);
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

Quantiles quantilesOf(const std::vector<double> &values)
{
    using boost::histogram::axis::regular;
    using boost::histogram::axis::transform::log;
    if (values.empty()) {
        return {};
    }
    auto histogram = boost::histogram::make_histogram(
        regular<double, log>(HistogramBins, MinLatencyMs, MaxLatencyMs));
    for (const double value : values) {
        histogram(std::clamp(value, MinLatencyMs * 1.01, MaxLatencyMs * 0.99));
    }
    const auto total = static_cast<double>(values.size());
    return { .p50 = quantile(histogram, total, 0.5),
             .p95 = quantile(histogram, total, 0.95),
             .p99 = quantile(histogram, total, 0.99) };
}

Json::Value reportJson(const ExperimentReport &report)
{
    Json::Value value;
    value["profile"] = report.profile;
    value["seed"] = Json::UInt64(report.seed);
    for (const auto &[name, metrics] : report.policies) {
        value["policies"][name] = metricsJson(metrics);
    }
    return value;
}

std::string reportText(const ExperimentReport &report)
{
    using Getter = std::function<double(const PolicyMetrics &)>;
    const auto number = [](auto member) {
        return [member](const PolicyMetrics &f) { return static_cast<double>(f.*member); };
    };
    const auto recomputed = [](const PolicyMetrics &f) {
        double sum = 0;
        for (const std::uint64_t tokens : f.recomputed) {
            sum += static_cast<double>(tokens);
        }
        return sum;
    };
    const std::vector<std::pair<std::string, Getter>> rows {
        { "requests", number(&PolicyMetrics::requests) },
        { "completed", number(&PolicyMetrics::completed) },
        { "refused, not run", number(&PolicyMetrics::rejectedNotRun) },
        { "failed", number(&PolicyMetrics::failed) },
        { "prefix hit rate", number(&PolicyMetrics::prefixHitRate) },
        { "first token p50, ms", [](const auto &f) { return f.firstToken.p50; } },
        { "first token p95, ms", [](const auto &f) { return f.firstToken.p95; } },
        { "first token p99, ms", [](const auto &f) { return f.firstToken.p99; } },
        { "  at the peak p99, ms", [](const auto &f) { return f.firstTokenPeak.p99; } },
        { "  at rated load p95, ms", [](const auto &f) { return f.firstTokenRated.p95; } },
        { "token gap p95, ms", number(&PolicyMetrics::tokenGapP95Ms) },
        { "  at rated load p95, ms", number(&PolicyMetrics::tokenGapRatedP95Ms) },
        { "recomputed tokens", recomputed },
        { "goodput at the peak, /s", number(&PolicyMetrics::goodputPeak) },
        { "short wait p95, ms", number(&PolicyMetrics::shortWaitP95Ms) },
        { "duplicate executions", number(&PolicyMetrics::duplicateExecutions) },
        { "false 'not run'", number(&PolicyMetrics::falseNotRun) },
        { "broken streams", number(&PolicyMetrics::brokenStreams) },
        { "crossed responses", number(&PolicyMetrics::crossedStreams) },
        { "control bytes/node/s", number(&PolicyMetrics::controlBytesPerNodeSecond) },
        { "control share of a core", number(&PolicyMetrics::controlCpuShare) },
        { "platform calls", number(&PolicyMetrics::platformCalls) },
        { "hedges", number(&PolicyMetrics::hedges) },
        { "retries", number(&PolicyMetrics::retries) },
    };
    constexpr std::size_t LabelWidth = 26;
    constexpr std::size_t CellWidth = 18;
    std::string text = "profile " + report.profile + ", seed " + std::to_string(report.seed)
        + "; times in model time\n" + std::string(LabelWidth, ' ');
    for (const auto &[name, metrics] : report.policies) {
        text += std::string(CellWidth - std::min(CellWidth, name.size()), ' ') + name;
    }
    text += "\n";
    for (const auto &[label, getter] : rows) {
        text += label + std::string(LabelWidth - std::min(LabelWidth, label.size()), ' ');
        for (const auto &[name, metrics] : report.policies) {
            text += cell(getter(metrics));
        }
        text += "\n";
    }
    return text;
}

} // namespace jacinthroad
