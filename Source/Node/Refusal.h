#pragma once

#include "Core/Refusal.h"
#include "Http/HttpMessage.h"

namespace jacinthroad {

/// Converts a refusal to an HTTP response.
[[nodiscard]] HttpResponse refusalResponse(const Refusal &refusal);

} // namespace jacinthroad
