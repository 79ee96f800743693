#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Admission/FairQueue.h"
#include "Admission/OutputLengthEstimator.h"
#include "Ledger/Ledger.h"
#include "PrefixIndex/PrefixIndex.h"
#include "Quarantine/CrashLog.h"
#include "Quarantine/Quarantine.h"
#include "Retry/RetryBudget.h"
#include "Routing/DispatcherMessages.h"
#include "Routing/Policy.h"
#include "Routing/ServerTable.h"

namespace jacinthroad {

/// Settings of a Dispatcher. Durations refer to the servers' clock, which a test may run faster
/// than real time.
struct DispatcherOptions
{
    Policy policy = PredictedCostPolicy {};
    std::uint64_t seed = 1;
    PrefixIndexOptions index {};
    ServerHealthOptions health {};
    QuarantineOptions quarantine {};
    /// Retries allowed for each first attempt.
    double retryShare = 0.2;
    double retryReserve = 20;
    unsigned maximumAttempts = 4;
    /// Limit for a request of which the caller has already received output.
    unsigned maximumAttemptsAfterFirstToken = 10;
    /// A hedge is sent when the first token takes longer than this many times its predicted time
    /// and longer than hedgeMinimum.
    double hedgeFactor = 4;
    Duration hedgeMinimum = milliseconds(400);
    /// Hedges allowed for each first attempt.
    double hedgeShare = 0.03;
    /// Largest number of unused hedges that a team can accumulate.
    double hedgeReserve = 2;
    /// Most requests queued for one model; further ones are rejected.
    std::size_t maximumQueue = 4096;
    /// Minimum share of a model's servers kept in use regardless of their health.
    double minimumServingShare = 0.5;
};

/// Counts for metrics and tests.
struct DispatcherCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t stalls = 0;
    std::uint64_t crossed = 0;
    std::uint64_t demotions = 0;
};

/// The routing state machine: it takes timestamped messages and returns effects. It owns no
/// socket, thread or clock, and its randomness comes from the seed, so the same messages always
/// produce the same effects. One instance serves one node and belongs to its control thread.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// Applies the current backend servers and model settings. Requests in progress on a removed
    /// server finish there; queued ones are placed on the remaining servers.
    void configure(std::span<const ServerInfo> servers,
                   const std::map<ModelId, ModelSettings> &modelSettings);

    /// Discards the load reported by a peer that left.
    void dropPeer(const NodeId &peer) { servers_.dropPeer(peer); }

    /// Processes one message and returns the resulting effects.
    [[nodiscard]] std::vector<DispatcherEffect> handle(const DispatcherMessage &message,
                                                       Instant now);

    [[nodiscard]] const DispatcherCounters &counters() const { return counters_; }
    [[nodiscard]] const Ledger &ledger() const { return ledger_; }
    [[nodiscard]] const ServerTable &servers() const { return servers_; }
    [[nodiscard]] const PrefixIndex &index() const { return index_; }
    [[nodiscard]] std::vector<QuarantineRecord> quarantineRecords(Instant now) const;
    /// Requests queued in this node.
    [[nodiscard]] std::size_t queuedRequests() const;
    /// Requests in progress or queued.
    [[nodiscard]] std::size_t openRequests() const { return requests_.size(); }
    /// Requests in progress or queued, by team.
    [[nodiscard]] const std::map<TeamId, std::uint32_t> &openRequestsByTeam() const
    {
        return teamOpen_;
    }
    /// Blocks that this node's requests added to server caches since the last call, to be sent to
    /// peers.
    [[nodiscard]] std::vector<std::pair<ServerId, std::vector<BlockKey>>> takeStoredBlocks();

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        ServerSlot slot = 0;
        Instant started;
        /// Predicted time of the first token.
        Instant firstTokenDue;
        Choice choice;
        double waitingPrefill = 0;
        double matchedTokens = 0;
        double otherMatchedTokens = 0;
        double seenTokens = 0;
        bool longJob = false;
        bool firstToken = false;
        bool exclusive = false;
        bool hedge = false;
        /// Ledger reason for recomputed tokens if an earlier attempt or a hedge caused them.
        std::optional<RecomputeReason> recomputeReason;
    };
    struct Request
    {
        RequestInfo info;
        double teamWeight = 1;
        LengthClass lengthClass = LengthClass::Normal;
        DispatchRecord record;
        std::vector<Attempt> attempts;
        AttemptNumber lastAttempt = 0;
        std::uint32_t deliveredTokens = 0;
        bool queued = false;
        Instant firstTokenDeadline;
        std::set<ServerSlot> failedServers;
        std::optional<RecomputeReason> nextRecomputeReason;
    };
    /// Queued work of one model and the rate at which it is dispatched.
    struct ModelQueue
    {
        FairQueue queue;
        double workPerMs = 0;
        double dispatchedWork = 0;
        Instant measuredAt;
    };

    void on(const RequestArrived &message, Instant now);
    void on(const FirstTokenReceived &message, Instant now);
    void on(const AttemptProgress &message, Instant now);
    void on(const AttemptEnded &message, Instant now);
    void on(const CallerDisconnected &message, Instant now);
    void on(const ServerReported &message, Instant now);
    void on(const CacheEventsReceived &message, Instant now);
    void on(const PeerReported &message, Instant now);
    void on(const Tick &message, Instant now);
    void on(const DrainStarted &message, Instant now);

    [[nodiscard]] const ModelSettings &settingsOf(const ModelId &model) const;
    [[nodiscard]] std::vector<ServerSlot> candidates(const Request &request, Instant now) const;
    [[nodiscard]] std::size_t exclusiveServerLimit(const ModelId &model) const;
    [[nodiscard]] std::vector<ServerSlot> exclusiveCandidates(const Request &request,
                                                              Instant now) const;
    [[nodiscard]] double sharedTokens(const RequestInfo &info) const;
    void learnUnsharedTokens(const RequestInfo &info);
    void reserveForSuspects(const ModelId &model, Instant now);
    void releaseReservations(const ModelId &model, Instant now);
    [[nodiscard]] std::optional<Choice> chooseFor(Request &request,
                                                  std::span<const ServerSlot> slots, Instant now);

    /// Starts, queues or rejects the request.
    void dispatchOrEnqueue(Request &request, Instant now);
    [[nodiscard]] bool tryStart(Request &request, Instant now);
    /// Priority among queued requests, in this node and at the engine; earlier goes first.
    [[nodiscard]] Instant rankOf(const Request &request) const;
    void enqueue(Request &request, Instant now);
    void start(Request &request, const Choice &choice, bool exclusive, bool hedge, Instant now);
    void dispatchQueued(const ModelId &model, Instant now);
    void refuseExpired(ModelQueue &queue, Instant now);
    void hedge(Request &request, Instant now);
    [[nodiscard]] double queueWaitMs(const ModelQueue &queue, const Request &request) const;

    Attempt *findAttempt(Request &request, AttemptNumber number);
    void releaseLoad(const Attempt &attempt, Instant now);
    void removeAttempt(Request &request, AttemptNumber number);
    void complete(Request &request, const Attempt &attempt, const AttemptEnded &message,
                  Instant now);
    void handleFailure(Request &request, const Attempt &attempt, AttemptEnd end, Instant now);
    void noteServerCrash(ServerSlot slot, const Attempt &attempt, const Request &request,
                         Instant now);
    void bookUsage(const Request &request, const Attempt &attempt, const AttemptEnded &message);
    void observe(const Request &request, Objective objective, bool met);
    void refuse(Request &request, ErrorKind kind, Instant now);
    void removeRequest(const RequestId &id);
    void measureThroughput(ModelQueue &queue, Instant now);
    void noteStoredForPeers(ServerSlot slot, std::span<const BlockKey> keys);
    void dropCache(ServerSlot slot);

    DispatcherOptions options_;
    std::mt19937_64 random_;
    Policy policy_;
    ServerTable servers_;
    std::map<ModelId, ModelSettings> modelSettings_;
    PrefixIndex index_;
    OutputLengthEstimator outputLength_;
    RetryBudget retries_;
    RetryBudget hedges_;
    Quarantine quarantine_;
    CrashLog crashLog_;
    Ledger ledger_;
    DispatcherCounters counters_;
    std::unordered_map<RequestId, Request> requests_;
    std::map<ModelId, ModelQueue> queues_;
    /// Estimated length, in tokens, of the end of a prompt that no other request shares.
    std::map<ModelId, double> unsharedTokens_;
    std::map<TeamId, std::uint32_t> teamOpen_;
    std::map<ServerId, std::uint64_t> nextEventSequence_;
    std::vector<std::pair<ServerId, std::vector<BlockKey>>> storedForPeers_;
    bool draining_ = false;
    std::vector<DispatcherEffect> effects_;
};

} // namespace jacinthroad
