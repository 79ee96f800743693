#include "Core/TimerService.h"

#include <utility>

namespace jacinthroad {

TimerService::Subscription TimerService::add(Entry entry)
{
    const Subscription subscription = ++lastSubscription_;
    order_.emplace(entry.due, subscription);
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
    // The order may still name it; fire() skips names without an entry.
    entries_.erase(subscription);
}

std::optional<Instant> TimerService::nextDue() const
{
    for (const auto &[due, subscription] : order_) {
        if (entries_.contains(subscription)) {
            return due;
        }
    }
    return std::nullopt;
}

void TimerService::fire(Instant now)
{
    while (!order_.empty() && order_.begin()->first <= now) {
        const Subscription subscription = order_.begin()->second;
        order_.erase(order_.begin());
        const auto found = entries_.find(subscription);
        if (found == entries_.end()) {
            continue;
        }
        // The callback may cancel its own subscription, so it runs from a copy.
        const Callback callback = found->second.callback;
        if (found->second.period == Duration::zero()) {
            entries_.erase(found);
        } else {
            Entry &entry = found->second;
            entry.due += entry.period;
            if (entry.due <= now) {
                entry.due = now + entry.period;
            }
            order_.emplace(entry.due, subscription);
        }
        callback(now);
    }
}

} // namespace jacinthroad
