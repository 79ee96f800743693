#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// One-shot and periodic timers. The service reads no clock and owns no thread: its driver waits
/// until nextDue() and calls fire() with the current time, which tests choose freely. Not
/// thread-safe; used on the control thread only.
class TimerService
{
public:
    /// Identifies a subscription; 0 is never used.
    using Subscription = std::uint64_t;
    /// Called with the time passed to fire().
    using Callback = std::function<void(Instant)>;

    /// Calls back once, at the first fire() at or after `due`.
    Subscription once(Instant due, Callback callback);

    /// Calls back every `period`, starting at `firstDue`. Periods that elapsed between two calls of
    /// fire() are skipped.
    Subscription every(Instant firstDue, Duration period, Callback callback);

    /// Cancels a subscription; unknown subscriptions are ignored.
    void cancel(Subscription subscription);

    /// Returns the earliest due time, or nothing if there are no subscriptions.
    [[nodiscard]] std::optional<Instant> nextDue() const;

    /// Runs all callbacks that are due at `now`, in order of due time.
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
    std::multimap<Instant, Subscription> queue_;
};

} // namespace jacinthroad
