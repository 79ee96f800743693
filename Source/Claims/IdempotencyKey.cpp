#include "Claims/IdempotencyKey.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace jacinthroad {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionOffset = 14;
constexpr int HexadecimalBase = 16;

} // namespace

bool isIdempotencyKey(std::string_view text)
{
    return !text.empty() && text.size() <= MaximumKeyBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::optional<std::int64_t> uuidTimestampMs(std::string_view key)
{
    // RFC 9562: the first 48 bits of a version 7 UUID are Unix milliseconds.
    if (key.size() != UuidLength || key[8] != '-' || key[VersionOffset] != '7') {
        return std::nullopt;
    }
    std::string digits(key.substr(0, 8));
    digits.append(key.substr(9, 4));
    std::int64_t value = 0;
    const auto parsed
        = std::from_chars(digits.data(), digits.data() + digits.size(), value, HexadecimalBase);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace jacinthroad
