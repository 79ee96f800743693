#pragma once

#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Returns the bytes that pairs of hexadecimal digits stand for.
inline std::string bytesOfHex(std::string_view digits)
{
    constexpr int HexadecimalBase = 16;
    std::string bytes;
    for (std::size_t at = 0; at + 1 < digits.size(); at += 2) {
        unsigned value = 0;
        std::from_chars(digits.data() + at, digits.data() + at + 2, value, HexadecimalBase);
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

} // namespace jacinthroad
