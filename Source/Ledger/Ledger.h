#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "Core/Ids.h"

namespace jacinthroad {

/// Why prompt tokens that some server had computed before were computed again.
enum class RecomputeReason : std::uint8_t {
    Evicted,
    RoutedAway,
    NewWeights,
    Crash,
    Hedge,
    Retry,
    Cancel,
};

/// Number of reasons.
inline constexpr std::size_t RecomputeReasonCount = 7;

/// The reason's name in reports, such as `routed_away`.
[[nodiscard]] std::string_view recomputeReasonName(RecomputeReason reason);

/// Tokens by the reason for which they were computed again.
using RecomputedTokens = std::array<std::uint64_t, RecomputeReasonCount>;

/// Where the compute of one team on one model went, in tokens.
struct LedgerLine
{
    /// Prompt tokens found in a cache.
    std::uint64_t reused = 0;
    /// Prompt tokens that no server was known to have computed before.
    std::uint64_t firstTime = 0;
    RecomputedTokens recomputed {};
    /// Output tokens delivered.
    std::uint64_t decoded = 0;
    /// Output tokens computed and not delivered.
    std::uint64_t discarded = 0;
    std::uint64_t requests = 0;

    LedgerLine &operator+=(const LedgerLine &other);
    LedgerLine &operator-=(const LedgerLine &other);
};

/// The prompt of one ended attempt, as the engine counted it.
struct PromptUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    /// Leading tokens that were known to have been computed somewhere before.
    std::uint64_t previouslyComputedTokens = 0;
    /// Reason for what was seen and not cached.
    RecomputeReason reason = RecomputeReason::Evicted;
};

/// Splits a prompt into reused, first-time and recomputed tokens; the three sum to the prompt.
[[nodiscard]] LedgerLine ledgerLineOf(const PromptUsage &usage);

/// Lines by team and model.
class Ledger
{
public:
    using Key = std::pair<TeamId, ModelId>;

    /// Adds to the line of a team and model.
    void add(const TeamId &team, const ModelId &model, const LedgerLine &line);

    [[nodiscard]] const std::map<Key, LedgerLine> &lines() const { return lines_; }
    /// The sum of all lines.
    [[nodiscard]] LedgerLine total() const;

private:
    std::map<Key, LedgerLine> lines_;
};

} // namespace jacinthroad
