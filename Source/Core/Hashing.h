#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Hashes bytes to 64 bits with xxHash; the seed separates uses.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two 64-bit values into one, for rendezvous scores and chained keys.
[[nodiscard]] std::uint64_t mix64(std::uint64_t left, std::uint64_t right);

/// The number as hexadecimal text without leading zeros.
[[nodiscard]] std::string hexadecimal(std::uint64_t number);

/// The SHA-256 of the bytes as 64 lower-case hexadecimal digits. Keys are stored in this form.
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

/// Compares two texts in a time that depends on their lengths only.
[[nodiscard]] bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace jacinthroad
