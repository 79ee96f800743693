#pragma once

#include "Fleet/Freshness.h"

namespace jacinthroad {

/// The present point on the clock that goes on while the VM is suspended.
[[nodiscard]] BootInstant bootNow();

} // namespace jacinthroad
