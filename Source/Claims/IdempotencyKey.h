#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jacinthroad {

/// Longest Idempotency-Key that is taken, in bytes.
inline constexpr std::size_t MaximumKeyBytes = 255;

/// True when the text may serve as an Idempotency-Key: printable ASCII of 1 to MaximumKeyBytes.
[[nodiscard]] bool isIdempotencyKey(std::string_view text);

/// Wall-clock milliseconds at which a UUID of version 7 was made; nothing for other texts.
[[nodiscard]] std::optional<std::int64_t> uuidTimestampMs(std::string_view key);

} // namespace jacinthroad
