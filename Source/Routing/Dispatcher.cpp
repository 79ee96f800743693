#include "Routing/Dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr std::size_t OutputLengthGroups = 16384;
// Waiting requests looked at in one round, in fair order.
constexpr std::size_t PumpDepth = 32;
constexpr Duration ThroughputWindow = milliseconds(200);
constexpr double ThroughputWeight = 0.3;
// A cache lost less than this ago is the reason for what must be computed again.
constexpr Duration EpochReasonTime = std::chrono::seconds(20);
// Servers on which suspects may run at once, as a share of the model's servers.
constexpr double SoloShare = 0.5;
// How many times longer than usual a request whose server crashed may wait for its first token.
constexpr double SuspectPatience = 10;
// A begun stream waits for its rest as long as its caller does.
constexpr Duration BegunPatience = std::chrono::minutes(10);
// The tail is learned from prompts of which at least this share was seen before.
constexpr double LeastSeenShare = 0.7;
constexpr double TailQuantile = 0.9;
constexpr double TailStepTokens = 16;
// How much later a job of each class ranks, as a share of the first-token objective.
constexpr std::array<double, LengthClassCount> ClassDelayShares { 0, 0.2, 0.5 };
constexpr int LeastServerErrorStatus = 500;
constexpr double HedgeSlowdown = 2;
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

std::vector<ServerSlot> Dispatcher::candidates(const Request &request, Instant now) const
{
    const std::span<const ServerSlot> all = servers_.ofModel(request.facts.model);
    std::vector<ServerSlot> fresh;
    std::vector<ServerSlot> healthy;
    std::vector<ServerSlot> present;
    for (const ServerSlot slot : all) {
        const ServerState &row = servers_.at(slot);
        if (row.facts.leaving || row.soloRuns > 0 || row.reserved) {
            continue;
        }
        present.push_back(slot);
        if (!servers_.accepts(slot, now)) {
            continue;
        }
        healthy.push_back(slot);
        if (!request.failedAt.contains(slot)) {
            fresh.push_back(slot);
        }
    }
    // Ejection never takes more than its share: if most look dead, the fault may be ours.
    const double floor = options_.leastServingShare * static_cast<double>(present.size());
    if (static_cast<double>(healthy.size()) < floor) {
        std::erase_if(present, [&](ServerSlot slot) { return request.failedAt.contains(slot); });
        return present.empty() ? healthy : present;
    }
    return fresh.empty() ? healthy : fresh;
}

std::size_t Dispatcher::soloLimit(const ModelId &model) const
{
    const auto servers = static_cast<double>(servers_.ofModel(model).size());
    return static_cast<std::size_t>(std::max(1.0, SoloShare * servers));
}

void Dispatcher::reserveForSuspects(const ModelId &model, Instant now)
{
    std::vector<ServerSlot> free;
    std::size_t kept = 0;
    for (const ServerSlot slot : servers_.ofModel(model)) {
        const ServerState &row = servers_.at(slot);
        kept += row.reserved || row.soloRuns > 0 ? 1 : 0;
        if (servers_.accepts(slot, now) && !row.reserved && row.soloRuns == 0) {
            free.push_back(slot);
        }
    }
    // One server always stays for everybody else.
    if (kept >= soloLimit(model) || free.size() < 2) {
        return;
    }
    const auto least = std::min_element(free.begin(), free.end(), [&](ServerSlot a, ServerSlot b) {
        return servers_.at(a).own.inFlight < servers_.at(b).own.inFlight;
    });
    servers_.at(*least).reserved = true;
}

void Dispatcher::releaseReservations(const ModelId &model, Instant now)
{
    const bool suspectsWait = std::any_of(requests_.begin(), requests_.end(), [&](const auto &r) {
        const Request &request = r.second;
        return request.queued && request.facts.model == model
            && quarantine_.permission(request.facts.fingerprint, now) == RunPermission::Alone;
    });
    if (suspectsWait) {
        return;
    }
    for (const ServerSlot slot : servers_.ofModel(model)) {
        servers_.at(slot).reserved = false;
    }
}

std::vector<ServerSlot> Dispatcher::soloCandidates(const Request &request, Instant now) const
{
    const std::span<const ServerSlot> all = servers_.ofModel(request.facts.model);
    const std::size_t most = soloLimit(request.facts.model);
    std::size_t busy = 0;
    std::vector<ServerSlot> idle;
    for (const ServerSlot slot : all) {
        const ServerState &row = servers_.at(slot);
        busy += row.soloRuns > 0 ? 1 : 0;
        if (servers_.accepts(slot, now) && row.own.inFlight == 0) {
            idle.push_back(slot);
        }
    }
    if (busy >= most) {
        return {};
    }
    const auto failed = [&](ServerSlot slot) { return request.failedAt.contains(slot); };
    if (!std::all_of(idle.begin(), idle.end(), failed)) {
        std::erase_if(idle, failed);
    }
    return idle;
}

std::optional<Choice> Dispatcher::chooseFor(Request &request, std::span<const ServerSlot> slots,
                                            Instant now)
{
    const std::vector<std::uint32_t> matched = index_.matchAll(request.facts.blocks, now);
    const ChoiceContext context { .servers = servers_,
                                  .request = request.facts,
                                  .lengthClass = request.lengthClass,
                                  .terms = termsOf(request.facts.model),
                                  .sharedTokens = sharedTokens(request.facts),
                                  .candidates = slots,
                                  .matchedBlocks = matched,
                                  .now = now,
                                  .random = random_ };
    return choose(policy_, context);
}

double Dispatcher::sharedTokens(const RequestFacts &facts) const
{
    const auto tail = tailTokens_.find(facts.model);
    return facts.promptTokens - (tail == tailTokens_.end() ? 0 : tail->second);
}

void Dispatcher::learnTail(const RequestFacts &facts)
{
    const double seen
        = static_cast<double>(index_.seenBlocks(facts.blocks)) * termsOf(facts.model).blockTokens;
    if (seen < facts.promptTokens * LeastSeenShare) {
        return;
    }
    // A stochastic quantile: most tails are at most this long.
    double &tail = tailTokens_[facts.model];
    const double observed = facts.promptTokens - seen;
    tail += observed > tail ? TailStepTokens * TailQuantile : -TailStepTokens * (1 - TailQuantile);
    tail = std::max(0.0, tail);
}

void Dispatcher::place(Request &request, Instant now)
{
    const auto &all = servers_.ofModel(request.facts.model);
    if (all.empty()) {
        refuse(request, ErrorKind::NoBackendServer, now);
        return;
    }
    if (quarantine_.permission(request.facts.fingerprint, now) == RunPermission::Never) {
        refuse(request, ErrorKind::Quarantined, now);
        return;
    }
    const bool othersWait = admits(policy_) && queues_[request.facts.model].queue.size() > 0;
    if (othersWait || !tryStart(request, now)) {
        const RequestId id = request.facts.id;
        const ModelId model = request.facts.model;
        enqueue(request, now);
        if (requests_.contains(id)) {
            pump(model, now);
        }
    }
}

bool Dispatcher::tryStart(Request &request, Instant now)
{
    if (quarantine_.permission(request.facts.fingerprint, now) == RunPermission::Alone) {
        const auto idle = soloCandidates(request, now);
        const auto choice = chooseFor(request, idle, now);
        if (!choice.has_value()) {
            reserveForSuspects(request.facts.model, now);
            return false;
        }
        start(request, *choice, true, false, now);
        return true;
    }
    const auto choice = chooseFor(request, candidates(request, now), now);
    if (!choice.has_value() || choice->full) {
        return false;
    }
    start(request, *choice, false, false, now);
    return true;
}

double Dispatcher::fairWaitMs(const ModelQueue &queue, const Request &request) const
{
    if (queue.workPerMs <= 0) {
        return 0;
    }
    // An upper bound that ignores the fair order would refuse a small team for a large one's
    // backlog, so the wait is taken from the place that the fair order gives.
    const auto order = queue.queue.order(options_.maximumQueue);
    const auto position = std::find(order.begin(), order.end(), request.facts.id);
    const auto ahead = static_cast<double>(position - order.begin());
    const double meanWork
        = queue.queue.waitingWork() / std::max<double>(1, static_cast<double>(order.size()));
    return ahead * meanWork / queue.workPerMs;
}

Instant Dispatcher::rankOf(const Request &request) const
{
    const double targetMs = termsOf(request.facts.model).firstTokenTargetMs;
    const double share = ClassDelayShares[static_cast<std::size_t>(request.lengthClass)];
    return request.facts.arrived + fromMilliseconds(share * targetMs);
}

void Dispatcher::enqueue(Request &request, Instant now)
{
    ModelQueue &queue = queues_[request.facts.model];
    if (queue.queue.size() >= options_.maximumQueue) {
        refuse(request, ErrorKind::Overloaded, now);
        return;
    }
    const std::size_t seen = index_.seenBlocks(request.facts.blocks);
    const double uncached
        = std::max(1.0,
                   static_cast<double>(request.facts.promptTokens)
                       - static_cast<double>(seen) * termsOf(request.facts.model).blockTokens);
    request.queued = true;
    queue.queue.push({ .id = request.facts.id,
                       .team = request.facts.team,
                       .weight = request.teamWeight,
                       .rank = rankOf(request),
                       .work = uncached,
                       .deadline = request.limit });
    if (admits(policy_) && now + fromMilliseconds(fairWaitMs(queue, request)) > request.limit) {
        refuse(request, ErrorKind::Overloaded, now);
    }
}

void Dispatcher::start(Request &request, const Choice &choice, bool alone, bool hedge, Instant now)
{
    ModelQueue &queue = queues_[request.facts.model];
    if (request.queued) {
        queue.servedWork += queue.queue.served(request.facts.id);
        request.queued = false;
    }
    ServerState &server = servers_.at(choice.server);
    const double blockTokens = termsOf(request.facts.model).blockTokens;
    const std::vector<std::uint32_t> matched = index_.matchAll(request.facts.blocks, now);
    std::uint32_t elsewhere = 0;
    for (ServerSlot slot = 0; slot < servers_.size(); ++slot) {
        if (slot != choice.server) {
            elsewhere = std::max(elsewhere, matched[slot]);
        }
    }
    const double matchedTokens = matched[choice.server] * blockTokens;
    const Attempt attempt {
        .number = ++request.lastAttempt,
        .slot = choice.server,
        .started = now,
        .choice = choice,
        .waitingPrefill = std::max(
            0.0, request.facts.promptTokens - std::max(matchedTokens, choice.expectedCachedTokens)),
        .matchedTokens = matchedTokens,
        .otherMatchedTokens = elsewhere * blockTokens,
        .seenTokens = static_cast<double>(index_.seenBlocks(request.facts.blocks)) * blockTokens,
        .longJob = request.lengthClass == LengthClass::Long,
        .alone = alone,
        .hedge = hedge,
        .cause = hedge ? std::optional(RecomputeReason::Hedge) : request.nextCause,
    };
    server.own.inFlight += 1;
    server.own.longJobs += attempt.longJob ? 1 : 0;
    servers_.noteSent(choice.server, attempt.waitingPrefill, now);
    server.soloRuns += alone ? 1 : 0;
    if (server.health.state(now) == ServerHealth::State::HalfOpen) {
        server.health.noteProbeSent();
    }
    index_.noteStored(choice.server, request.facts.blocks, now);
    request.record.noteStarted();
    request.attempts.push_back(attempt);
    effects_.emplace_back(
        StartAttempt { .id = request.facts.id,
                       .attempt = attempt.number,
                       .server = server.facts.id,
                       .rank = admits(policy_) ? std::optional(rankOf(request)) : std::nullopt,
                       .resumeAfterTokens = request.deliveredTokens,
                       .predictedMs = choice.predictedMs });
}

void Dispatcher::pump(const ModelId &model, Instant now)
{
    const auto found = queues_.find(model);
    if (found == queues_.end() || found->second.queue.size() == 0) {
        return;
    }
    measureThroughput(found->second, now);
    for (const RequestId &id : found->second.queue.order(PumpDepth)) {
        static_cast<void>(tryStart(requests_.at(id), now));
    }
}

void Dispatcher::measureThroughput(ModelQueue &queue, Instant now)
{
    const Duration passed = now - queue.measuredAt;
    if (passed < ThroughputWindow) {
        return;
    }
    if (passed < 10 * ThroughputWindow) {
        const double rate = queue.servedWork / toMilliseconds(passed);
        queue.workPerMs = queue.workPerMs == 0
            ? rate
            : queue.workPerMs + ThroughputWeight * (rate - queue.workPerMs);
    }
    queue.servedWork = 0;
    queue.measuredAt = now;
}

void Dispatcher::refuseExpired(ModelQueue &queue, Instant now)
{
    for (const RequestId &id : queue.queue.expired(now)) {
        Request &request = requests_.at(id);
        const bool givenDeadline
            = request.facts.deadline.has_value() && *request.facts.deadline <= request.limit;
        refuse(request, givenDeadline ? ErrorKind::DeadlineUnreachable : ErrorKind::Overloaded,
               now);
    }
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
        servers_.noteComputed(attempt.slot, attempt.waitingPrefill, now);
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
    servers_.noteComputed(attempt->slot, attempt->waitingPrefill, now);
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

void Dispatcher::hedge(Request &request, Instant now)
{
    if (request.attempts.size() != 1 || request.lastAttempt >= options_.maximumAttempts) {
        return;
    }
    const Attempt &attempt = request.attempts.front();
    // While others wait for their first attempt, a second one would be work added to an overload.
    const auto queue = queues_.find(request.facts.model);
    const bool othersWait = queue != queues_.end() && queue->second.queue.size() > 0;
    if (attempt.firstToken || attempt.alone || othersWait) {
        return;
    }
    const Duration patience = std::max(
        options_.hedgeMinimum, fromMilliseconds(options_.hedgeFactor * attempt.choice.predictedMs));
    if (now - attempt.started < patience) {
        return;
    }
    // A server that answers others is only busy, and a second attempt would add to the work; one
    // that is silent or slowed is what hedges are for.
    const ServerState &server = servers_.at(attempt.slot);
    const bool silent = now - std::max(server.lastHeard, attempt.started) > patience / 2;
    if (!silent && server.health.slowdown(now) < HedgeSlowdown) {
        return;
    }
    std::vector<ServerSlot> others = candidates(request, now);
    std::erase(others, attempt.slot);
    const auto choice = chooseFor(request, others, now);
    if (!choice.has_value() || choice->full || !hedges_.spend(request.facts.team)) {
        return;
    }
    ++counters_.hedges;
    start(request, *choice, false, true, now);
}

void Dispatcher::on(const TimePassed &, Instant now)
{
    if (!admits(policy_)) {
        for (auto &[model, queue] : queues_) {
            refuseExpired(queue, now);
            pump(model, now);
        }
        return;
    }
    for (auto &[model, queue] : queues_) {
        refuseExpired(queue, now);
        pump(model, now);
        releaseReservations(model, now);
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
    if (errorAnswer(kind).status >= LeastServerErrorStatus) {
        observe(request, Objective::Success, false);
    }
    const ModelQueue &queue = queues_[request.facts.model];
    double retryAfterMs = errorAnswer(kind).retryAfterMs;
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
