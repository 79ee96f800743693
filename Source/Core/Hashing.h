#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Hashes bytes to 64 bits with XXH3. Different seeds give independent hashes.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two 64-bit values into one hash, for rendezvous hashing and chained keys.
[[nodiscard]] std::uint64_t mix64(std::uint64_t left, std::uint64_t right);

/// Formats the number in hexadecimal without leading zeros.
[[nodiscard]] std::string hexadecimal(std::uint64_t number);

/// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits, the form in which keys are
/// stored.
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

/// Compares two strings in time that depends only on their lengths.
[[nodiscard]] bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace jacinthroad
