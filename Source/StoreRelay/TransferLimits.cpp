#include "StoreRelay/TransferLimits.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Added to the time for which the other node waits; nodes of a zone respond within milliseconds.
constexpr Duration ResponseTimeout = milliseconds(500);

/// The largest response on a link of which it gets a few Mbit/s.
constexpr Duration LongestTransfer = std::chrono::seconds(30);

} // namespace

Instant transferDeadline(const TransferLimits &limits, Instant began, Instant lastProgress)
{
    return std::min(began + limits.whole, lastProgress + limits.progress);
}

TransferLimits readLimits(Duration progress)
{
    return { .progress = progress, .whole = std::max(progress, LongestTransfer) };
}

TransferLimits relayLimits(Duration wait)
{
    return readLimits(wait + ResponseTimeout);
}

} // namespace jacinthroad
