#pragma once

#include <cstdint>
#include <string>

namespace jacinthroad {

/// Wall-clock milliseconds since the Unix epoch. Edges pass it on; decision code never reads it.
[[nodiscard]] std::int64_t wallMilliseconds();

/// The present time as RFC 3339 text in UTC, with milliseconds.
[[nodiscard]] std::string rfc3339Now();

} // namespace jacinthroad
