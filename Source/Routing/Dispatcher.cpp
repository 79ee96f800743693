#include "Routing/Dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr std::size_t OutputLengthGroups = 16384;
// A cache lost less than this ago is the reason for what must be computed again.
constexpr Duration EpochReasonTime = std::chrono::seconds(20);
// How many times longer than usual a request whose server crashed may wait for its first token.
constexpr double SuspectPatience = 10;
// A begun stream waits for its rest as long as its caller does.
constexpr Duration BegunPatience = std::chrono::minutes(10);
constexpr int LeastServerErrorStatus = 500;
constexpr double LeastRetryAfterMs = 100;
constexpr double MostRetryAfterMs = 10000;
constexpr std::size_t MostStoredForPeers = 4096;

std::uint64_t lengthGroup(const RequestFacts &facts)
{
    const std::uint64_t names = hash64(facts.model.text(), hash64(facts.team.text()));
    return mix64(names, facts.outputBound.value_or(0));
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , policy_(options_.policy)
    , servers_(options_.health)
    , index_(options_.index)
    , outputLength_(OutputLengthGroups)
    , retries_(options_.retryShare, options_.retryReserve)
    , hedges_(options_.hedgeShare, options_.hedgeReserve)
    , quarantine_(options_.quarantine)
{ }

void Dispatcher::configure(std::span<const ServerFacts> servers,
                           const std::map<ModelId, ModelTerms> &terms)
{
    servers_.configure(servers);
    index_.resize(servers_.size());
    terms_ = terms;
}

std::vector<DispatcherEffect> Dispatcher::handle(const DispatcherMessage &message, Instant now)
{
    std::visit([&](const auto &typed) { on(typed, now); }, message);
    return std::exchange(effects_, {});
}

std::vector<QuarantineRecord> Dispatcher::quarantine(Instant now) const
{
    return quarantine_.records(now);
}

std::size_t Dispatcher::queued() const
{
    std::size_t count = 0;
    for (const auto &[model, queue] : queues_) {
        count += queue.queue.size();
    }
    return count;
}

std::vector<std::pair<ServerId, std::vector<BlockKey>>> Dispatcher::takeStored()
{
    return std::exchange(storedForPeers_, {});
}

const ModelTerms &Dispatcher::termsOf(const ModelId &model) const
{
    static const ModelTerms Usual;
    const auto found = terms_.find(model);
    return found == terms_.end() ? Usual : found->second;
}

void Dispatcher::on(const RequestArrived &message, Instant now)
{
    ++counters_.arrived;
    Request request;
    request.facts = message.facts;
    request.teamWeight = message.teamWeight;
    request.deliveredTokens = message.facts.resumeAfterTokens;
    const double limitMs = termsOf(message.facts.model).firstTokenLimitMs;
    request.limit = message.facts.arrived + fromMilliseconds(limitMs);
    if (message.facts.deadline.has_value()) {
        request.limit = std::min(request.limit, *message.facts.deadline);
    }
    const std::uint32_t expected
        = outputLength_.expect(lengthGroup(message.facts), message.facts.outputBound);
    request.lengthClass = lengthClassOf(expected);

    const RequestId id = message.facts.id;
    const auto [place, added] = requests_.emplace(id, std::move(request));
    if (!added) {
        return;
    }
    Request &kept = place->second;
    std::uint32_t &open = teamOpen_[kept.facts.team];
    ++open;
    if (draining_) {
        refuse(kept, ErrorKind::Draining, now);
        return;
    }
    if (open > message.teamLimit) {
        refuse(kept, ErrorKind::TeamLimit, now);
        return;
    }
    learnTail(kept.facts);
    retries_.earn(kept.facts.team);
    hedges_.earn(kept.facts.team);
    this->place(kept, now);
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
        servers_.noteComputed(attempt.slot, attempt.waitingPrefill, attempt.due, now);
    }
    server.soloRuns -= attempt.alone ? 1 : 0;
}

void Dispatcher::removeAttempt(Request &request, AttemptNumber number)
{
    std::erase_if(request.attempts,
                  [&](const Attempt &attempt) { return attempt.number == number; });
}

void Dispatcher::on(const FirstTokenSeen &message, Instant now)
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
        const double firstTokenMs = toMilliseconds(now - request.facts.arrived);
        observe(request, Objective::FirstToken,
                firstTokenMs <= termsOf(request.facts.model).firstTokenTargetMs);
    }
    ServerState &server = servers_.at(attempt->slot);
    servers_.noteComputed(attempt->slot, attempt->waitingPrefill, attempt->due, now);
    server.health.noteSuccess();
    server.lastHeard = now;
    noteStoredForPeers(attempt->slot, request.facts.blocks);
    if (auto *policy = std::get_if<PredictedCostPolicy>(&policy_)) {
        policy->noteFirstToken(request.facts.model, attempt->choice, server.health.slowdown(now),
                               toMilliseconds(now - attempt->started));
        servers_.setPrefillTime(request.facts.model,
                                policy->msPerPrefillToken(request.facts.model));
    }
    // The first of several attempts to speak is the one that answers.
    const AttemptNumber winner = attempt->number;
    const std::vector<Attempt> attempts = request.attempts;
    for (const Attempt &other : attempts) {
        if (other.number == winner) {
            continue;
        }
        effects_.emplace_back(CancelAttempt { .id = request.facts.id, .attempt = other.number });
        releaseLoad(other, now);
        request.record.noteMayHaveRun();
        removeAttempt(request, other.number);
    }
    pump(request.facts.model, now);
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
                message.gapMs <= termsOf(request.facts.model).tokenGapTargetMs);
        servers_.noteTokenGap(attempt->slot, message.gapMs, now);
    }
    if (!attempt->longJob && message.deliveredTokens >= LongOutputTokens) {
        // Taken for shorter than it is: from here on it holds a long job's slot.
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
        if (attempt.cause.has_value()) {
            reason = *attempt.cause;
        } else if (server.epochChanged.has_value()
                   && attempt.started - *server.epochChanged < EpochReasonTime
                   && attempt.matchedTokens <= cached) {
            reason = server.epochIsWeights ? RecomputeReason::NewWeights : RecomputeReason::Crash;
        } else if (attempt.matchedTokens <= cached && attempt.otherMatchedTokens > cached) {
            reason = RecomputeReason::RoutedAway;
        }
        line = ledgerLineOf({ .promptTokens = *message.promptTokens,
                              .cachedTokens = message.cachedTokens.value_or(0),
                              .seenTokens = static_cast<std::uint64_t>(attempt.seenTokens),
                              .reason = reason });
    }
    line.decoded = message.deliveredTokens
        - std::min(message.deliveredTokens, request.facts.resumeAfterTokens);
    line.requests = 1;
    ledger_.add(request.facts.team, request.facts.model, line);
}

void Dispatcher::complete(Request &request, const Attempt &attempt, const AttemptEnded &message,
                          Instant now)
{
    request.record.noteRan();
    servers_.at(attempt.slot).lastHeard = now;
    quarantine_.noteFinished(request.facts.fingerprint, now);
    servers_.at(attempt.slot).health.noteSuccess();
    outputLength_.observe(lengthGroup(request.facts), message.deliveredTokens);
    bookUsage(request, attempt, message);
    if (message.cachedTokens.has_value()) {
        const double blockTokens = termsOf(request.facts.model).blockTokens;
        const auto cached = static_cast<double>(*message.cachedTokens);
        index_.noteObserved(attempt.slot, request.facts.blocks,
                            static_cast<std::size_t>(cached / blockTokens), now);
        index_.noteStored(attempt.slot, request.facts.blocks, now);
        if (auto *policy = std::get_if<PredictedCostPolicy>(&policy_)) {
            policy->noteAssumption(attempt.choice.assumedTokens, cached - attempt.matchedTokens);
        }
    }
    if (auto *policy = std::get_if<PredictedCostPolicy>(&policy_)) {
        policy->noteJob(request.facts.model, toMilliseconds(now - attempt.started));
    }
    ++counters_.finished;
    observe(request, Objective::Success, true);
    effects_.emplace_back(RequestFinished { .id = request.facts.id });
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
    const ModelId model = request.facts.model;
    releaseLoad(attempt, now);
    removeAttempt(request, message.attempt);
    request.deliveredTokens = std::max(request.deliveredTokens, message.deliveredTokens);
    if (message.end == AttemptEnd::Completed) {
        complete(request, attempt, message, now);
        forget(message.id);
    } else {
        afterFailure(request, attempt, message.end, now);
    }
    pump(model, now);
}

void Dispatcher::noteServerCrash(ServerSlot slot, const Attempt &attempt, const Request &request,
                                 Instant now)
{
    const RequestFingerprint fingerprint = request.facts.fingerprint;
    crashLog_.note(slot, fingerprint, now);
    // While servers crash without this request too, a crash beside its solo run proves nothing.
    const bool proof = attempt.alone && !crashLog_.hasUnrelated(fingerprint, now);
    quarantine_.noteCrash(fingerprint, proof, now);
    dropCache(slot);
    servers_.at(slot).epochChanged = now;
    servers_.at(slot).epochIsWeights = false;
}

void Dispatcher::afterFailure(Request &request, const Attempt &attempt, AttemptEnd end, Instant now)
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
        request.nextCause = RecomputeReason::Crash;
        break;
    case AttemptEnd::Stalled:
        ++counters_.stalls;
        request.record.noteMayHaveRun();
        server.health.noteFailure(now);
        request.nextCause = RecomputeReason::Retry;
        break;
    case AttemptEnd::Crossed:
        ++counters_.crossed;
        request.record.noteMayHaveRun();
        request.nextCause = RecomputeReason::Retry;
        break;
    case AttemptEnd::Completed:
    case AttemptEnd::Cancelled:
        request.record.noteMayHaveRun();
        break;
    }
    if (!request.attempts.empty()) {
        return;
    }
    request.failedAt.insert(attempt.slot);
    // A stream that has begun must be completed, whatever the budget says.
    const bool begun = request.deliveredTokens > 0;
    const unsigned most = begun ? options_.maximumAttemptsBegun : options_.maximumAttempts;
    const bool allowed = retries_.spend(request.facts.team) || begun;
    if (request.lastAttempt >= most || !allowed) {
        refuse(request, ErrorKind::BackendFailed, now);
        return;
    }
    ++counters_.retries;
    if (!request.facts.deadline.has_value()) {
        // The limit is for requests that nobody tried to serve yet.
        const double limitMs = termsOf(request.facts.model).firstTokenLimitMs;
        const Duration patience
            = begun ? BegunPatience : fromMilliseconds(SuspectPatience * limitMs);
        request.limit = std::max(request.limit, now + patience);
    }
    place(request, now);
}

void Dispatcher::on(const CallerLeft &message, Instant now)
{
    const auto found = requests_.find(message.id);
    if (found == requests_.end()) {
        return;
    }
    Request &request = found->second;
    const ModelId model = request.facts.model;
    LedgerLine line;
    line.requests = 1;
    line.thrownAway = request.deliveredTokens;
    for (const Attempt &attempt : request.attempts) {
        effects_.emplace_back(CancelAttempt { .id = message.id, .attempt = attempt.number });
        releaseLoad(attempt, now);
    }
    ledger_.add(request.facts.team, model, line);
    effects_.emplace_back(RequestAbandoned { .id = message.id });
    forget(message.id);
    pump(model, now);
}

void Dispatcher::noteStoredForPeers(ServerSlot slot, std::span<const BlockKey> keys)
{
    if (storedForPeers_.size() < MostStoredForPeers) {
        storedForPeers_.emplace_back(servers_.at(slot).facts.id,
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

void Dispatcher::on(const CacheEventsSeen &message, Instant now)
{
    const auto slot = servers_.find(message.server);
    if (!slot.has_value()) {
        return;
    }
    const std::uint64_t incarnation = servers_.at(*slot).incarnation;
    if (incarnation != 0 && message.incarnation != incarnation) {
        return;
    }
    std::uint64_t &next = nextEvent_[message.server];
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

void Dispatcher::on(const TimePassed &, Instant now)
{
    for (auto &[model, queue] : queues_) {
        refuseExpired(queue, now);
        pump(model, now);
        releaseReservations(model, now);
    }
    if (!admits(policy_)) {
        return;
    }
    for (auto &[id, request] : requests_) {
        hedge(request, now);
    }
}

void Dispatcher::on(const DrainBegun &, Instant)
{
    draining_ = true;
}

void Dispatcher::observe(const Request &request, Objective objective, bool met)
{
    effects_.emplace_back(ObjectiveObserved { .team = request.facts.team,
                                              .model = request.facts.model,
                                              .objective = objective,
                                              .met = met });
}

void Dispatcher::refuse(Request &request, ErrorKind kind, Instant now)
{
    static_cast<void>(now);
    ++counters_.refused;
    // What the caller did wrong is no miss of ours.
    if (errorResponse(kind).status >= LeastServerErrorStatus) {
        observe(request, Objective::Success, false);
    }
    const ModelQueue &queue = queues_[request.facts.model];
    double retryAfterMs = errorResponse(kind).retryAfterMs;
    if (kind == ErrorKind::Overloaded && queue.workPerMs > 0) {
        retryAfterMs = std::clamp(queue.queue.waitingWork() / queue.workPerMs, LeastRetryAfterMs,
                                  MostRetryAfterMs);
    }
    effects_.emplace_back(RefuseRequest { .id = request.facts.id,
                                          .kind = kind,
                                          .notRun = request.record.verdict(),
                                          .retryAfterMs = std::llround(retryAfterMs) });
    forget(request.facts.id);
}

void Dispatcher::forget(const RequestId &id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    const Request &request = found->second;
    if (request.queued) {
        queues_[request.facts.model].queue.remove(id);
    }
    const auto team = teamOpen_.find(request.facts.team);
    if (--team->second == 0) {
        teamOpen_.erase(team);
    }
    requests_.erase(found);
}

} // namespace jacinthroad
