#pragma once

#include <cstddef>
#include <cstdint>

namespace jacinthroad {

/// How long a job is expected to occupy a slot of an engine.
enum class LengthClass : std::uint8_t { Short, Normal, Long };

/// Number of length classes.
inline constexpr std::size_t LengthClassCount = 3;

/// Output tokens up to which a job is short.
inline constexpr std::uint32_t ShortOutputTokens = 48;
/// Output tokens from which on a job is long.
inline constexpr std::uint32_t LongOutputTokens = 256;

/// The class of a job with so many output tokens.
[[nodiscard]] LengthClass lengthClassOf(std::uint32_t outputTokens);

} // namespace jacinthroad
