#pragma once

#include <cstdint>
#include <functional>

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

/// How far the response to a call has arrived.
struct TransferProgress
{
    /// Bytes of the body that arrived, and of how many; 0 until the size is known.
    std::uint64_t bytes = 0;
    std::uint64_t ofBytes = 0;
    /// Called once the size is known.
    std::function<void()> onSizeKnown = [] {};
};

/// Returns the moment at which a call that began at `began` and last made progress at
/// `lastProgress` is given up.
[[nodiscard]] Instant transferDeadline(const TransferLimits &limits, Instant began,
                                       Instant lastProgress);

/// Limits of a read whose response may be large, if it may take `progress` until a byte arrives.
[[nodiscard]] TransferLimits readLimits(Duration progress);

/// Limits of a query to another node that waits up to `wait` for a change.
[[nodiscard]] TransferLimits relayLimits(Duration wait);

} // namespace jacinthroad
