#include "StoreRelay/TransferLimits.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Added to the time for which the other node waits; nodes of a zone respond within milliseconds.
constexpr Duration ResponseTimeout = milliseconds(500);

} // namespace

Instant transferDeadline(const TransferLimits &limits, Instant began, Instant lastProgress)
{
    return std::min(began + limits.whole, lastProgress + limits.progress);
}

TransferLimits relayLimits(Duration wait)
{
    return { .progress = wait + ResponseTimeout, .whole = wait + ResponseTimeout };
}

} // namespace jacinthroad
