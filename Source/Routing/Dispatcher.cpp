#include "Routing/Dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr std::size_t MaximumOutputLengthGroups = 16384;
// Recomputed tokens of attempts that start within this time of a cache loss are attributed to it.
constexpr Duration EpochAttributionTime = std::chrono::seconds(20);
// A retried request may wait this many times the first-token limit. The limit is meant for requests
// that have not been attempted yet.
constexpr double RetryDeadlineFactor = 10;
// A started stream may wait this long to be resumed; in practice until its caller gives up.
constexpr Duration ResumedStreamWait = std::chrono::minutes(10);
constexpr int FirstServerErrorStatus = 500;
constexpr double MinimumRetryAfterMs = 100;
constexpr double MaximumRetryAfterMs = 10000;
constexpr std::size_t MaximumStoredForPeers = 4096;

std::uint64_t lengthGroup(const RequestInfo &info)
{
    const std::uint64_t names = hash64(info.model.text(), hash64(info.team.text()));
    return mix64(names, info.maxOutputTokens.value_or(0));
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , policy_(options_.policy)
    , servers_(options_.health)
    , index_(options_.index)
    , outputLength_(MaximumOutputLengthGroups)
    , retries_(options_.retryShare, options_.retryReserve)
    , hedges_(options_.hedgeShare, options_.hedgeReserve)
    , quarantine_(options_.quarantine)
{ }

void Dispatcher::configure(std::span<const ServerInfo> servers,
                           const std::map<ModelId, ModelSettings> &modelSettings)
{
    servers_.configure(servers);
    index_.resize(servers_.size());
    modelSettings_ = modelSettings;
}

std::vector<DispatcherEffect> Dispatcher::handle(const DispatcherMessage &message, Instant now)
{
    std::visit([&](const auto &typed) { on(typed, now); }, message);
    return std::exchange(effects_, {});
}

std::vector<QuarantineRecord> Dispatcher::quarantineRecords(Instant now) const
{
    return quarantine_.records(now);
}

std::size_t Dispatcher::queuedRequests() const
{
    std::size_t count = 0;
    for (const auto &[model, queue] : queues_) {
        count += queue.queue.size();
    }
    return count;
}

std::vector<std::pair<ServerId, std::vector<BlockKey>>> Dispatcher::takeStoredBlocks()
{
    return std::exchange(storedForPeers_, {});
}

const ModelSettings &Dispatcher::settingsOf(const ModelId &model) const
{
    static const ModelSettings Defaults;
    const auto found = modelSettings_.find(model);
    return found == modelSettings_.end() ? Defaults : found->second;
}

void Dispatcher::on(const RequestArrived &message, Instant now)
{
    ++counters_.arrived;
    Request request;
    request.info = message.info;
    request.teamWeight = message.teamWeight;
    request.deliveredTokens = message.info.resumeAfterTokens;
    const double limitMs = settingsOf(message.info.model).firstTokenLimitMs;
    request.firstTokenDeadline = message.info.arrived + fromMilliseconds(limitMs);
    if (message.info.deadline.has_value()) {
        request.firstTokenDeadline = std::min(request.firstTokenDeadline, *message.info.deadline);
    }
    const std::uint32_t expected
        = outputLength_.predict(lengthGroup(message.info), message.info.maxOutputTokens);
    request.lengthClass = lengthClassOf(expected);

    const RequestId id = message.info.id;
    const auto [place, added] = requests_.emplace(id, std::move(request));
    if (!added) {
        return;
    }
    Request &newRequest = place->second;
    std::uint32_t &open = teamOpen_[newRequest.info.team];
    ++open;
    if (draining_) {
        refuse(newRequest, ErrorKind::Draining, now);
        return;
    }
    if (open > message.teamLimit) {
        refuse(newRequest, ErrorKind::TeamLimit, now);
        return;
    }
    learnUnsharedTokens(newRequest.info);
    retries_.earn(newRequest.info.team);
    hedges_.earn(newRequest.info.team);
    this->dispatchOrEnqueue(newRequest, now);
}

Dispatcher::Attempt *Dispatcher::findAttempt(Request &request, AttemptNumber number)
{
    const auto found
        = std::find_if(request.attempts.begin(), request.attempts.end(),
                       [&](const Attempt &attempt) { return attempt.number == number; });
    return found == request.attempts.end() ? nullptr : &*found;
}

void Dispatcher::releaseLoad(const Attempt &attempt, Instant now)
{
    ServerState &server = servers_.at(attempt.slot);
    server.own.inFlight -= 1;
    server.own.longJobs -= attempt.longJob ? 1 : 0;
    if (!attempt.firstToken) {
        servers_.notePrefillFinished(attempt.slot, attempt.waitingPrefill, attempt.firstTokenDue,
                                     now);
    }
    server.exclusiveRuns -= attempt.exclusive ? 1 : 0;
}

void Dispatcher::removeAttempt(Request &request, AttemptNumber number)
{
    std::erase_if(request.attempts,
                  [&](const Attempt &attempt) { return attempt.number == number; });
}

void Dispatcher::on(const FirstTokenReceived &message, Instant now)
{
    const auto found = requests_.find(message.id);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    Attempt *attempt = findAttempt(request, message.attempt);
    if (attempt == nullptr || attempt->firstToken) {
        return;
    }
    attempt->firstToken = true;
    if (request.deliveredTokens == 0) {
        const double firstTokenMs = toMilliseconds(now - request.info.arrived);
        observe(request, Objective::FirstToken,
                firstTokenMs <= settingsOf(request.info.model).firstTokenTargetMs);
    }
    ServerState &server = servers_.at(attempt->slot);
    servers_.notePrefillFinished(attempt->slot, attempt->waitingPrefill, attempt->firstTokenDue,
                                 now);
    server.health.noteSuccess();
    server.lastReceivedAt = now;
    noteStoredForPeers(attempt->slot, request.info.blocks);
    if (auto *policy = std::get_if<PredictedCostPolicy>(&policy_)) {
        policy->noteFirstToken(request.info.model, attempt->choice, server.health.slowdown(now),
                               toMilliseconds(now - attempt->started));
        servers_.setPrefillTime(request.info.model, policy->prefillMsPerToken(request.info.model));
    }
    // The first attempt that returns a token serves the caller; the others are cancelled.
    const AttemptNumber winner = attempt->number;
    const std::vector<Attempt> attempts = request.attempts;
    for (const Attempt &other : attempts) {
        if (other.number == winner) {
            continue;
        }
        effects_.emplace_back(CancelAttempt { .id = request.info.id, .attempt = other.number });
        releaseLoad(other, now);
        request.record.noteMayHaveRun();
        removeAttempt(request, other.number);
    }
    dispatchQueued(request.info.model, now);
}

void Dispatcher::on(const AttemptProgress &message, Instant now)
{
    const auto found = requests_.find(message.id);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    Attempt *attempt = findAttempt(request, message.attempt);
    if (attempt == nullptr) {
        return;
    }
    request.deliveredTokens = message.deliveredTokens;
    if (message.gapMs > 0) {
        observe(request, Objective::TokenGap,
                message.gapMs <= settingsOf(request.info.model).tokenGapTargetMs);
        servers_.noteTokenGap(attempt->slot, message.gapMs, now);
    }
    if (!attempt->longJob && message.deliveredTokens >= LongOutputTokens) {
        // The job exceeded its predicted length: from now on it counts as a long job.
        ++counters_.demotions;
        attempt->longJob = true;
        request.lengthClass = LengthClass::Long;
        servers_.at(attempt->slot).own.longJobs += 1;
    }
}

void Dispatcher::bookUsage(const Request &request, const Attempt &attempt,
                           const AttemptEnded &message)
{
    LedgerLine line;
    if (message.promptTokens.has_value()) {
        const auto cached = static_cast<double>(message.cachedTokens.value_or(0));
        const ServerState &server = servers_.at(attempt.slot);
        RecomputeReason reason = RecomputeReason::Evicted;
        if (attempt.recomputeReason.has_value()) {
            reason = *attempt.recomputeReason;
        } else if (server.epochChangedAt.has_value()
                   && attempt.started - *server.epochChangedAt < EpochAttributionTime
                   && attempt.matchedTokens <= cached) {
            reason = server.epochChangedByWeights ? RecomputeReason::NewWeights
                                                  : RecomputeReason::Crash;
        } else if (attempt.matchedTokens <= cached && attempt.otherMatchedTokens > cached) {
            reason = RecomputeReason::RoutedAway;
        }
        line = ledgerLineOf(
            { .promptTokens = *message.promptTokens,
              .cachedTokens = message.cachedTokens.value_or(0),
              .previouslyComputedTokens = static_cast<std::uint64_t>(attempt.seenTokens),
              .reason = reason });
    }
    line.decoded = message.deliveredTokens
        - std::min(message.deliveredTokens, request.info.resumeAfterTokens);
    line.requests = 1;
    ledger_.add(request.info.team, request.info.model, line);
}

void Dispatcher::complete(Request &request, const Attempt &attempt, const AttemptEnded &message,
                          Instant now)
{
    request.record.noteRan();
    servers_.at(attempt.slot).lastReceivedAt = now;
    quarantine_.noteFinished(request.info.fingerprint, now);
    servers_.at(attempt.slot).health.noteSuccess();
    outputLength_.observe(lengthGroup(request.info), message.deliveredTokens);
    bookUsage(request, attempt, message);
    if (message.cachedTokens.has_value()) {
        const double blockTokens = settingsOf(request.info.model).blockTokens;
        const auto cached = static_cast<double>(*message.cachedTokens);
        index_.noteObserved(attempt.slot, request.info.blocks,
                            static_cast<std::size_t>(cached / blockTokens), now);
        index_.noteStored(attempt.slot, request.info.blocks, now);
        if (auto *policy = std::get_if<PredictedCostPolicy>(&policy_)) {
            policy->noteAssumption(attempt.choice.assumedTokens, cached - attempt.matchedTokens);
        }
    }
    if (auto *policy = std::get_if<PredictedCostPolicy>(&policy_)) {
        policy->noteJobDuration(request.info.model, toMilliseconds(now - attempt.started));
    }
    ++counters_.finished;
    observe(request, Objective::Success, true);
    effects_.emplace_back(RequestFinished { .id = request.info.id });
}

void Dispatcher::on(const AttemptEnded &message, Instant now)
{
    const auto found = requests_.find(message.id);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    const Attempt *known = findAttempt(request, message.attempt);
    if (known == nullptr) {
        return;
    }
    const Attempt attempt = *known;
    const ModelId model = request.info.model;
    releaseLoad(attempt, now);
    removeAttempt(request, message.attempt);
    request.deliveredTokens = std::max(request.deliveredTokens, message.deliveredTokens);
    if (message.end == AttemptEnd::Completed) {
        complete(request, attempt, message, now);
        removeRequest(message.id);
    } else {
        handleFailure(request, attempt, message.end, now);
    }
    dispatchQueued(model, now);
}

void Dispatcher::noteServerCrash(ServerSlot slot, const Attempt &attempt, const Request &request,
                                 Instant now)
{
    const RequestFingerprint fingerprint = request.info.fingerprint;
    crashLog_.noteRequestAtCrash(slot, fingerprint, now);
    // If servers also crash without this request, a crash during its exclusive run proves nothing.
    const bool proof = attempt.exclusive && !crashLog_.hasUnrelatedCrash(fingerprint, now);
    quarantine_.noteCrash(fingerprint, proof, now);
    dropCache(slot);
    servers_.at(slot).epochChangedAt = now;
    servers_.at(slot).epochChangedByWeights = false;
}

void Dispatcher::handleFailure(Request &request, const Attempt &attempt, AttemptEnd end,
                               Instant now)
{
    ServerState &server = servers_.at(attempt.slot);
    switch (end) {
    case AttemptEnd::NotSent:
        request.record.noteNotRun();
        server.health.noteFailure(now);
        break;
    case AttemptEnd::Rejected:
        request.record.noteNotRun();
        break;
    case AttemptEnd::Broken:
        request.record.noteMayHaveRun();
        server.health.noteFailure(now);
        noteServerCrash(attempt.slot, attempt, request, now);
        request.nextRecomputeReason = RecomputeReason::Crash;
        break;
    case AttemptEnd::Stalled:
        ++counters_.stalls;
        request.record.noteMayHaveRun();
        server.health.noteFailure(now);
        request.nextRecomputeReason = RecomputeReason::Retry;
        break;
    case AttemptEnd::Crossed:
        ++counters_.crossed;
        request.record.noteMayHaveRun();
        request.nextRecomputeReason = RecomputeReason::Retry;
        break;
    case AttemptEnd::Completed:
    case AttemptEnd::Cancelled:
        request.record.noteMayHaveRun();
        break;
    }
    if (!request.attempts.empty()) {
        return;
    }
    request.failedServers.insert(attempt.slot);
    // A stream that has started must be completed, even without retry budget.
    const bool streamStarted = request.deliveredTokens > 0;
    const unsigned attemptLimit
        = streamStarted ? options_.maximumAttemptsAfterFirstToken : options_.maximumAttempts;
    const bool allowed = retries_.spend(request.info.team) || streamStarted;
    if (request.lastAttempt >= attemptLimit || !allowed) {
        refuse(request, ErrorKind::BackendFailed, now);
        return;
    }
    ++counters_.retries;
    if (!request.info.deadline.has_value()) {
        const double limitMs = settingsOf(request.info.model).firstTokenLimitMs;
        const Duration maximumWait
            = streamStarted ? ResumedStreamWait : fromMilliseconds(RetryDeadlineFactor * limitMs);
        request.firstTokenDeadline = std::max(request.firstTokenDeadline, now + maximumWait);
    }
    dispatchOrEnqueue(request, now);
}

void Dispatcher::on(const CallerDisconnected &message, Instant now)
{
    const auto found = requests_.find(message.id);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    const ModelId model = request.info.model;
    LedgerLine line;
    line.requests = 1;
    line.discarded = request.deliveredTokens;
    for (const Attempt &attempt : request.attempts) {
        effects_.emplace_back(CancelAttempt { .id = message.id, .attempt = attempt.number });
        releaseLoad(attempt, now);
    }
    ledger_.add(request.info.team, model, line);
    effects_.emplace_back(RequestAbandoned { .id = message.id });
    removeRequest(message.id);
    dispatchQueued(model, now);
}

void Dispatcher::noteStoredForPeers(ServerSlot slot, std::span<const BlockKey> keys)
{
    if (storedForPeers_.size() < MaximumStoredForPeers) {
        storedForPeers_.emplace_back(servers_.at(slot).info.id,
                                     std::vector<BlockKey>(keys.begin(), keys.end()));
    }
}

void Dispatcher::dropCache(ServerSlot slot)
{
    index_.newEpoch(slot);
}

void Dispatcher::on(const ServerReported &message, Instant now)
{
    const auto slot = servers_.find(message.server);
    if (!slot.has_value()) {
        return;
    }
    if (servers_.noteReport(*slot, message.report, now)) {
        dropCache(*slot);
    }
}

void Dispatcher::on(const CacheEventsReceived &message, Instant now)
{
    const auto slot = servers_.find(message.server);
    if (!slot.has_value()) {
        return;
    }
    const std::uint64_t incarnation = servers_.at(*slot).incarnation;
    if (incarnation != 0 && message.incarnation != incarnation) {
        return;
    }
    std::uint64_t &next = nextEventSequence_[message.server];
    if (next != 0 && message.firstSequence > next) {
        dropCache(*slot);
    }
    next = message.firstSequence + message.count;
    index_.noteStored(*slot, message.stored, now);
    index_.noteRemoved(*slot, message.removed);
}

void Dispatcher::on(const PeerReported &message, Instant now)
{
    for (const auto &[server, load] : message.loads) {
        if (const auto slot = servers_.find(server)) {
            servers_.notePeerLoad(message.peer, *slot, load, now);
        }
    }
    for (const auto &[server, keys] : message.stored) {
        if (const auto slot = servers_.find(server)) {
            index_.noteStored(*slot, keys, now);
        }
    }
    for (const QuarantineRecord &record : message.quarantine) {
        quarantine_.merge(record, now);
    }
}

void Dispatcher::on(const Tick &, Instant now)
{
    for (auto &[model, queue] : queues_) {
        refuseExpired(queue, now);
        dispatchQueued(model, now);
        releaseReservations(model, now);
    }
    if (!usesAdmissionQueue(policy_)) {
        return;
    }
    for (auto &[id, request] : requests_) {
        hedge(request, now);
    }
}

void Dispatcher::on(const DrainStarted &, Instant)
{
    draining_ = true;
}

void Dispatcher::observe(const Request &request, Objective objective, bool met)
{
    effects_.emplace_back(ObjectiveObserved { .team = request.info.team,
                                              .model = request.info.model,
                                              .objective = objective,
                                              .met = met });
}

void Dispatcher::refuse(Request &request, ErrorKind kind, Instant now)
{
    static_cast<void>(now);
    ++counters_.refused;
    // Caller errors don't count against the success objective.
    if (errorResponse(kind).status >= FirstServerErrorStatus) {
        observe(request, Objective::Success, false);
    }
    const ModelQueue &queue = queues_[request.info.model];
    double retryAfterMs = errorResponse(kind).retryAfterMs;
    if (kind == ErrorKind::Overloaded && queue.workPerMs > 0) {
        retryAfterMs = std::clamp(queue.queue.waitingWork() / queue.workPerMs, MinimumRetryAfterMs,
                                  MaximumRetryAfterMs);
    }
    effects_.emplace_back(RefuseRequest { .id = request.info.id,
                                          .kind = kind,
                                          .notRun = request.record.verdict(),
                                          .retryAfterMs = std::llround(retryAfterMs) });
    removeRequest(request.info.id);
}

void Dispatcher::removeRequest(const RequestId &id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const Request &request = found->second;
    if (request.queued) {
        queues_[request.info.model].queue.remove(id);
    }
    const auto team = teamOpen_.find(request.info.team);
    if (--team->second == 0) {
        teamOpen_.erase(team);
    }
    requests_.erase(found);
}

} // namespace jacinthroad
