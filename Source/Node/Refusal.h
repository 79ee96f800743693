#pragma once

#include <cstdint>
#include <string>

#include "Core/Error.h"
#include "Http/HttpMessage.h"
#include "Routing/DispatchRecord.h"

namespace jacinthroad {

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

/// The refusal as JSON text.
[[nodiscard]] std::string refusalJson(const Refusal &refusal);

/// The refusal as an HTTP answer.
[[nodiscard]] HttpResponse refusalResponse(const Refusal &refusal);

} // namespace jacinthroad
