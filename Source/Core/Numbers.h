#pragma once

#include <cmath>
#include <concepts>
#include <limits>
#include <optional>

namespace jacinthroad {

/// Converts a number to an integer of type `T`. Returns nothing if the number has a fraction, is
/// not finite or is outside `minimum` to `maximum`; a plain cast of such a number is undefined.
template <std::integral T>
[[nodiscard]] std::optional<T> wholeNumber(double number, T minimum = std::numeric_limits<T>::min(),
                                           T maximum = std::numeric_limits<T>::max())
{
    // Powers of two, unlike the largest value of a 64-bit type, are exact.
    const double end = std::ldexp(1.0, std::numeric_limits<T>::digits);
    const double begin = std::signed_integral<T> ? -end : 0;
    if (!(number >= begin && number < end) || std::trunc(number) != number) {
        return std::nullopt;
    }
    const T whole = static_cast<T>(number);
    return whole >= minimum && whole <= maximum ? std::optional<T>(whole) : std::nullopt;
}

} // namespace jacinthroad
