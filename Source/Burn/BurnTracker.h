#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The kinds of service-level objectives.
enum class Objective : std::uint8_t {
    /// The first token arrived within the target time.
    FirstToken,
    /// The gaps within a group of tokens stayed within the target.
    TokenGap,
    /// The response was complete.
    Success,
};

/// Number of objectives.
inline constexpr std::size_t ObjectiveCount = 3;

/// `first_token`, `token_gap` or `success`.
[[nodiscard]] std::string_view objectiveName(Objective objective);

/// Window lengths for burn rates. Short windows show current incidents, the long one shows whether
/// they are significant.
inline constexpr std::array<Duration, 3> BurnWindows { std::chrono::minutes(5),
                                                       std::chrono::hours(1),
                                                       std::chrono::hours(6) };

/// Number of windows.
inline constexpr std::size_t BurnWindowCount = BurnWindows.size();

/// Number of events in one window and how many of them missed the objective. Counts are fractional
/// because older events have a lower weight.
struct BurnCount
{
    double events = 0;
    double missed = 0;

    BurnCount &operator+=(const BurnCount &other);
};

/// Counts of one objective in every window.
using BurnCounts = std::array<BurnCount, BurnWindowCount>;

/// Burn rate of the error budget: the share of missed events divided by the allowed share. At a
/// rate of 1, the budget lasts exactly for its period. 0 if there are no events or no budget.
[[nodiscard]] double burnRate(const BurnCount &count, double objectiveShare);

/// Counts events against objectives per team and model. Each window is an exponentially decaying
/// sum with the window length as time constant, so memory per team and model is fixed, regardless
/// of the traffic. Performs no I/O; the time is passed in.
class BurnTracker
{
public:
    using Key = std::pair<TeamId, ModelId>;
    using Line = std::array<BurnCounts, ObjectiveCount>;

    /// Records one event and whether it met the objective.
    void recordEvent(const TeamId &team, const ModelId &model, Objective objective, bool met,
                     Instant now);

    /// The counts decayed to `now`.
    [[nodiscard]] std::map<Key, Line> lines(Instant now) const;

private:
    struct Entry
    {
        Line line {};
        Instant at;
    };

    static void decay(Entry &entry, Instant now);

    std::map<Key, Entry> entries_;
};

} // namespace jacinthroad
