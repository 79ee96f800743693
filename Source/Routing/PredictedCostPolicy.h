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

/// What the configuration says of a model's service.
struct ModelSettings
{
    /// Tokens in a cache block of its engines.
    std::uint32_t blockTokens = 64;
    /// Price of one token of prompt computed again, in milliseconds of first-token time.
    double recomputePriceMsPerToken = 0.05;
    /// Objective for the first token, in milliseconds.
    double firstTokenTargetMs = 1900;
    /// A request whose first token is predicted later than this is refused, in milliseconds.
    double firstTokenLimitMs = 1900;
    /// Objective for the gap between tokens, in milliseconds.
    double tokenGapTargetMs = 48;
};

/// Everything a choice looks at.
struct ChoiceContext
{
    const ServerTable &servers;
    const RequestInfo &request;
    LengthClass lengthClass;
    const ModelSettings &settings;
    /// Leading tokens of the prompt that other requests probably share.
    double sharedTokens;
    /// Servers that may be chosen.
    std::span<const ServerSlot> candidates;
    /// Leading blocks that each slot is believed to hold.
    std::span<const std::uint32_t> matchedBlocks;
    Instant now;
    std::mt19937_64 &random;
};

/// A chosen server and what is expected of it.
struct Choice
{
    ServerSlot server = 0;
    double predictedMs = 0;
    /// The part of predictedMs in which others' work is done first.
    double waitMs = 0;
    /// The part of predictedMs that waits for a free slot.
    double slotWaitMs = 0;
    /// Prompt tokens to be computed until the first token comes, others' and own.
    double prefillTokens = 0;
    double expectedCachedTokens = 0;
    /// Tokens of the head whose place was assumed by rendezvous order alone; 0 for none.
    double assumedTokens = 0;
    /// True when the server should not be given more work yet.
    bool full = false;
};

/// Chooses the smallest sum of predicted first-token time and price of recomputed tokens. What
/// a server has cached is taken from the index; for what the index does not know, the first
/// server in rendezvous order at each of several head lengths is assumed to hold that head, with
/// a trust that is learned, so a node that has just started routes like the others.
class PredictedCostPolicy
{
public:
    /// The best server, which may be full: waiting for it is then cheaper than any other.
    [[nodiscard]] std::optional<Choice> choose(const ChoiceContext &context) const;

    /// Takes what an engine reported for a choice of which `assumedTokens` were assumed.
    void noteAssumption(double assumedTokens, double foundTokens);

    /// Learns from a first token that came `observedMs` after a choice, on a server `slowdown`
    /// times slower than usual.
    void noteFirstToken(const ModelId &model, const Choice &choice, double slowdown,
                        double observedMs);

    /// Learned time for each token of prompt, in milliseconds; 0 before the first token.
    [[nodiscard]] double prefillMsPerToken(const ModelId &model) const;

    /// Takes the length of a finished job in milliseconds.
    void noteJobDuration(const ModelId &model, double jobMs);

private:
    struct Learned
    {
        /// Time until a first token that does not grow with the prompt.
        double baseMs = 0;
        /// Time for each token of prompt, beside an engine's other work; 0 before the first.
        double msPerToken = 0;
        double jobMs = 0;
    };

    [[nodiscard]] Choice evaluate(const ChoiceContext &context, ServerSlot slot,
                                  double assumedHead) const;
    [[nodiscard]] Learned learned(const ModelId &model, const ServerInfo &server,
                                  const ModelSettings &terms) const;

    double trust_ = 0.5;
    std::map<ModelId, Learned> learned_;
};

} // namespace jacinthroad
