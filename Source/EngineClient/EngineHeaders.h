#pragma once

#include <optional>
#include <string>

#include "Http/HttpMessage.h"
#include "Routing/ServerTable.h"

namespace jacinthroad {

/// Header in which engines tell their incarnation, a number.
inline constexpr std::string_view IncarnationHeader = "x-engine-incarnation";
/// Header in which engines tell the version of their weights.
inline constexpr std::string_view WeightsHeader = "x-engine-weights";
/// Header in which engines tell their load: sequences under way, long ones among them, and
/// prompt tokens that wait, separated by commas.
inline constexpr std::string_view LoadHeader = "x-engine-load";

/// Reads the load that an engine put on its answer; nothing when it put none or it is not
/// readable.
[[nodiscard]] std::optional<LoadReport> readLoadReport(const HttpHeaders &headers);

/// Writes a report as headers.
[[nodiscard]] HttpHeaders loadReportHeaders(const LoadReport &report);

} // namespace jacinthroad
