#pragma once

#include "Core/Time.h"

namespace jacinthroad {

/// How long a call may take.
struct TransferLimits
{
    /// Longest time without progress: to the connection, the first byte and each further one.
    Duration progress {};
    /// Longest time for the whole call.
    Duration whole {};
};

/// Returns the moment at which a call that began at `began` and last made progress at
/// `lastProgress` is given up.
[[nodiscard]] Instant transferDeadline(const TransferLimits &limits, Instant began,
                                       Instant lastProgress);

/// Limits of a query to another node that waits up to `wait` for a change.
[[nodiscard]] TransferLimits relayLimits(Duration wait);

} // namespace jacinthroad
