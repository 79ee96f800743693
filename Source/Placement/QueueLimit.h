#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// Refuses requests that would wait for too long behind others. The load that it answers: for some
/// seconds more prompt tokens arrive than the engines that are left can read, as when caches are
/// empty after new weights or servers are lost. Without a limit each engine's queue grows to
/// seconds, and all answers are late; with it those that are taken are in time and the rest hear
/// at once when to come back. Short prompts may wait longer, as they need less time afterwards; the
/// wait that any prompt may have does not fall with its length, so that long ones are not starved.
/// Pure.
class QueueLimit
{
public:
    struct Options
    {
        /// Wait that any request may have, as a share of the route's objective.
        double waitShare = 0.5;
        /// The same for the most urgent priority, which engines take first.
        double urgentWaitShare = 1;
        /// Wait and reading of the prompt that a request may have together, as such a share.
        double totalShare = 0.85;
        /// Least and most time after which a caller is asked back.
        Duration minRetryDelay = milliseconds(300);
        Duration maxRetryDelay = milliseconds(3000);
    };

    /// One request that has not run, with the best server that is left for it.
    struct Arrival
    {
        /// Expected wait behind others.
        Duration wait {};
        /// Expected time to read its own prompt.
        Duration prefillTime {};
        /// The route's objective for the first byte.
        Duration objective {};
        /// No route is more urgent.
        bool mostUrgent = false;
        /// Spreads the callers that are asked back.
        std::uint64_t seed = 0;
    };

    explicit QueueLimit(const Options &options)
        : options_(options)
    { }

    /// Nothing where the request is to be sent; otherwise how long its caller should stay away.
    [[nodiscard]] std::optional<Duration> retryDelay(const Arrival &arrival) const;

private:
    Options options_;
};

} // namespace jacinthroad
