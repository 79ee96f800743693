#include "Core/TimerService.h"

#include <utility>

namespace jacinthroad {

TimerService::Subscription TimerService::add(Entry entry)
{
    const Subscription subscription = ++lastSubscription_;
    queue_.emplace(entry.due, subscription);
    entries_.emplace(subscription, std::move(entry));
    return subscription;
}

TimerService::Subscription TimerService::once(Instant due, Callback callback)
{
    return add({ .due = due, .period = Duration::zero(), .callback = std::move(callback) });
}

TimerService::Subscription TimerService::every(Instant firstDue, Duration period, Callback callback)
{
    return add({ .due = firstDue, .period = period, .callback = std::move(callback) });
}

void TimerService::cancel(Subscription subscription)
{
    // The queue may still contain it; fire() and nextDue() skip subscriptions without an entry.
    entries_.erase(subscription);
}

std::optional<Instant> TimerService::nextDue() const
{
    for (const auto &[due, subscription] : queue_) {
        if (entries_.contains(subscription)) {
            return due;
        }
    }
    return std::nullopt;
}

void TimerService::fire(Instant now)
{
    while (!queue_.empty() && queue_.begin()->first <= now) {
        const Subscription subscription = queue_.begin()->second;
        queue_.erase(queue_.begin());
        const auto found = entries_.find(subscription);
        if (found == entries_.end()) {
            continue;
        }
        // The callback may cancel its own subscription and so destroy the entry; a copy is called.
        const Callback callback = found->second.callback;
        if (found->second.period == Duration::zero()) {
            entries_.erase(found);
        } else {
            Entry &entry = found->second;
            entry.due += entry.period;
            if (entry.due <= now) {
                entry.due = now + entry.period;
            }
            queue_.emplace(entry.due, subscription);
        }
        callback(now);
    }
}

} // namespace jacinthroad
