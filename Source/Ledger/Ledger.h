#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "Core/Ids.h"

namespace jacinthroad {

/// Why prompt tokens that a server had already computed were recomputed.
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

/// Recomputed tokens by reason.
using RecomputedTokens = std::array<std::uint64_t, RecomputeReasonCount>;

/// Token usage of one team on one model, by kind of compute.
struct LedgerLine
{
    /// Prompt tokens found in a cache.
    std::uint64_t reused = 0;
    /// Prompt tokens not known to have been computed by any server before.
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

/// Prompt token counts of one finished attempt, as reported by the engine.
struct PromptUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    /// Leading tokens known to have been computed by some server before.
    std::uint64_t previouslyComputedTokens = 0;
    /// Reason for recomputing the tokens that were computed before but not cached.
    RecomputeReason reason = RecomputeReason::Evicted;
};

/// Splits a prompt into reused, first-time and recomputed tokens, which add up to the prompt.
[[nodiscard]] LedgerLine ledgerLineOf(const PromptUsage &usage);

/// Accumulates token usage by team and model.
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
