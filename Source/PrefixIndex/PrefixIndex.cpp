#include "PrefixIndex/PrefixIndex.h"

#include <algorithm>

namespace jacinthroad {

namespace {

// Fraction by which the horizon moves towards the age of an entry that was evicted earlier than
// expected.
constexpr double HorizonAdjustment = 0.25;
// Overhead per key of the standard library's hash map: node, bucket and allocator.
constexpr std::size_t MapNodeOverheadBytes = 32;

} // namespace

PrefixIndex::PrefixIndex(PrefixIndexOptions options)
    : options_(options)
{ }

void PrefixIndex::resize(std::size_t slots)
{
    epochs_.resize(slots, 1);
    horizons_.resize(slots, options_.initialHorizon);
}

void PrefixIndex::newEpoch(ServerSlot server)
{
    ++epochs_[server];
    horizons_[server] = options_.initialHorizon;
}

std::uint32_t PrefixIndex::relativeMs(Instant now) const
{
    const auto passed = std::chrono::duration_cast<milliseconds>(now - origin_).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(passed, 0)) + 1;
}

const PrefixIndex::Holders *PrefixIndex::find(BlockKey key) const
{
    if (const auto found = recent_.find(key); found != recent_.end()) {
        return &found->second;
    }
    const auto found = older_.find(key);
    return found == older_.end() ? nullptr : &found->second;
}

PrefixIndex::Holders &PrefixIndex::touch(BlockKey key)
{
    if (const auto found = recent_.find(key); found != recent_.end()) {
        return found->second;
    }
    if (recent_.size() >= options_.capacityBlocks / 2) {
        older_ = std::move(recent_);
        recent_.clear();
    }
    Holders holders {};
    if (const auto found = older_.find(key); found != older_.end()) {
        holders = found->second;
        older_.erase(found);
    }
    return recent_.emplace(key, holders).first->second;
}

PrefixIndex::Holder *PrefixIndex::holderOf(Holders &holders, ServerSlot server)
{
    for (Holder &holder : holders) {
        if (holder.usedMs != 0 && holder.server == server) {
            return &holder;
        }
    }
    return nullptr;
}

void PrefixIndex::noteStored(ServerSlot server, std::span<const BlockKey> keys, Instant now)
{
    if (!hasOrigin_) {
        hasOrigin_ = true;
        origin_ = now;
    }
    const std::uint32_t nowMs = relativeMs(now);
    for (const BlockKey key : keys) {
        Holders &holders = touch(key);
        Holder *holder = holderOf(holders, server);
        if (holder == nullptr) {
            // An unused element has the smallest timestamp and is chosen first, otherwise the least
            // recently used one.
            holder = &*std::min_element(
                holders.begin(), holders.end(),
                [](const Holder &a, const Holder &b) { return a.usedMs < b.usedMs; });
        }
        *holder = { .server = server, .epoch = epochs_[server], .usedMs = nowMs };
    }
}

void PrefixIndex::noteRemoved(ServerSlot server, std::span<const BlockKey> keys)
{
    for (const BlockKey key : keys) {
        if (find(key) == nullptr) {
            continue;
        }
        if (Holder *holder = holderOf(touch(key), server)) {
            // Epoch 0 makes the entry invalid; the timestamp stays so that the block counts as
            // seen.
            holder->epoch = 0;
        }
    }
}

void PrefixIndex::noteObserved(ServerSlot server, std::span<const BlockKey> keys,
                               std::size_t cached, Instant now)
{
    const std::uint32_t nowMs = relativeMs(now);
    Duration &horizon = horizons_[server];
    for (std::size_t index = 0; index < keys.size(); ++index) {
        const Holders *holders = find(keys[index]);
        if (holders == nullptr) {
            continue;
        }
        for (const Holder &holder : *holders) {
            if (holder.usedMs == 0 || holder.server != server || holder.epoch != epochs_[server]) {
                continue;
            }
            const Duration age = milliseconds(nowMs - std::min(holder.usedMs, nowMs));
            if (index < cached) {
                horizon = std::max(horizon, age);
            } else if (age < horizon) {
                // Evicted earlier than expected.
                const double step = HorizonAdjustment * toMilliseconds(horizon - age);
                horizon -= fromMilliseconds(step);
            }
        }
        if (index >= cached) {
            break;
        }
    }
    horizon = std::clamp(horizon, options_.minimumHorizon, options_.maximumHorizon);
}

bool PrefixIndex::holds(const Holder &holder, std::uint32_t nowMs) const
{
    if (holder.usedMs == 0 || holder.epoch != epochs_[holder.server]) {
        return false;
    }
    const std::uint32_t age = nowMs - std::min(holder.usedMs, nowMs);
    return milliseconds(age) <= horizons_[holder.server];
}

std::vector<std::uint32_t> PrefixIndex::matchAll(std::span<const BlockKey> keys, Instant now) const
{
    std::vector<std::uint32_t> matched(epochs_.size(), 0);
    const std::uint32_t nowMs = relativeMs(now);
    for (std::uint32_t index = 0; index < keys.size(); ++index) {
        const Holders *holders = find(keys[index]);
        if (holders == nullptr) {
            continue;
        }
        for (const Holder &holder : *holders) {
            if (holds(holder, nowMs)) {
                matched[holder.server] = index + 1;
            }
        }
    }
    return matched;
}

std::size_t PrefixIndex::seenBlocks(std::span<const BlockKey> keys) const
{
    std::size_t seen = keys.size();
    while (seen > 0 && find(keys[seen - 1]) == nullptr) {
        --seen;
    }
    return seen;
}

std::size_t PrefixIndex::memoryBytes() const
{
    return size() * (sizeof(BlockKey) + sizeof(Holders) + MapNodeOverheadBytes);
}

} // namespace jacinthroad
