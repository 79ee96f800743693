#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jacinthroad {

/// Maximum length of an Idempotency-Key in bytes.
inline constexpr std::size_t MaximumKeyBytes = 255;

/// True if the text is a valid Idempotency-Key: 1 to MaximumKeyBytes of printable ASCII, no spaces.
[[nodiscard]] bool isIdempotencyKey(std::string_view text);

/// Creation time of a version 7 UUID in Unix milliseconds; nullopt for other texts.
[[nodiscard]] std::optional<std::int64_t> uuidTimestampMs(std::string_view key);

} // namespace jacinthroad
