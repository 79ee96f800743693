#pragma once

#include "Fleet/Freshness.h"

namespace jacinthroad {

/// The current time of CLOCK_BOOTTIME, which also advances while the VM is suspended.
[[nodiscard]] BootInstant bootNow();

} // namespace jacinthroad
