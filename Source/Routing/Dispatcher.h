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

/// Settings of a Dispatcher. Durations are in the time of the servers, which a test bench may
/// run faster than real time.
struct DispatcherOptions
{
    Policy policy = PredictedCostPolicy {};
    std::uint64_t seed = 1;
    PrefixIndexOptions index {};
    ServerHealthOptions health {};
    QuarantineOptions quarantine {};
    /// Second attempts allowed for each first one.
    double retryShare = 0.2;
    double retryReserve = 20;
    unsigned maximumAttempts = 4;
    /// Attempts for a request of which the caller holds a part already.
    unsigned maximumAttemptsAfterFirstToken = 10;
    /// A second server is tried when the first token takes this many times its prediction.
    double hedgeFactor = 4;
    /// and at least this long.
    Duration hedgeMinimum = milliseconds(400);
    /// Hedges allowed for each first attempt.
    double hedgeShare = 0.03;
    /// Hedges that a team may save up.
    double hedgeReserve = 2;
    /// Most requests that wait for one model; further ones are refused.
    std::size_t maximumQueue = 4096;
    /// Share of a model's servers kept in use whatever their health says.
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

/// The decision core: it takes messages with their time and gives effects. It owns no socket,
/// thread or clock and its randomness comes from the seed, so the same messages always give the
/// same effects. One instance serves one node and belongs to its control thread.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// Takes the backend servers and terms of models now in force. Requests under way on a
    /// server that went finish there; waiting ones choose anew.
    void configure(std::span<const ServerInfo> servers,
                   const std::map<ModelId, ModelSettings> &terms);

    /// Forgets what a peer that left had told.
    void dropPeer(const NodeId &peer) { servers_.dropPeer(peer); }

    /// Takes one message and returns what to do about it.
    [[nodiscard]] std::vector<DispatcherEffect> handle(const DispatcherMessage &message,
                                                       Instant now);

    [[nodiscard]] const DispatcherCounters &counters() const { return counters_; }
    [[nodiscard]] const Ledger &ledger() const { return ledger_; }
    [[nodiscard]] const ServerTable &servers() const { return servers_; }
    [[nodiscard]] const PrefixIndex &index() const { return index_; }
    [[nodiscard]] std::vector<QuarantineRecord> quarantineRecords(Instant now) const;
    /// Requests that wait in this node.
    [[nodiscard]] std::size_t queuedRequests() const;
    /// Requests that are under way or wait.
    [[nodiscard]] std::size_t openRequests() const { return requests_.size(); }
    /// Requests under way or waiting, by team.
    [[nodiscard]] const std::map<TeamId, std::uint32_t> &openRequestsByTeam() const
    {
        return teamOpen_;
    }
    /// Blocks this node caused servers to hold since the last call, for peers.
    [[nodiscard]] std::vector<std::pair<ServerId, std::vector<BlockKey>>> takeStoredBlocks();

private:
    struct Attempt
    {
        AttemptNumber number = 0;
        ServerSlot slot = 0;
        Instant started;
        /// When the first token is predicted.
        Instant due;
        Choice choice;
        double waitingPrefill = 0;
        double matchedTokens = 0;
        double otherMatchedTokens = 0;
        double seenTokens = 0;
        bool longJob = false;
        bool firstToken = false;
        bool alone = false;
        bool hedge = false;
        /// The reason to book a recomputation under when it was caused by an earlier attempt.
        std::optional<RecomputeReason> cause;
    };
    struct Request
    {
        RequestInfo facts;
        double teamWeight = 1;
        LengthClass lengthClass = LengthClass::Normal;
        DispatchRecord record;
        std::vector<Attempt> attempts;
        AttemptNumber lastAttempt = 0;
        std::uint32_t deliveredTokens = 0;
        bool queued = false;
        Instant limit;
        std::set<ServerSlot> failedAt;
        std::optional<RecomputeReason> nextCause;
    };
    /// Waiting work of one model and how fast it has been leaving.
    struct ModelQueue
    {
        FairQueue queue;
        double workPerMs = 0;
        double servedWork = 0;
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

    [[nodiscard]] const ModelSettings &termsOf(const ModelId &model) const;
    [[nodiscard]] std::vector<ServerSlot> candidates(const Request &request, Instant now) const;
    [[nodiscard]] std::size_t soloLimit(const ModelId &model) const;
    [[nodiscard]] std::vector<ServerSlot> soloCandidates(const Request &request, Instant now) const;
    [[nodiscard]] double sharedTokens(const RequestInfo &facts) const;
    void learnTail(const RequestInfo &facts);
    void reserveForSuspects(const ModelId &model, Instant now);
    void releaseReservations(const ModelId &model, Instant now);
    [[nodiscard]] std::optional<Choice> chooseFor(Request &request,
                                                  std::span<const ServerSlot> slots, Instant now);

    /// Sends the request off, or queues it, or refuses it.
    void place(Request &request, Instant now);
    [[nodiscard]] bool tryStart(Request &request, Instant now);
    /// Place among waiting requests, in this node and at the engine.
    [[nodiscard]] Instant rankOf(const Request &request) const;
    void enqueue(Request &request, Instant now);
    void start(Request &request, const Choice &choice, bool alone, bool hedge, Instant now);
    void pump(const ModelId &model, Instant now);
    void refuseExpired(ModelQueue &queue, Instant now);
    void hedge(Request &request, Instant now);
    [[nodiscard]] double fairWaitMs(const ModelQueue &queue, const Request &request) const;

    Attempt *findAttempt(Request &request, AttemptNumber number);
    void releaseLoad(const Attempt &attempt, Instant now);
    void removeAttempt(Request &request, AttemptNumber number);
    void complete(Request &request, const Attempt &attempt, const AttemptEnded &message,
                  Instant now);
    void afterFailure(Request &request, const Attempt &attempt, AttemptEnd end, Instant now);
    void noteServerCrash(ServerSlot slot, const Attempt &attempt, const Request &request,
                         Instant now);
    void bookUsage(const Request &request, const Attempt &attempt, const AttemptEnded &message);
    void observe(const Request &request, Objective objective, bool met);
    void refuse(Request &request, ErrorKind kind, Instant now);
    void forget(const RequestId &id);
    void measureThroughput(ModelQueue &queue, Instant now);
    void noteStoredForPeers(ServerSlot slot, std::span<const BlockKey> keys);
    void dropCache(ServerSlot slot);

    DispatcherOptions options_;
    std::mt19937_64 random_;
    Policy policy_;
    ServerTable servers_;
    std::map<ModelId, ModelSettings> terms_;
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
    /// Learned length of the part of a prompt that no other request shares.
    std::map<ModelId, double> tailTokens_;
    std::map<TeamId, std::uint32_t> teamOpen_;
    std::map<ServerId, std::uint64_t> nextEvent_;
    std::vector<std::pair<ServerId, std::vector<BlockKey>>> storedForPeers_;
    bool draining_ = false;
    std::vector<DispatcherEffect> effects_;
};

} // namespace jacinthroad
