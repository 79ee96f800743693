#pragma once

#include "Core/Time.h"

namespace jacinthroad {

/// Time for which a node keeps an idle connection to a helping node, at most. The helping node
/// keeps it longer, since whether a request that crosses its close was run isn't known.
constexpr Duration MaxForwardingIdleTime = std::chrono::seconds(4);

} // namespace jacinthroad
