#include "Routing/Dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jacinthroad {

namespace {

// Queued requests examined in one pass, in fair order.
constexpr std::size_t QueueScanLimit = 32;
constexpr Duration ThroughputWindow = milliseconds(200);
constexpr double ThroughputSmoothing = 0.3;
// Servers on which suspects may run at the same time, as a share of the model's servers.
constexpr double ExclusiveServerShare = 0.5;
// The unshared length is learned from prompts of which at least this share was seen before.
constexpr double MinimumSeenShare = 0.7;
constexpr double UnsharedTokensQuantile = 0.9;
constexpr double UnsharedTokensStep = 16;
// Delay of each length class in the queue order, as a share of the first-token objective.
constexpr std::array<double, LengthClassCount> ClassDelayShares { 0, 0.2, 0.5 };
constexpr double HedgeSlowdownThreshold = 2;

} // namespace

std::vector<ServerSlot> Dispatcher::candidates(const Request &request, Instant now) const
{
    const std::span<const ServerSlot> all = servers_.serversOfModel(request.info.model);
    std::vector<ServerSlot> untried;
    std::vector<ServerSlot> healthy;
    std::vector<ServerSlot> inService;
    for (const ServerSlot slot : all) {
        const ServerState &row = servers_.at(slot);
        if (row.info.leaving || row.exclusiveRuns > 0 || row.reserved) {
            continue;
        }
        inService.push_back(slot);
        if (!servers_.acceptsNewWork(slot, now)) {
            continue;
        }
        healthy.push_back(slot);
        if (!request.failedServers.contains(slot)) {
            untried.push_back(slot);
        }
    }
    // If most servers appear to be down, the fault may be this node's: ignore the ejections then.
    const double minimumHealthy
        = options_.minimumServingShare * static_cast<double>(inService.size());
    if (static_cast<double>(healthy.size()) < minimumHealthy) {
        std::erase_if(inService,
                      [&](ServerSlot slot) { return request.failedServers.contains(slot); });
        return inService.empty() ? healthy : inService;
    }
    return untried.empty() ? healthy : untried;
}

std::size_t Dispatcher::exclusiveServerLimit(const ModelId &model) const
{
    const auto servers = static_cast<double>(servers_.serversOfModel(model).size());
    return static_cast<std::size_t>(std::max(1.0, ExclusiveServerShare * servers));
}

void Dispatcher::reserveForSuspects(const ModelId &model, Instant now)
{
    std::vector<ServerSlot> free;
    std::size_t reservedCount = 0;
    for (const ServerSlot slot : servers_.serversOfModel(model)) {
        const ServerState &row = servers_.at(slot);
        reservedCount += row.reserved || row.exclusiveRuns > 0 ? 1 : 0;
        if (servers_.acceptsNewWork(slot, now) && !row.reserved && row.exclusiveRuns == 0) {
            free.push_back(slot);
        }
    }
    // Keep at least one server for all other requests.
    if (reservedCount >= exclusiveServerLimit(model) || free.size() < 2) {
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
        return request.queued && request.info.model == model
            && quarantine_.permission(request.info.fingerprint, now) == RunPermission::Exclusive;
    });
    if (suspectsWait) {
        return;
    }
    for (const ServerSlot slot : servers) {
        servers_.at(slot).reserved = false;
    }
}

std::vector<ServerSlot> Dispatcher::exclusiveCandidates(const Request &request, Instant now) const
{
    const std::span<const ServerSlot> all = servers_.serversOfModel(request.info.model);
    const std::size_t exclusiveLimit = exclusiveServerLimit(request.info.model);
    std::size_t busy = 0;
    std::vector<ServerSlot> idle;
    for (const ServerSlot slot : all) {
        const ServerState &row = servers_.at(slot);
        busy += row.exclusiveRuns > 0 ? 1 : 0;
        if (servers_.acceptsNewWork(slot, now) && row.own.inFlight == 0) {
            idle.push_back(slot);
        }
    }
    if (busy >= exclusiveLimit) {
        return {};
    }
    const auto failed = [&](ServerSlot slot) { return request.failedServers.contains(slot); };
    if (!std::all_of(idle.begin(), idle.end(), failed)) {
        std::erase_if(idle, failed);
    }
    return idle;
}

std::optional<Choice> Dispatcher::chooseFor(Request &request, std::span<const ServerSlot> slots,
                                            Instant now)
{
    const std::vector<std::uint32_t> matched = index_.matchAll(request.info.blocks, now);
    const ChoiceContext context { .servers = servers_,
                                  .request = request.info,
                                  .lengthClass = request.lengthClass,
                                  .settings = settingsOf(request.info.model),
                                  .sharedTokens = sharedTokens(request.info),
                                  .candidates = slots,
                                  .matchedBlocks = matched,
                                  .now = now,
                                  .random = random_ };
    return choose(policy_, context);
}

double Dispatcher::sharedTokens(const RequestInfo &info) const
{
    const auto unshared = unsharedTokens_.find(info.model);
    return info.promptTokens - (unshared == unsharedTokens_.end() ? 0 : unshared->second);
}

void Dispatcher::learnUnsharedTokens(const RequestInfo &info)
{
    const double seen
        = static_cast<double>(index_.seenBlocks(info.blocks)) * settingsOf(info.model).blockTokens;
    if (seen < info.promptTokens * MinimumSeenShare) {
        return;
    }
    // Estimates a high quantile by stochastic approximation.
    double &unshared = unsharedTokens_[info.model];
    const double observed = info.promptTokens - seen;
    unshared += observed > unshared ? UnsharedTokensStep * UnsharedTokensQuantile
                                    : -UnsharedTokensStep * (1 - UnsharedTokensQuantile);
    unshared = std::max(0.0, unshared);
}

void Dispatcher::dispatchOrEnqueue(Request &request, Instant now)
{
    const auto &all = servers_.serversOfModel(request.info.model);
    if (all.empty()) {
        refuse(request, ErrorKind::NoBackendServer, now);
        return;
    }
    if (quarantine_.permission(request.info.fingerprint, now) == RunPermission::Denied) {
        refuse(request, ErrorKind::Quarantined, now);
        return;
    }
    const bool othersWait
        = usesAdmissionQueue(policy_) && queues_[request.info.model].queue.size() > 0;
    if (othersWait || !tryStart(request, now)) {
        const RequestId id = request.info.id;
        const ModelId model = request.info.model;
        enqueue(request, now);
        if (requests_.contains(id)) {
            dispatchQueued(model, now);
        }
    }
}

bool Dispatcher::tryStart(Request &request, Instant now)
{
    if (quarantine_.permission(request.info.fingerprint, now) == RunPermission::Exclusive) {
        const auto idle = exclusiveCandidates(request, now);
        const auto choice = chooseFor(request, idle, now);
        if (!choice.has_value()) {
            reserveForSuspects(request.info.model, now);
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

double Dispatcher::queueWaitMs(const ModelQueue &queue, const Request &request) const
{
    if (queue.workPerMs <= 0) {
        return 0;
    }
    return queue.queue.workAhead(request.info.id) / queue.workPerMs;
}

Instant Dispatcher::rankOf(const Request &request) const
{
    const double targetMs = settingsOf(request.info.model).firstTokenTargetMs;
    const double share = ClassDelayShares[static_cast<std::size_t>(request.lengthClass)];
    return request.info.arrived + fromMilliseconds(share * targetMs);
}

void Dispatcher::enqueue(Request &request, Instant now)
{
    ModelQueue &queue = queues_[request.info.model];
    if (queue.queue.size() >= options_.maximumQueue) {
        refuse(request, ErrorKind::Overloaded, now);
        return;
    }
    const std::size_t seen = index_.seenBlocks(request.info.blocks);
    const double uncached
        = std::max(1.0,
                   static_cast<double>(request.info.promptTokens)
                       - static_cast<double>(seen) * settingsOf(request.info.model).blockTokens);
    request.queued = true;
    queue.queue.push({ .id = request.info.id,
                       .team = request.info.team,
                       .weight = request.teamWeight,
                       .rank = rankOf(request),
                       .work = uncached,
                       .deadline = request.firstTokenDeadline });
    if (usesAdmissionQueue(policy_)
        && now + fromMilliseconds(queueWaitMs(queue, request)) > request.firstTokenDeadline) {
        refuse(request, ErrorKind::Overloaded, now);
    }
}

void Dispatcher::start(Request &request, const Choice &choice, bool exclusive, bool hedge,
                       Instant now)
{
    ModelQueue &queue = queues_[request.info.model];
    if (request.queued) {
        queue.dispatchedWork += queue.queue.noteDispatched(request.info.id);
        request.queued = false;
    }
    ServerState &server = servers_.at(choice.server);
    const double blockTokens = settingsOf(request.info.model).blockTokens;
    const std::vector<std::uint32_t> matched = index_.matchAll(request.info.blocks, now);
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
        .firstTokenDue = now + fromMilliseconds(choice.predictedMs),
        .choice = choice,
        .waitingPrefill = std::max(
            0.0, request.info.promptTokens - std::max(matchedTokens, choice.expectedCachedTokens)),
        .matchedTokens = matchedTokens,
        .otherMatchedTokens = elsewhere * blockTokens,
        .seenTokens = static_cast<double>(index_.seenBlocks(request.info.blocks)) * blockTokens,
        .longJob = request.lengthClass == LengthClass::Long,
        .exclusive = exclusive,
        .hedge = hedge,
        .recomputeReason
        = hedge ? std::optional(RecomputeReason::Hedge) : request.nextRecomputeReason,
    };
    server.own.inFlight += 1;
    server.own.longJobs += attempt.longJob ? 1 : 0;
    servers_.notePrefillSent(choice.server, attempt.waitingPrefill, attempt.firstTokenDue, now);
    server.exclusiveRuns += exclusive ? 1 : 0;
    if (server.health.state(now) == ServerHealth::State::HalfOpen) {
        server.health.noteProbeSent();
    }
    index_.noteStored(choice.server, request.info.blocks, now);
    request.record.noteStarted();
    request.attempts.push_back(attempt);
    effects_.emplace_back(StartAttempt {
        .id = request.info.id,
        .attempt = attempt.number,
        .server = server.info.id,
        .rank = usesAdmissionQueue(policy_) ? std::optional(rankOf(request)) : std::nullopt,
        .resumeAfterTokens = request.deliveredTokens,
        .predictedMs = choice.predictedMs });
}

void Dispatcher::dispatchQueued(const ModelId &model, Instant now)
{
    const auto found = queues_.find(model);
    if (found == queues_.end() || found->second.queue.size() == 0) {
        return;
    }
    measureThroughput(found->second, now);
    for (const RequestId &id : found->second.queue.dispatchOrder(QueueScanLimit)) {
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
        const double rate = queue.dispatchedWork / toMilliseconds(passed);
        queue.workPerMs = queue.workPerMs == 0
            ? rate
            : queue.workPerMs + ThroughputSmoothing * (rate - queue.workPerMs);
    }
    queue.dispatchedWork = 0;
    queue.measuredAt = now;
}

void Dispatcher::refuseExpired(ModelQueue &queue, Instant now)
{
    for (const RequestId &id : queue.queue.expired(now)) {
        Request &request = requests_.at(id);
        const bool givenDeadline = request.info.deadline.has_value()
            && *request.info.deadline <= request.firstTokenDeadline;
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
    // While requests wait for their first attempt, a hedge would add work to an overload.
    const auto queue = queues_.find(request.info.model);
    const bool othersWait = queue != queues_.end() && queue->second.queue.size() > 0;
    if (attempt.firstToken || attempt.exclusive || othersWait) {
        return;
    }
    const Duration hedgeDelay = std::max(
        options_.hedgeMinimum, fromMilliseconds(options_.hedgeFactor * attempt.choice.predictedMs));
    if (now - attempt.started < hedgeDelay) {
        return;
    }
    // A server that responds to other requests is only busy, and a hedge would add to its model's
    // load. Hedges are meant for servers that stop responding or are slowed down.
    const ServerState &server = servers_.at(attempt.slot);
    const bool unresponsive
        = now - std::max(server.lastReceivedAt, attempt.started) > hedgeDelay / 2;
    if (!unresponsive && server.health.slowdown(now) < HedgeSlowdownThreshold) {
        return;
    }
    std::vector<ServerSlot> others = candidates(request, now);
    std::erase(others, attempt.slot);
    const auto choice = chooseFor(request, others, now);
    if (!choice.has_value() || choice->full || !hedges_.spend(request.info.team)) {
        return;
    }
    ++counters_.hedges;
    start(request, *choice, false, true, now);
}

} // namespace jacinthroad
