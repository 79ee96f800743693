#include "Placement/AttemptBudget.h"

#include <algorithm>
#include <numeric>
#include <span>
#include <utility>

namespace jacinthroad {

namespace {

std::uint32_t sumOf(std::span<const std::uint32_t> counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint32_t { 0 });
}

} // namespace

AttemptBudget::AttemptBudget(const Options &options)
    : options_(options)
{ }

void AttemptBudget::setOptions(const Options &options, Instant now)
{
    const bool otherSlices = options.window != options_.window;
    if (otherSlices) {
        for (const auto &entry : windows_) {
            windowOf(entry.first, now);
        }
    }
    options_ = options;
    if (!otherSlices) {
        return;
    }
    for (auto &entry : windows_) {
        const Window counted = std::exchange(entry.second, { .slice = sliceOf(now) });
        const auto newest = static_cast<std::size_t>(entry.second.slice) % Slices;
        entry.second.retries[newest] = sumOf(counted.retries);
        entry.second.requests[(newest + 1) % Slices] = sumOf(counted.requests);
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

double AttemptBudget::allowanceAt(Instant now) const
{
    const bool withheld = withheldSince_.has_value() && now - *withheldSince_ < options_.window;
    return withheld ? 0 : options_.allowance;
}

void AttemptBudget::noteRequest(const ServiceId &service, Instant now)
{
    Window &window = windowOf(service, now);
    ++window.requests[static_cast<std::size_t>(window.slice) % Slices];
}

bool AttemptBudget::spend(const ServiceId &service, Instant now)
{
    Window &window = windowOf(service, now);
    if (sumOf(window.retries) + 1
        > options_.retryRatio * sumOf(window.requests) + allowanceAt(now)) {
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
