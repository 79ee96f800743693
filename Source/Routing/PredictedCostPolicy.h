#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "Admission/LengthClass.h"
#include "Core/Time.h"
#include "PrefixIndex/PrefixIndex.h"
#include "Routing/RequestInfo.h"
#include "Routing/ServerTable.h"

namespace jacinthroad {

/// Configured settings of one model's service.
struct ModelSettings
{
    /// Tokens in one cache block of the engines.
    std::uint32_t blockTokens = 64;
    /// Cost of recomputing one prompt token, in milliseconds of first-token time.
    double recomputePriceMsPerToken = 0.05;
    /// Objective for the first token, in milliseconds.
    double firstTokenTargetMs = 1900;
    /// Limit on the time to the first token, in milliseconds; requests that would exceed it are
    /// rejected.
    double firstTokenLimitMs = 1900;
    /// Objective for the gap between tokens, in milliseconds.
    double tokenGapTargetMs = 48;
};

/// Inputs of a server choice.
struct ChoiceContext
{
    const ServerTable &servers;
    const RequestInfo &request;
    LengthClass lengthClass;
    const ModelSettings &settings;
    /// Estimated number of leading prompt tokens that other requests share.
    double sharedTokens;
    /// Servers that may be chosen.
    std::span<const ServerSlot> candidates;
    /// Leading blocks that each server slot is assumed to have cached, by the prefix index.
    std::span<const std::uint32_t> matchedBlocks;
    Instant now;
    std::mt19937_64 &random;
};

/// A chosen server with its predicted times and cached tokens.
struct Choice
{
    ServerSlot server = 0;
    double predictedMs = 0;
    /// The part of predictedMs spent waiting for other requests' work.
    double waitMs = 0;
    /// The part of predictedMs spent waiting for a free slot.
    double slotWaitMs = 0;
    /// Prompt tokens to compute before the first token, of this and earlier requests.
    double prefillTokens = 0;
    double expectedCachedTokens = 0;
    /// Leading tokens assumed to be cached because of rendezvous order alone; 0 if none.
    double assumedTokens = 0;
    /// True if the server should not receive more work yet.
    bool full = false;
};

/// Chooses the server with the smallest sum of predicted first-token time and recomputation cost.
/// Cached prefixes are taken from the prefix index. For prefixes that the index doesn't know, the
/// first server in rendezvous order at each of several prefix lengths is assumed to have that
/// prefix cached, weighted by a learned confidence, so that a newly started node routes like the
/// others.
class PredictedCostPolicy
{
public:
    /// Returns the cheapest server. It may be full: waiting for it is then cheaper than using any
    /// other.
    [[nodiscard]] std::optional<Choice> choose(const ChoiceContext &context) const;

    /// Updates the confidence from the `foundTokens` that an engine reported as cached for a choice
    /// with `assumedTokens`.
    void noteAssumption(double assumedTokens, double foundTokens);

    /// Updates the cost model from a first token received `observedMs` after a choice, on a server
    /// `slowdown` times slower than usual.
    void noteFirstToken(const ModelId &model, const Choice &choice, double slowdown,
                        double observedMs);

    /// Learned prefill time per prompt token, in milliseconds; 0 before the first observation.
    [[nodiscard]] double prefillMsPerToken(const ModelId &model) const;

    /// Updates the mean job duration from a finished job, in milliseconds.
    void noteJobDuration(const ModelId &model, double jobMs);

private:
    struct CostModel
    {
        /// Part of the first-token time that doesn't depend on the prompt's length.
        double fixedMs = 0;
        /// Prefill time per prompt token while the engine also does other work; 0 before the first
        /// observation.
        double msPerToken = 0;
        double jobMs = 0;
    };

    [[nodiscard]] Choice evaluate(const ChoiceContext &context, ServerSlot slot,
                                  double assumedPrefix) const;
    [[nodiscard]] CostModel costModelOf(const ModelId &model, const ServerInfo &server,
                                        const ModelSettings &modelSettings) const;

    double assumptionConfidence_ = 0.5;
    std::map<ModelId, CostModel> costModels_;
};

} // namespace jacinthroad
