#pragma once

#include <optional>
#include <string>

#include "Http/HttpMessage.h"
#include "Routing/ServerTable.h"

namespace jacinthroad {

/// Header in which an engine reports its incarnation, a number that changes with every start.
inline constexpr std::string_view IncarnationHeader = "x-engine-incarnation";
/// Header in which an engine reports the version of its weights.
inline constexpr std::string_view WeightsHeader = "x-engine-weights";
/// Header in which an engine reports its load as three comma-separated numbers: running sequences,
/// long sequences among them, and prompt tokens waiting for prefill.
inline constexpr std::string_view LoadHeader = "x-engine-load";

/// Parses the load report in an engine's response headers. Returns nothing if it is missing or
/// malformed.
[[nodiscard]] std::optional<LoadReport> readLoadReport(const HttpHeaders &headers);

/// Formats a load report as headers.
[[nodiscard]] HttpHeaders loadReportHeaders(const LoadReport &report);

} // namespace jacinthroad
