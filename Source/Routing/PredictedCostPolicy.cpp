#include "Routing/PredictedCostPolicy.h"

#include <algorithm>
#include <cmath>

#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

// Head lengths, in tokens, at which rendezvous order is tried; the grid is fine enough that the
// longest one below a prompt's end lies in its shared part.
constexpr double FirstHeadTokens = 512;
constexpr double HeadGrowth = 1.4142135;
constexpr double TrustWeight = 0.02;
constexpr double LeastTrust = 0.05;
// Step of one observation in learning the two parts of the first-token time.
constexpr double LearningStep = 0.03;
// Prompt length, in tokens, that weighs as much as the fixed part.
constexpr double TypicalPrefillTokens = 1000;
// An observation counts at most this many times its prediction.
constexpr double LargestSurprise = 3;
constexpr double JobWeight = 0.05;
constexpr double DefaultJobMs = 2000;
// A server is full when its wait exceeds this share of the first-token objective.
constexpr double FullWaitShare = 0.15;
// Share of a server's slots that long jobs may hold.
constexpr double LongSlotShare = 0.6;
// Short jobs may be sent ahead of a free slot, since one frees soon and they go first there.
constexpr double ShortSpareSlots = 1;
// Costs this close together count as equal, so that nodes that see the same do not all follow
// the same report.
constexpr double TieShare = 0.05;
constexpr double TieMs = 5;

} // namespace

PredictedCostPolicy::Learned PredictedCostPolicy::learned(const ModelId &model,
                                                          const ServerInfo &server,
                                                          const ModelSettings &terms) const
{
    const auto found = learned_.find(model);
    Learned known = found == learned_.end() ? Learned {} : found->second;
    if (known.msPerToken == 0) {
        known.msPerToken = 1 / server.prefillTokensPerMs;
        known.baseMs = terms.tokenGapTargetMs;
    }
    known.jobMs = known.jobMs > 0 ? known.jobMs : DefaultJobMs;
    return known;
}

double PredictedCostPolicy::prefillMsPerToken(const ModelId &model) const
{
    const auto found = learned_.find(model);
    return found == learned_.end() ? 0 : found->second.msPerToken;
}

Choice PredictedCostPolicy::evaluate(const ChoiceContext &context, ServerSlot slot,
                                     double assumedHead) const
{
    const ServerState &server = context.servers.at(slot);
    const Learned known = learned(context.request.model, server.info, context.settings);
    const ServerLoad load = context.servers.totalLoad(slot, context.now);
    const double slowdown = server.health.slowdown(context.now);

    Choice choice { .server = slot };
    const double matched
        = static_cast<double>(context.matchedBlocks[slot]) * context.settings.blockTokens;
    choice.assumedTokens = assumedHead > matched ? assumedHead - matched : 0;
    choice.expectedCachedTokens = matched + trust_ * choice.assumedTokens;
    const double uncached
        = std::max(0.0, context.request.promptTokens - choice.expectedCachedTokens);

    const double slots = server.info.slots;
    const double ahead = load.inFlight - slots + 1;
    choice.slotWaitMs = ahead > 0 ? ahead * known.jobMs / slots * slowdown : 0;
    choice.prefillTokens = load.waitingPrefill + uncached;
    choice.waitMs = choice.slotWaitMs + load.waitingPrefill * known.msPerToken * slowdown
        + context.servers.overdueMs(slot, context.now);
    choice.predictedMs = choice.waitMs + (uncached * known.msPerToken + known.baseMs) * slowdown;

    const bool waitTooLong = choice.waitMs > FullWaitShare * context.settings.firstTokenTargetMs;
    const bool longJobsFull = context.lengthClass == LengthClass::Long
        && load.longJobs + 1 > std::max(1.0, LongSlotShare * slots);
    // What waits belongs into the node's queue, where it is ordered and can still be refused.
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
    // Longest assumed head for each candidate, by its place in `candidates`.
    std::vector<double> assumed(context.candidates.size(), 0);
    const auto &blocks = context.request.blocks;
    for (double headTokens = FirstHeadTokens;; headTokens *= HeadGrowth) {
        const auto headBlocks = static_cast<std::size_t>(headTokens / context.settings.blockTokens);
        if (headBlocks > blocks.size() || headTokens > context.sharedTokens) {
            break;
        }
        if (headBlocks == 0) {
            continue;
        }
        const BlockKey head = blocks[headBlocks - 1];
        std::size_t first = 0;
        std::uint64_t bestScore = 0;
        for (std::size_t index = 0; index < context.candidates.size(); ++index) {
            const std::uint64_t score
                = rendezvousScore(head, context.servers.at(context.candidates[index]).hash);
            if (score >= bestScore) {
                bestScore = score;
                first = index;
            }
        }
        assumed[first] = static_cast<double>(headBlocks) * context.settings.blockTokens;
    }

    std::vector<std::pair<double, Choice>> costs;
    costs.reserve(context.candidates.size());
    double least = 0;
    for (std::size_t index = 0; index < context.candidates.size(); ++index) {
        const Choice choice = evaluate(context, context.candidates[index], assumed[index]);
        // The price counts the assumed head in full, also on the first visit: every later request
        // of any node looks for it there.
        const double placed = choice.expectedCachedTokens + (1 - trust_) * choice.assumedTokens;
        const double uncached = std::max(0.0, context.request.promptTokens - placed);
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
    trust_ = std::max(LeastTrust, trust_ + TrustWeight * (share - trust_));
}

void PredictedCostPolicy::noteFirstToken(const ModelId &model, const Choice &choice,
                                         double slowdown, double observedMs)
{
    if (choice.prefillTokens <= 0) {
        return;
    }
    Learned &known = learned_[model];
    if (known.msPerToken == 0) {
        known.msPerToken = (choice.predictedMs - choice.slotWaitMs) / choice.prefillTokens;
    }
    // Normalised least mean squares over a fixed part and a part for each token.
    const double tokens = choice.prefillTokens / TypicalPrefillTokens;
    const double predicted = known.baseMs + choice.prefillTokens * known.msPerToken;
    const double served = std::max(0.0, observedMs / slowdown - choice.slotWaitMs);
    const double error = std::min(served, LargestSurprise * predicted) - predicted;
    const double step = LearningStep * error / (1 + tokens * tokens);
    known.baseMs = std::max(0.0, known.baseMs + step);
    known.msPerToken
        = std::max(known.msPerToken / 2, known.msPerToken + step * tokens / TypicalPrefillTokens);
}

void PredictedCostPolicy::noteJobDuration(const ModelId &model, double jobMs)
{
    double &known = learned_[model].jobMs;
    known = known == 0 ? jobMs : known + JobWeight * (jobMs - known);
}

} // namespace jacinthroad
