#pragma once

#include <cstddef>
#include <cstdint>

namespace jacinthroad {

/// How long a job is expected to occupy a slot of an engine.
enum class LengthClass : std::uint8_t { Short, Normal, Long };

/// Number of length classes.
inline constexpr std::size_t LengthClassCount = 3;

/// Largest number of output tokens of a short job.
inline constexpr std::uint32_t ShortOutputTokens = 48;
/// Smallest number of output tokens of a long job.
inline constexpr std::uint32_t LongOutputTokens = 256;

/// Returns the class of a job with `outputTokens` output tokens.
[[nodiscard]] LengthClass lengthClassOf(std::uint32_t outputTokens);

} // namespace jacinthroad
