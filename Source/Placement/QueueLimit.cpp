#include "Placement/QueueLimit.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

std::optional<Duration> QueueLimit::retryDelay(const Arrival &arrival) const
{
    const double share = arrival.mostUrgent ? options_.urgentWaitShare : options_.waitShare;
    const double objective = toMilliseconds(arrival.objective);
    const double limit = std::max(
        share * objective, options_.totalShare * objective - toMilliseconds(arrival.prefillTime));
    const double wait = toMilliseconds(arrival.wait);
    if (wait <= limit) {
        return std::nullopt;
    }
    // The queue stays at its limit at least until the requests ahead have been prefilled; retries
    // are spread over the same time again.
    constexpr double Steps = 1024;
    const double spread
        = static_cast<double>(mix64(arrival.seed, 0) % std::uint64_t(Steps)) / Steps;
    return std::clamp(fromMilliseconds(wait * (1 + spread)), options_.minRetryDelay,
                      options_.maxRetryDelay);
}

} // namespace jacinthroad
