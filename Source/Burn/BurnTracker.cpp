#include "Burn/BurnTracker.h"

#include <algorithm>
#include <cmath>

namespace jacinthroad {

std::string_view objectiveName(Objective objective)
{
    constexpr std::array<std::string_view, ObjectiveCount> Names { "first_token", "token_gap",
                                                                   "success" };
    return Names[static_cast<std::size_t>(objective)];
}

BurnCount &BurnCount::operator+=(const BurnCount &other)
{
    events += other.events;
    missed += other.missed;
    return *this;
}

double burnRate(const BurnCount &count, double objectiveShare)
{
    const double allowed = 1 - objectiveShare;
    if (count.events <= 0 || allowed <= 0) {
        return 0;
    }
    return count.missed / count.events / allowed;
}

void BurnTracker::decay(Entry &entry, Instant now)
{
    const double elapsedMs = std::max(0.0, toMilliseconds(now - entry.at));
    entry.at = std::max(entry.at, now);
    for (BurnCounts &counts : entry.line) {
        for (std::size_t window = 0; window < BurnWindowCount; ++window) {
            const double factor = std::exp(-elapsedMs / toMilliseconds(BurnWindows[window]));
            counts[window].events *= factor;
            counts[window].missed *= factor;
        }
    }
}

void BurnTracker::recordEvent(const TeamId &team, const ModelId &model, Objective objective,
                              bool met, Instant now)
{
    const auto [position, added] = entries_.try_emplace({ team, model });
    Entry &entry = position->second;
    if (added) {
        entry.at = now;
    }
    decay(entry, now);
    for (BurnCount &count : entry.line[static_cast<std::size_t>(objective)]) {
        count.events += 1;
        count.missed += met ? 0 : 1;
    }
}

std::map<BurnTracker::Key, BurnTracker::Line> BurnTracker::lines(Instant now) const
{
    std::map<Key, Line> result;
    for (const auto &[key, entry] : entries_) {
        Entry current = entry;
        decay(current, now);
        result[key] = current.line;
    }
    return result;
}

} // namespace jacinthroad
