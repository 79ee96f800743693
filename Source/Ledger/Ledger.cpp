#include "Ledger/Ledger.h"

#include <algorithm>

namespace jacinthroad {

std::string_view recomputeReasonName(RecomputeReason reason)
{
    constexpr std::array<std::string_view, RecomputeReasonCount> Names {
        "evicted", "routed_away", "new_weights", "crash", "hedge", "retry", "cancel"
    };
    return Names[static_cast<std::size_t>(reason)];
}

LedgerLine &LedgerLine::operator+=(const LedgerLine &other)
{
    reused += other.reused;
    firstTime += other.firstTime;
    for (std::size_t index = 0; index < recomputed.size(); ++index) {
        recomputed[index] += other.recomputed[index];
    }
    decoded += other.decoded;
    discarded += other.discarded;
    requests += other.requests;
    return *this;
}

LedgerLine ledgerLineOf(const PromptUsage &usage)
{
    LedgerLine line;
    line.reused = std::min(usage.cachedTokens, usage.promptTokens);
    const std::uint64_t computed = usage.promptTokens - line.reused;
    const std::uint64_t previouslyComputed
        = std::min(usage.previouslyComputedTokens, usage.promptTokens);
    const std::uint64_t recomputedTokens = previouslyComputed > line.reused
        ? std::min(computed, previouslyComputed - line.reused)
        : 0;
    line.recomputed[static_cast<std::size_t>(usage.reason)] = recomputedTokens;
    line.firstTime = computed - recomputedTokens;
    return line;
}

LedgerLine &LedgerLine::operator-=(const LedgerLine &other)
{
    reused -= other.reused;
    firstTime -= other.firstTime;
    for (std::size_t index = 0; index < recomputed.size(); ++index) {
        recomputed[index] -= other.recomputed[index];
    }
    decoded -= other.decoded;
    discarded -= other.discarded;
    requests -= other.requests;
    return *this;
}

void Ledger::add(const TeamId &team, const ModelId &model, const LedgerLine &line)
{
    lines_[{ team, model }] += line;
}

LedgerLine Ledger::total() const
{
    LedgerLine sum;
    for (const auto &[key, line] : lines_) {
        sum += line;
    }
    return sum;
}

} // namespace jacinthroad
