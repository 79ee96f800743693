#include "EngineClient/EngineHeaders.h"

#include <charconv>
#include <cmath>

namespace jacinthroad {

namespace {

/// Parses and removes the number before the next comma. Returns false if it is not a finite,
/// non-negative number.
bool consumeNumber(std::string_view &text, double &number)
{
    const auto end = std::min(text.find(','), text.size());
    const auto parsed = std::from_chars(text.data(), text.data() + end, number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + end || !std::isfinite(number)
        || number < 0) {
        return false;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
    return true;
}

} // namespace

std::optional<LoadReport> readLoadReport(const HttpHeaders &headers)
{
    const auto incarnation = findHeader(headers, IncarnationHeader);
    if (!incarnation.has_value()) {
        return std::nullopt;
    }
    LoadReport report;
    const auto parsed = std::from_chars(
        incarnation->data(), incarnation->data() + incarnation->size(), report.incarnation);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    report.weights = findHeader(headers, WeightsHeader).value_or("");
    std::string_view load = findHeader(headers, LoadHeader).value_or("");
    if (!consumeNumber(load, report.load.inFlight) || !consumeNumber(load, report.load.longJobs)
        || !consumeNumber(load, report.load.waitingPrefill)) {
        return std::nullopt;
    }
    return report;
}

HttpHeaders loadReportHeaders(const LoadReport &report)
{
    const auto roundedText = [](double number) { return std::to_string(std::llround(number)); };
    return { { std::string(IncarnationHeader), std::to_string(report.incarnation) },
             { std::string(WeightsHeader), report.weights },
             { std::string(LoadHeader),
               roundedText(report.load.inFlight) + "," + roundedText(report.load.longJobs) + ","
                   + roundedText(report.load.waitingPrefill) } };
}

} // namespace jacinthroad
