#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// Rejects requests that would wait too long in an engine's queue. It handles overloads of some
/// seconds in which more prompt tokens arrive than the remaining engines can prefill, as when
/// caches are empty after a change of weights or servers are lost. Without a limit each queue grows
/// to seconds and all responses are late; with it, accepted requests meet their objective and the
/// others get a retry delay immediately. Short prompts may wait longer because their prefill takes
/// less time. The wait that is allowed for every prompt does not decrease with its length, so that
/// long prompts are not starved. Has no side effects.
class QueueLimit
{
public:
    struct Options
    {
        /// Queue wait allowed for every request, as a share of the route's objective.
        double waitShare = 0.5;
        /// The same for the most urgent priority, which engines schedule first.
        double urgentWaitShare = 1;
        /// Queue wait and prefill allowed together, as a share of the objective.
        double totalShare = 0.85;
        /// Limits of the retry delay that is sent to a rejected caller.
        Duration minRetryDelay = milliseconds(300);
        Duration maxRetryDelay = milliseconds(3000);
    };

    /// A request that has not run yet, with the estimates for the best server available to it.
    struct Arrival
    {
        /// Expected wait in the queue.
        Duration wait {};
        /// Expected time of its own prefill.
        Duration prefillTime {};
        /// The route's objective for the time to first byte.
        Duration objective {};
        /// The request has the most urgent priority.
        bool mostUrgent = false;
        /// Spreads the retries of rejected callers over time.
        std::uint64_t seed = 0;
    };

    explicit QueueLimit(const Options &options)
        : options_(options)
    { }

    /// Returns nothing if the request is accepted, otherwise the delay after which the caller
    /// should retry.
    [[nodiscard]] std::optional<Duration> retryDelay(const Arrival &arrival) const;

private:
    Options options_;
};

} // namespace jacinthroad
