#pragma once

#include <cstdint>
#include <string>

#include "Core/ErrorKind.h"

namespace jacinthroad {

/// Whether a rejected request was not run.
enum class NotRun : std::uint8_t { True, False, Unknown };

/// An error response to a caller.
struct Refusal
{
    ErrorKind kind = ErrorKind::Internal;
    /// The problem; if empty, the name of the kind is used.
    std::string message;
    /// What to do about it; if empty, the default remedy of the kind is used.
    std::string remedy;
    std::string requestId;
    NotRun notRun = NotRun::Unknown;
    /// Retry delay in milliseconds; if negative, the default of the kind is used.
    std::int64_t retryAfterMs = -1;
};

/// Returns the retry delay in milliseconds, or the default of the kind if none is set.
[[nodiscard]] std::int64_t retryAfterMsOf(const Refusal &refusal);

/// Serializes the refusal as JSON.
[[nodiscard]] std::string refusalJson(const Refusal &refusal);

} // namespace jacinthroad
