#include "Routing/Dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jacinthroad {

namespace {

// Waiting requests looked at in one round, in fair order.
constexpr std::size_t PumpDepth = 32;
constexpr Duration ThroughputWindow = milliseconds(200);
constexpr double ThroughputWeight = 0.3;
// Servers on which suspects may run at once, as a share of the model's servers.
constexpr double SoloShare = 0.5;
// The tail is learned from prompts of which at least this share was seen before.
constexpr double LeastSeenShare = 0.7;
constexpr double TailQuantile = 0.9;
constexpr double TailStepTokens = 16;
// How much later a job of each class ranks, as a share of the first-token objective.
constexpr std::array<double, LengthClassCount> ClassDelayShares { 0, 0.2, 0.5 };
constexpr double HedgeSlowdown = 2;

} // namespace

std::vector<ServerSlot> Dispatcher::candidates(const Request &request, Instant now) const
{
    const std::span<const ServerSlot> all = servers_.serversOfModel(request.facts.model);
    std::vector<ServerSlot> fresh;
    std::vector<ServerSlot> healthy;
    std::vector<ServerSlot> present;
    for (const ServerSlot slot : all) {
        const ServerState &row = servers_.at(slot);
        if (row.info.leaving || row.exclusiveRuns > 0 || row.reserved) {
            continue;
        }
        present.push_back(slot);
        if (!servers_.acceptsNewWork(slot, now)) {
            continue;
        }
        healthy.push_back(slot);
        if (!request.failedAt.contains(slot)) {
            fresh.push_back(slot);
        }
    }
    // Ejection never takes more than its share: if most look dead, the fault may be ours.
    const double floor = options_.minimumServingShare * static_cast<double>(present.size());
    if (static_cast<double>(healthy.size()) < floor) {
        std::erase_if(present, [&](ServerSlot slot) { return request.failedAt.contains(slot); });
        return present.empty() ? healthy : present;
    }
    return fresh.empty() ? healthy : fresh;
}

std::size_t Dispatcher::soloLimit(const ModelId &model) const
{
    const auto servers = static_cast<double>(servers_.serversOfModel(model).size());
    return static_cast<std::size_t>(std::max(1.0, SoloShare * servers));
}

void Dispatcher::reserveForSuspects(const ModelId &model, Instant now)
{
    std::vector<ServerSlot> free;
    std::size_t kept = 0;
    for (const ServerSlot slot : servers_.serversOfModel(model)) {
        const ServerState &row = servers_.at(slot);
        kept += row.reserved || row.exclusiveRuns > 0 ? 1 : 0;
        if (servers_.acceptsNewWork(slot, now) && !row.reserved && row.exclusiveRuns == 0) {
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
    const auto servers = servers_.serversOfModel(model);
    const bool anyReserved = std::any_of(servers.begin(), servers.end(), [&](ServerSlot slot) {
        return servers_.at(slot).reserved;
    });
    if (!anyReserved) {
        return;
    }
    const bool suspectsWait = std::any_of(requests_.begin(), requests_.end(), [&](const auto &r) {
        const Request &request = r.second;
        return request.queued && request.facts.model == model
            && quarantine_.permission(request.facts.fingerprint, now) == RunPermission::Exclusive;
    });
    if (suspectsWait) {
        return;
    }
    for (const ServerSlot slot : servers) {
        servers_.at(slot).reserved = false;
    }
}

std::vector<ServerSlot> Dispatcher::soloCandidates(const Request &request, Instant now) const
{
    const std::span<const ServerSlot> all = servers_.serversOfModel(request.facts.model);
    const std::size_t most = soloLimit(request.facts.model);
    std::size_t busy = 0;
    std::vector<ServerSlot> idle;
    for (const ServerSlot slot : all) {
        const ServerState &row = servers_.at(slot);
        busy += row.exclusiveRuns > 0 ? 1 : 0;
        if (servers_.acceptsNewWork(slot, now) && row.own.inFlight == 0) {
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
                                  .settings = termsOf(request.facts.model),
                                  .sharedTokens = sharedTokens(request.facts),
                                  .candidates = slots,
                                  .matchedBlocks = matched,
                                  .now = now,
                                  .random = random_ };
    return choose(policy_, context);
}

double Dispatcher::sharedTokens(const RequestInfo &facts) const
{
    const auto tail = tailTokens_.find(facts.model);
    return facts.promptTokens - (tail == tailTokens_.end() ? 0 : tail->second);
}

void Dispatcher::learnTail(const RequestInfo &facts)
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
    const auto &all = servers_.serversOfModel(request.facts.model);
    if (all.empty()) {
        refuse(request, ErrorKind::NoBackendServer, now);
        return;
    }
    if (quarantine_.permission(request.facts.fingerprint, now) == RunPermission::Denied) {
        refuse(request, ErrorKind::Quarantined, now);
        return;
    }
    const bool othersWait
        = usesAdmissionQueue(policy_) && queues_[request.facts.model].queue.size() > 0;
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
    if (quarantine_.permission(request.facts.fingerprint, now) == RunPermission::Exclusive) {
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
    return queue.queue.workAhead(request.facts.id) / queue.workPerMs;
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
    if (usesAdmissionQueue(policy_)
        && now + fromMilliseconds(fairWaitMs(queue, request)) > request.limit) {
        refuse(request, ErrorKind::Overloaded, now);
    }
}

void Dispatcher::start(Request &request, const Choice &choice, bool alone, bool hedge, Instant now)
{
    ModelQueue &queue = queues_[request.facts.model];
    if (request.queued) {
        queue.servedWork += queue.queue.noteDispatched(request.facts.id);
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
        .due = now + fromMilliseconds(choice.predictedMs),
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
    servers_.notePrefillSent(choice.server, attempt.waitingPrefill, attempt.due, now);
    server.exclusiveRuns += alone ? 1 : 0;
    if (server.health.state(now) == ServerHealth::State::HalfOpen) {
        server.health.noteProbeSent();
    }
    index_.noteStored(choice.server, request.facts.blocks, now);
    request.record.noteStarted();
    request.attempts.push_back(attempt);
    effects_.emplace_back(StartAttempt {
        .id = request.facts.id,
        .attempt = attempt.number,
        .server = server.info.id,
        .rank = usesAdmissionQueue(policy_) ? std::optional(rankOf(request)) : std::nullopt,
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
    for (const RequestId &id : found->second.queue.dispatchOrder(PumpDepth)) {
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
    const bool silent = now - std::max(server.lastReceivedAt, attempt.started) > patience / 2;
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

} // namespace jacinthroad
