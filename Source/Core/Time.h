#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace jacinthroad {

/// A span of time. Decision code takes all times as arguments and reads no clock.
using Duration = std::chrono::steady_clock::duration;
/// A point on the monotonic clock.
using Instant = std::chrono::steady_clock::time_point;
/// A point on the wall clock, used only in records that people or other VMs read.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;

/// Converts a duration to milliseconds, keeping the fraction.
[[nodiscard]] inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// A duration in whole milliseconds, 0 where it is negative.
[[nodiscard]] inline std::uint32_t wholeMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Converts milliseconds, which may have a fraction, to a duration.
[[nodiscard]] inline Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

} // namespace jacinthroad
