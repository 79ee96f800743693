#include "Placement/AttemptBudget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace jacinthroad {

AttemptBudget::AttemptBudget(const Options &options)
    : options_(options)
{ }

void AttemptBudget::setOptions(const Options &options, Instant now)
{
    const Options former = std::exchange(options_, options);
    if (options.window == former.window) {
        return;
    }
    for (auto &[service, window] : windows_) {
        options_ = former;
        const Window counted = windowOf(service, now);
        options_ = options;
        window = { .slice = sliceOf(now) };
        const auto newest = static_cast<std::size_t>(window.slice) % Slices;
        window.retries[newest]
            = std::accumulate(counted.retries.begin(), counted.retries.end(), std::uint32_t { 0 });
        window.requests[(newest + 1) % Slices] = std::accumulate(
            counted.requests.begin(), counted.requests.end(), std::uint32_t { 0 });
    }
}

std::int64_t AttemptBudget::sliceOf(Instant moment) const
{
    return moment.time_since_epoch() / (options_.window / static_cast<std::int64_t>(Slices));
}

AttemptBudget::Window &AttemptBudget::windowOf(const ServiceId &service, Instant now)
{
    Window &window = windows_[service];
    const std::int64_t slice = sliceOf(now);
    const std::int64_t passed
        = std::min<std::int64_t>(slice - window.slice, static_cast<std::int64_t>(Slices));
    for (std::int64_t step = 0; step < passed; ++step) {
        const auto index = static_cast<std::size_t>(slice - step) % Slices;
        window.requests[index] = 0;
        window.retries[index] = 0;
    }
    window.slice = std::max(window.slice, slice);
    return window;
}

void AttemptBudget::noteRequest(const ServiceId &service, Instant now)
{
    Window &window = windowOf(service, now);
    ++window.requests[static_cast<std::size_t>(window.slice) % Slices];
}

bool AttemptBudget::spend(const ServiceId &service, Instant now)
{
    Window &window = windowOf(service, now);
    const double requests = std::accumulate(window.requests.begin(), window.requests.end(), 0.0);
    const double retries = std::accumulate(window.retries.begin(), window.retries.end(), 0.0);
    if (retries + 1 > options_.retryRatio * requests + options_.allowance) {
        return false;
    }
    ++window.retries[static_cast<std::size_t>(window.slice) % Slices];
    return true;
}

void AttemptBudget::giveBack(const ServiceId &service, Instant spentAt, Instant now)
{
    Window &window = windowOf(service, now);
    const std::int64_t slice = sliceOf(spentAt);
    std::uint32_t &retries = window.retries[static_cast<std::size_t>(slice) % Slices];
    if (slice > window.slice - static_cast<std::int64_t>(Slices) && retries > 0) {
        --retries;
    }
}

} // namespace jacinthroad
