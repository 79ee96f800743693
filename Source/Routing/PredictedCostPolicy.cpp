#include "Routing/PredictedCostPolicy.h"

#include <algorithm>
#include <cmath>

#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

// Prefix lengths, in tokens, at which rendezvous order is evaluated. The steps are small enough
// that the longest one below a prompt's end lies in its shared part.
constexpr double FirstPrefixTokens = 512;
constexpr double PrefixGrowth = 1.4142135;
constexpr double ConfidenceSmoothing = 0.02;
constexpr double MinimumConfidence = 0.05;
// Learning rate for the fixed and the per-token part of the first-token time.
constexpr double LearningStep = 0.03;
// Prompt length, in tokens, at which the per-token part is weighted like the fixed part.
constexpr double TypicalPrefillTokens = 1000;
// Observations are clamped to this many times their prediction.
constexpr double MaximumObservationRatio = 3;
constexpr double JobDurationSmoothing = 0.05;
constexpr double DefaultJobMs = 2000;
// A server is full if its wait exceeds this share of the first-token objective.
constexpr double FullWaitShare = 0.15;
// Share of a server's slots that long jobs may hold.
constexpr double LongSlotShare = 0.6;
// Short jobs may be sent before a slot is free: one becomes free soon, and they go first there.
constexpr double ShortSpareSlots = 1;
// Costs this close count as equal and the choice among them is random, so that nodes with the same
// information don't all choose the same server.
constexpr double TieShare = 0.05;
constexpr double TieMs = 5;

} // namespace

PredictedCostPolicy::CostModel
PredictedCostPolicy::costModelOf(const ModelId &model, const ServerInfo &server,
                                 const ModelSettings &modelSettings) const
{
    const auto found = costModels_.find(model);
    CostModel known = found == costModels_.end() ? CostModel {} : found->second;
    if (known.msPerToken == 0) {
        known.msPerToken = 1 / server.prefillTokensPerMs;
        known.fixedMs = modelSettings.tokenGapTargetMs;
    }
    known.jobMs = known.jobMs > 0 ? known.jobMs : DefaultJobMs;
    return known;
}

double PredictedCostPolicy::prefillMsPerToken(const ModelId &model) const
{
    const auto found = costModels_.find(model);
    return found == costModels_.end() ? 0 : found->second.msPerToken;
}

Choice PredictedCostPolicy::evaluate(const ChoiceContext &context, ServerSlot slot,
                                     double assumedPrefix) const
{
    const ServerState &server = context.servers.at(slot);
    const CostModel known = costModelOf(context.request.model, server.info, context.settings);
    const ServerLoad load = context.servers.totalLoad(slot, context.now);
    const double slowdown = server.health.slowdown(context.now);

    Choice choice { .server = slot };
    const double matched
        = static_cast<double>(context.matchedBlocks[slot]) * context.settings.blockTokens;
    choice.assumedTokens = assumedPrefix > matched ? assumedPrefix - matched : 0;
    choice.expectedCachedTokens = matched + assumptionConfidence_ * choice.assumedTokens;
    const double uncached
        = std::max(0.0, context.request.promptTokens - choice.expectedCachedTokens);

    const double slots = server.info.slots;
    const double ahead = load.inFlight - slots + 1;
    choice.slotWaitMs = ahead > 0 ? ahead * known.jobMs / slots * slowdown : 0;
    choice.prefillTokens = load.waitingPrefill + uncached;
    choice.waitMs = choice.slotWaitMs + load.waitingPrefill * known.msPerToken * slowdown
        + context.servers.overdueMs(slot, context.now);
    choice.predictedMs = choice.waitMs + (uncached * known.msPerToken + known.fixedMs) * slowdown;

    const bool waitTooLong = choice.waitMs > FullWaitShare * context.settings.firstTokenTargetMs;
    const bool longJobsFull = context.lengthClass == LengthClass::Long
        && load.longJobs + 1 > std::max(1.0, LongSlotShare * slots);
    // Excess requests wait in the node's queue, where they are ordered and can still be rejected.
    const double spare = context.lengthClass == LengthClass::Short ? ShortSpareSlots : 0;
    const bool slotsFull = load.inFlight + 1 > slots + spare;
    choice.full = waitTooLong || longJobsFull || slotsFull;
    return choice;
}

std::optional<Choice> PredictedCostPolicy::choose(const ChoiceContext &context) const
{
    if (context.candidates.empty()) {
        return std::nullopt;
    }
    // Longest assumed prefix for each candidate, by its index in `candidates`.
    std::vector<double> assumed(context.candidates.size(), 0);
    const auto &blocks = context.request.blocks;
    for (double prefixTokens = FirstPrefixTokens;; prefixTokens *= PrefixGrowth) {
        const auto prefixBlocks
            = static_cast<std::size_t>(prefixTokens / context.settings.blockTokens);
        if (prefixBlocks > blocks.size() || prefixTokens > context.sharedTokens) {
            break;
        }
        if (prefixBlocks == 0) {
            continue;
        }
        const BlockKey prefixKey = blocks[prefixBlocks - 1];
        std::size_t first = 0;
        std::uint64_t bestScore = 0;
        for (std::size_t index = 0; index < context.candidates.size(); ++index) {
            const std::uint64_t score
                = rendezvousScore(prefixKey, context.servers.at(context.candidates[index]).hash);
            if (score >= bestScore) {
                bestScore = score;
                first = index;
            }
        }
        assumed[first] = static_cast<double>(prefixBlocks) * context.settings.blockTokens;
    }

    std::vector<std::pair<double, Choice>> costs;
    costs.reserve(context.candidates.size());
    double least = 0;
    for (std::size_t index = 0; index < context.candidates.size(); ++index) {
        const Choice choice = evaluate(context, context.candidates[index], assumed[index]);
        // The recomputation cost treats the assumed prefix as completely cached, even for the first
        // request: later requests of all nodes expect it on that server.
        const double assumedCachedTokens
            = choice.expectedCachedTokens + (1 - assumptionConfidence_) * choice.assumedTokens;
        const double uncached = std::max(0.0, context.request.promptTokens - assumedCachedTokens);
        const double cost
            = choice.predictedMs + uncached * context.settings.recomputePriceMsPerToken;
        least = costs.empty() ? cost : std::min(least, cost);
        costs.emplace_back(cost, choice);
    }
    const double limit = least * (1 + TieShare) + TieMs;
    std::erase_if(costs, [&](const auto &entry) { return entry.first > limit; });
    std::uniform_int_distribution<std::size_t> pick(0, costs.size() - 1);
    return costs[pick(context.random)].second;
}

void PredictedCostPolicy::noteAssumption(double assumedTokens, double foundTokens)
{
    if (assumedTokens <= 0) {
        return;
    }
    const double share = std::clamp(foundTokens / assumedTokens, 0.0, 1.0);
    assumptionConfidence_
        = std::max(MinimumConfidence,
                   assumptionConfidence_ + ConfidenceSmoothing * (share - assumptionConfidence_));
}

void PredictedCostPolicy::noteFirstToken(const ModelId &model, const Choice &choice,
                                         double slowdown, double observedMs)
{
    if (choice.prefillTokens <= 0) {
        return;
    }
    CostModel &known = costModels_[model];
    if (known.msPerToken == 0) {
        known.msPerToken = (choice.predictedMs - choice.slotWaitMs) / choice.prefillTokens;
    }
    // Normalised least mean squares for a fixed and a per-token part.
    const double tokens = choice.prefillTokens / TypicalPrefillTokens;
    const double predicted = known.fixedMs + choice.prefillTokens * known.msPerToken;
    const double normalizedMs = std::max(0.0, observedMs / slowdown - choice.slotWaitMs);
    const double error = std::min(normalizedMs, MaximumObservationRatio * predicted) - predicted;
    const double step = LearningStep * error / (1 + tokens * tokens);
    known.fixedMs = std::max(0.0, known.fixedMs + step);
    known.msPerToken
        = std::max(known.msPerToken / 2, known.msPerToken + step * tokens / TypicalPrefillTokens);
}

void PredictedCostPolicy::noteJobDuration(const ModelId &model, double jobMs)
{
    double &known = costModels_[model].jobMs;
    known = known == 0 ? jobMs : known + JobDurationSmoothing * (jobMs - known);
}

} // namespace jacinthroad
