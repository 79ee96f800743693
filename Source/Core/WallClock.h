#pragma once

#include <cstdint>
#include <string>

namespace jacinthroad {

/// Returns the wall-clock time in milliseconds since the Unix epoch. Routing decisions do not read
/// it; code that does I/O passes it to them.
[[nodiscard]] std::int64_t wallMilliseconds();

/// Returns the current time in RFC 3339 format in UTC, with milliseconds.
[[nodiscard]] std::string rfc3339Now();

} // namespace jacinthroad
