#include "Routing/Policy.h"

#include <algorithm>
#include <array>

#include "Core/Overloaded.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

constexpr std::array<std::string_view, 4> PolicyNames { "round-robin", "least-outstanding",
                                                        "prefix-hash", "default" };

Choice choiceWithoutPrediction(ServerSlot server)
{
    return { .server = server };
}

Choice chooseRoundRobin(RoundRobinPolicy &policy, const ChoiceContext &context)
{
    return choiceWithoutPrediction(context.candidates[policy.next++ % context.candidates.size()]);
}

Choice chooseLeastOutstanding(const ChoiceContext &context)
{
    std::vector<ServerSlot> best;
    double least = 0;
    for (const ServerSlot slot : context.candidates) {
        const double outstanding = context.servers.at(slot).own.inFlight;
        if (best.empty() || outstanding < least) {
            best.clear();
            least = outstanding;
        }
        if (outstanding == least) {
            best.push_back(slot);
        }
    }
    std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
    return choiceWithoutPrediction(best[pick(context.random)]);
}

Choice choosePrefixHash(const PrefixHashPolicy &policy, const ChoiceContext &context)
{
    const auto &blocks = context.request.blocks;
    const std::size_t prefixBlocks
        = std::min<std::size_t>(blocks.size(), policy.prefixTokens / context.settings.blockTokens);
    const BlockKey prefixKey
        = prefixBlocks == 0 ? context.request.fingerprint : blocks[prefixBlocks - 1];
    return choiceWithoutPrediction(*std::max_element(
        context.candidates.begin(), context.candidates.end(), [&](ServerSlot a, ServerSlot b) {
            return rendezvousScore(prefixKey, context.servers.at(a).hash)
                < rendezvousScore(prefixKey, context.servers.at(b).hash);
        }));
}

} // namespace

std::span<const std::string_view> policyNames()
{
    return PolicyNames;
}

std::optional<Policy> makePolicy(std::string_view name)
{
    if (name == PolicyNames[0]) {
        return RoundRobinPolicy {};
    }
    if (name == PolicyNames[1]) {
        return LeastOutstandingPolicy {};
    }
    if (name == PolicyNames[2]) {
        return PrefixHashPolicy {};
    }
    if (name == PolicyNames[3]) {
        return PredictedCostPolicy {};
    }
    return std::nullopt;
}

bool usesAdmissionQueue(const Policy &policy)
{
    return std::holds_alternative<PredictedCostPolicy>(policy);
}

std::optional<Choice> choose(Policy &policy, const ChoiceContext &context)
{
    if (context.candidates.empty()) {
        return std::nullopt;
    }
    return std::visit(
        Overloaded {
            [&](RoundRobinPolicy &p) { return std::optional(chooseRoundRobin(p, context)); },
            [&](LeastOutstandingPolicy &) {
                return std::optional(chooseLeastOutstanding(context));
            },
            [&](PrefixHashPolicy &p) { return std::optional(choosePrefixHash(p, context)); },
            [&](PredictedCostPolicy &p) { return p.choose(context); },
        },
        policy);
}

} // namespace jacinthroad
