#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace jacinthroad {

/// A duration. Routing decisions take all times as arguments and read no clock.
using Duration = std::chrono::steady_clock::duration;
/// A time point of the monotonic clock.
using Instant = std::chrono::steady_clock::time_point;
/// A time point of the wall clock, used only in records that people or other VMs read.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;

/// Converts a duration to milliseconds with a fraction.
[[nodiscard]] inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts a duration to whole milliseconds, clamped to the range of the result; a negative
/// duration gives 0.
[[nodiscard]] inline std::uint32_t wholeMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Converts milliseconds with a fraction to a duration.
[[nodiscard]] inline Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace jacinthroad
