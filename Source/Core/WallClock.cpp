#include "Core/WallClock.h"

#include <array>
#include <chrono>
#include <ctime>

namespace jacinthroad {

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string rfc3339Now()
{
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    const std::int64_t now = wallMilliseconds();
    const std::time_t seconds = now / MillisecondsPerSecond;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    std::array<char, 64> text {};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    // The leading 1 keeps leading zeros and is replaced by the point: 1234 becomes ".234".
    std::string fraction = std::to_string(MillisecondsPerSecond + now % MillisecondsPerSecond);
    fraction[0] = '.';
    return std::string(text.data(), length) + fraction + "Z";
}

} // namespace jacinthroad
