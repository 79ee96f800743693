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

/// What a service-level objective speaks of.
enum class Objective : std::uint8_t {
    /// The first token came within its target.
    FirstToken,
    /// A group of tokens came with gaps within the target.
    TokenGap,
    /// The request was answered whole.
    Success,
};

/// Number of objectives.
inline constexpr std::size_t ObjectiveCount = 3;

/// `first_token`, `token_gap` or `success`.
[[nodiscard]] std::string_view objectiveName(Objective objective);

/// Lengths of the windows over which burn is shown; the short ones tell that something happens
/// now, the long one whether it matters.
inline constexpr std::array<Duration, 3> BurnWindows { std::chrono::minutes(5),
                                                       std::chrono::hours(1),
                                                       std::chrono::hours(6) };

/// Number of windows.
inline constexpr std::size_t BurnWindowCount = BurnWindows.size();

/// Events in one window, of which some missed the objective. Counts are not whole numbers, since
/// older events weigh less.
struct BurnCount
{
    double events = 0;
    double missed = 0;

    BurnCount &operator+=(const BurnCount &other);
};

/// Counts of one objective in every window.
using BurnCounts = std::array<BurnCount, BurnWindowCount>;

/// How fast the error budget goes: the share that missed over the share that may miss. At 1 the
/// budget lasts exactly its period.
[[nodiscard]] double burnRate(const BurnCount &count, double objectiveShare);

/// Counts events against objectives per team and model. Each window is a sum that decays with its
/// length, so a team and model cost a fixed few words whatever their traffic. Pure: the time is
/// passed in.
class BurnTracker
{
public:
    using Key = std::pair<TeamId, ModelId>;
    using Line = std::array<BurnCounts, ObjectiveCount>;

    /// Notes one event.
    void recordEvent(const TeamId &team, const ModelId &model, Objective objective, bool met,
                     Instant now);

    /// Lines as they stand at `now`.
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
