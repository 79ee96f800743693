#pragma once

#include <cstdint>
#include <string>

#include "Core/ErrorKind.h"

namespace jacinthroad {

/// Whether a refused request ran.
enum class NotRun : std::uint8_t { True, False, Unknown };

/// One refusal as callers see it.
struct Refusal
{
    ErrorKind kind = ErrorKind::Internal;
    /// What was wrong; empty takes a sentence of the kind's name.
    std::string message;
    std::string remedy;
    std::string requestId;
    NotRun notRun = NotRun::Unknown;
    /// Negative takes the kind's own advice.
    std::int64_t retryAfterMs = -1;
};

/// The advice on when to come back, the kind's own where the refusal names none.
[[nodiscard]] std::int64_t retryAfterMsOf(const Refusal &refusal);

/// The refusal as JSON text.
[[nodiscard]] std::string refusalJson(const Refusal &refusal);

} // namespace jacinthroad
