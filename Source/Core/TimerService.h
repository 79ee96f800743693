#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// Timers that parts subscribe to. The service reads no clock and owns no thread: its driver
/// asks nextDue() how long to wait and calls fire() with the time, so a test drives it with
/// times of its own. Not thread-safe; it belongs to the control thread.
class TimerService
{
public:
    /// Names one subscription; 0 is never used.
    using Subscription = std::uint64_t;
    /// Called with the time that fire() was given.
    using Callback = std::function<void(Instant)>;

    /// Calls back once, at the first fire() at or after `due`.
    Subscription once(Instant due, Callback callback);

    /// Calls back every `period`, first at `firstDue`. Periods missed while the driver was
    /// paused are skipped, not made up for.
    Subscription every(Instant firstDue, Duration period, Callback callback);

    /// Ends a subscription; an unknown one is ignored.
    void cancel(Subscription subscription);

    /// The earliest due time, or nothing when no subscription stands.
    [[nodiscard]] std::optional<Instant> nextDue() const;

    /// Runs every callback that is due at `now`, in order of due time.
    void fire(Instant now);

private:
    struct Entry
    {
        Instant due;
        Duration period;
        Callback callback;
    };

    Subscription add(Entry entry);

    std::uint64_t lastSubscription_ = 0;
    std::unordered_map<Subscription, Entry> entries_;
    std::multimap<Instant, Subscription> order_;
};

} // namespace jacinthroad
