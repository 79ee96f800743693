#pragma once

#include "Core/Refusal.h"
#include "Http/HttpMessage.h"

namespace jacinthroad {

/// The refusal as an HTTP answer.
[[nodiscard]] HttpResponse refusalResponse(const Refusal &refusal);

} // namespace jacinthroad
