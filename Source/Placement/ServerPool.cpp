#include "Placement/ServerPool.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// Suspension after a server could not be reached; doubles with each consecutive failure.
constexpr Duration FirstSuspension = milliseconds(250);
constexpr Duration MaxSuspension = milliseconds(MaxUnreachableMs);
constexpr unsigned MaxDoublings = 3;
/// Consecutive failed requests after which a server is suspended.
constexpr unsigned FailuresToSuspend = 3;
/// How long a removed server is reported to peers, which may read the list less often.
constexpr Duration RemovalReportTime = std::chrono::seconds(3);
/// How long the statements of a server that is not listed any more are kept. A server that leaves
/// serves for seconds after its entry was removed, and entries lost by the store come back.
constexpr Duration FormerServerMemory = std::chrono::seconds(60);
/// Suspension after a server rejected a request because it was full.
constexpr Duration RejectionPause = milliseconds(60);
/// Share of an engine's cache that remains for shared parts beside running requests.
constexpr double SharedCacheShare = 0.9;

} // namespace

ServerPool::ServerPool(const Options &options)
    : options_(options)
{ }

std::uint64_t ServerPool::cacheCapacity(const ServiceId &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.engine.has_value()) {
        return 0;
    }
    return static_cast<std::uint64_t>(static_cast<double>(found->second.engine->cacheTokens)
                                      * SharedCacheShare);
}

void ServerPool::applyServices(std::span<const ServiceDefinition> services)
{
    services_.clear();
    for (const ServiceDefinition &service : services) {
        services_[service.name] = service;
        if (!service.cacheStoreAddress.empty()) {
            CacheStore &cacheStore = stores_[ServerId(service.name.text())];
            if (cacheStore.address != service.cacheStoreAddress) {
                cacheStore = { .address = service.cacheStoreAddress,
                               .cache = CachedPartSet(service.cacheStoreTokens) };
            }
        }
    }
    // Servers may be listed before their services are known.
    for (auto &[id, server] : servers_) {
        server.cache.setCapacity(cacheCapacity(server.facts.service));
    }
    std::erase_if(stores_, [&](const auto &entry) {
        return !services_.contains(ServiceId(entry.first.text()));
    });
}

ServerPool::Server *ServerPool::find(const ServerId &id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const ListedServer *ServerPool::listed(const ServerId &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.facts;
}

std::vector<ServerId> ServerPool::othersOf(const ServiceId &service, const ServerId &id) const
{
    std::vector<ServerId> others;
    for (const auto &[other, server] : servers_) {
        if (server.facts.service == service && other != id) {
            others.push_back(other);
        }
    }
    return others;
}

void ServerPool::applyServer(const ListedServer &facts, Instant now)
{
    removedServers_.erase(facts.id);
    Server *known = find(facts.id);
    if (known == nullptr || known->facts.bootedAt != facts.bootedAt
        || known->facts.address != facts.address) {
        Server server { .facts = facts,
                        .hash = hash64(facts.id.text()),
                        .cache = CachedPartSet(cacheCapacity(facts.service)) };
        server.lastReceivedAt = now;
        server.cordonedUntil = now;
        server.listedAt = now;
        const auto former = formerServers_.find(facts.id);
        if (former != formerServers_.end()) {
            if (former->second.instance == facts.instance()) {
                server.statements = former->second.statements;
                server.facts.leaving = facts.leaving || server.statements.leaving();
            }
            formerServers_.erase(former);
        }
        forgetUnfinished(facts.id);
        servers_[facts.id] = std::move(server);
        return;
    }
    const std::map<ModelId, WeightsVersion> models = known->facts.models;
    known->facts = facts;
    known->facts.leaving = facts.leaving || known->statements.leaving();
    known->facts.models = models;
    for (const auto &[model, version] : facts.models) {
        noteWeights(*known, model, version);
    }
}

void ServerPool::removeServer(const ServerId &id, Instant now)
{
    std::erase_if(formerServers_, [&](const auto &entry) { return entry.second.forgetAt <= now; });
    if (const auto found = servers_.find(id); found != servers_.end()) {
        formerServers_[id] = { .instance = found->second.facts.instance(),
                               .statements = found->second.statements,
                               .forgetAt = now + FormerServerMemory };
        servers_.erase(found);
        forgetUnfinished(id);
    }
    removedServers_[id] = now + RemovalReportTime;
}

bool ServerPool::applyDesiredWeights(const DesiredWeights &desired, Instant now)
{
    return desiredWeights_.recordDesired(desired, now);
}

void ServerPool::noteWeights(const ServerId &id, const ModelId &model, WeightsVersion version)
{
    if (Server *server = find(id)) {
        noteWeights(*server, model, version);
    }
}

void ServerPool::noteWeights(Server &server, const ModelId &model, WeightsVersion version)
{
    WeightsVersion &known = server.facts.models[model];
    if (version > known) {
        known = version;
        server.cache.clear();
        server.pendingSent.clear();
        server.pendingPrefilled.clear();
        server.pendingRemoved.clear();
    }
    if (model == server.loadingModel && version >= server.loadingVersion) {
        server.loadingModel = {};
        server.cordonedUntil = {};
    }
}

void ServerPool::cordonForLoad(const ServerId &id, const ModelId &model, WeightsVersion version,
                               Instant until)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    const auto known = server.facts.models.find(model);
    if (known != server.facts.models.end() && known->second >= version) {
        return;
    }
    server.loadingModel = model;
    server.loadingVersion = version;
    server.cordonedUntil = until;
    server.cordonedBy.clear();
}

std::map<ServerId, std::string> ServerPool::cacheAddresses(Instant now) const
{
    std::map<ServerId, std::string> addresses;
    for (const auto &[id, server] : servers_) {
        if (!server.facts.models.empty() && !server.statements.limit().perSecond().has_value()
            && !server.statements.paused(now)) {
            addresses[id] = server.facts.address;
        }
    }
    for (const auto &[id, cacheStore] : stores_) {
        addresses[id] = cacheStore.address;
    }
    return addresses;
}

std::vector<EngineLoad> ServerPool::engineLoads(Instant now) const
{
    std::vector<EngineLoad> loads;
    for (const auto &[id, server] : servers_) {
        for (const auto &[model, version] : server.facts.models) {
            loads.push_back({ .server = id,
                              .model = model,
                              .weights = version,
                              .inFlight = server.inFlight,
                              .permission = server.statements.controlPermission(now) });
        }
    }
    return loads;
}

void ServerPool::setNodes(const std::string &self, std::span<const std::string> names)
{
    selfHash_ = hash64(self);
    nodeHashes_.clear();
    for (const std::string &name : names) {
        nodeHashes_.push_back(hash64(name));
    }
}

void ServerPool::setReportingPeers(std::span<const std::string> names)
{
    reportingPeers_.setRegistered(names);
}

ServerStatements::Changes ServerPool::noteStatement(const ServerInstance &instance,
                                                    const ServerStatement &statement, Instant now)
{
    Server *server = find(instance.id);
    if (server == nullptr || server->facts.instance() != instance) {
        const auto former = formerServers_.find(instance.id);
        if (server == nullptr && former != formerServers_.end()
            && former->second.instance == instance) {
            return former->second.statements.note(statement, now);
        }
        return {};
    }
    const ServerStatements::Changes changes
        = server->statements.note(statement, now, server->facts.slots);
    if (server->statements.rejections().observedAt() == now) {
        serviceRejections_[server->facts.service]
            = { .perSecond = server->statements.rejections().perSecond(), .observedAt = now };
    }
    if (statement.load.has_value()) {
        server->inFlightAtLoad = server->inFlight;
    }
    if (changes.limit) {
        server->limitChangedAt = now;
    }
    server->facts.leaving = server->facts.leaving || server->statements.leaving();
    return changes;
}

void ServerPool::noteSending(const ServerId &id, Instant now, std::string_view route)
{
    if (Server *server = find(id)) {
        unfinished_.noteSending(route, id, now);
        unfinishedStreams_.noteSending(route, id, now);
        server->statements.noteSent(now);
        if (toleratedRejections(*server).has_value()) {
            server->statements.rejections().noteSent(placeAmongNodes(*server), room(*server, now),
                                                     now);
        }
        ++server->sending;
    }
}

void ServerPool::noteNotSent(const ServerId &id)
{
    if (Server *server = find(id)) {
        server->sending -= server->sending > 0 ? 1 : 0;
    }
}

void ServerPool::noteControlCall(const ServerId &id, Instant now)
{
    if (Server *server = find(id)) {
        server->statements.noteControlCall(now);
    }
}

std::map<WithholdReason, std::size_t> ServerPool::withheldServers(Instant now) const
{
    std::map<WithholdReason, std::size_t> counts;
    for (const auto &[id, server] : servers_) {
        const ServerStatements &statements = server.statements;
        if (statements.leaving()) {
            ++counts[WithholdReason::Leaving];
        } else if (statements.paused(now)) {
            ++counts[WithholdReason::Pause];
        } else if (statements.limit().perSecond().has_value()) {
            ++counts[WithholdReason::Limit];
        } else if (toleratedRejections(server).has_value()
                   && server.statements.rejections().full()) {
            ++counts[WithholdReason::Rejections];
        }
    }
    return counts;
}

void ServerPool::noteAnswered(const ServerId &id, std::string_view route, Duration after,
                              Instant now)
{
    if (find(id) != nullptr) {
        unfinished_.noteAnswered(route, id, after, now);
    }
}

void ServerPool::noteUnfinished(const ServerId &id, std::string_view route,
                                const UnfinishedAttempt &attempt, Instant now)
{
    noteUnfinished(unfinished_, id, route, attempt, now);
}

void ServerPool::noteStreamEnded(const ServerId &id, std::string_view route, Duration after,
                                 Instant now)
{
    if (find(id) != nullptr) {
        unfinishedStreams_.noteAnswered(route, id, after, now);
    }
}

void ServerPool::noteUnfinishedStream(const ServerId &id, std::string_view route,
                                      const UnfinishedAttempt &attempt, Instant now)
{
    noteUnfinished(unfinishedStreams_, id, route, attempt, now);
}

void ServerPool::noteUnfinished(UnfinishedResponses &responses, const ServerId &id,
                                std::string_view route, const UnfinishedAttempt &attempt,
                                Instant now)
{
    const Server *found = find(id);
    if (found == nullptr || lostServices_.contains(found->facts.service)) {
        return;
    }
    std::vector<OtherServer> others;
    for (const auto &[other, server] : servers_) {
        if (other != id && server.facts.service == found->facts.service && !server.facts.leaving) {
            others.push_back({ .id = other, .idle = server.inFlight == 0 });
        }
    }
    if (const auto avoidance = responses.noteUnfinished(route, id, others, attempt, now)) {
        onSuspended({ .server = id,
                      .cause = SuspensionCause::Unfinished,
                      .time = avoidance->time,
                      .route = route,
                      .ran = avoidance->ran,
                      .usual = avoidance->usual },
                    now);
    }
}

void ServerPool::forgetUnfinished(const ServerId &id)
{
    unfinished_.forget(id);
    unfinishedStreams_.forget(id);
}

void ServerPool::noteReceived(const ServerId &id, Instant now)
{
    if (Server *server = find(id)) {
        server->lastReceivedAt = now;
        server->reachedAt = now;
        server->statements.rejections().noteReceived(now);
        if (server->silentUntil > now && server->silentUntil == server->avoidedUntil) {
            server->avoidedUntil = now;
        }
    }
}

void ServerPool::noteConnected(const ServerId &id, Instant now)
{
    if (Server *server = find(id)) {
        server->reachedAt = now;
        linksProvenAt_[server->facts.service] = now;
    }
}

void ServerPool::setLostServices(std::set<ServiceId> lost)
{
    for (auto &[id, server] : servers_) {
        if (lostServices_.contains(server.facts.service) && !lost.contains(server.facts.service)) {
            server.failures = 0;
            server.avoidedUntil = {};
            forgetUnfinished(id);
        }
    }
    lostServices_ = std::move(lost);
}

void ServerPool::noteSent(const ServerId &id, const PlacementRequest &request,
                          std::uint32_t cachedPromptTokens, Instant now)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    server.sending -= server.sending > 0 ? 1 : 0;
    if (server.inFlight++ == 0) {
        server.lastReceivedAt = now;
    }
    server.pendingPrefillTokens
        += request.promptTokens - std::min(request.promptTokens, cachedPromptTokens);
    if (!request.parts.empty()) {
        const std::vector<CachedPart> parts
            = cachedParts(weightsOf(server, request.model), request);
        if (CacheStore *cacheStore = store();
            cacheStore != nullptr && needsSaving(*cacheStore, parts, now)) {
            noteSaving(*cacheStore, parts, now);
        }
        server.cache.noteSent(parts);
        server.pendingSent.insert(server.pendingSent.end(), parts.begin(), parts.end());
    }
}

void ServerPool::noteFirstByte(const ServerId &id, const PlacementRequest &request,
                               std::optional<WeightsVersion> weights, std::uint32_t prefilledTokens)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    server.pendingPrefillTokens
        -= std::min<std::uint64_t>(server.pendingPrefillTokens, prefilledTokens);
    if (request.parts.empty() || weights != weightsOf(server, request.model)) {
        return;
    }
    const std::vector<CachedPart> parts = cachedParts(weightsOf(server, request.model), request);
    server.cache.notePrefilled(parts);
    server.pendingPrefilled.insert(server.pendingPrefilled.end(), parts.begin(), parts.end());
}

void ServerPool::noteEnd(const ServerId &id, AttemptOutcome outcome,
                         std::uint32_t unprefilledTokens, Instant now)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    server.inFlight -= server.inFlight > 0 ? 1 : 0;
    server.pendingPrefillTokens
        -= std::min<std::uint64_t>(server.pendingPrefillTokens, unprefilledTokens);
    applyOutcome(server, outcome, SuspensionCause::ConnectionLost, now);
}

void ServerPool::noteUnreachable(const ServerId &id, Instant now)
{
    if (Server *server = find(id)) {
        applyOutcome(*server, AttemptOutcome::Unreachable, SuspensionCause::NotConnected, now);
    }
}

void ServerPool::suspend(Server &server, SuspensionCause cause, Instant now)
{
    const unsigned doublings = std::min(server.failures++, MaxDoublings);
    server.unreachableAt = now;
    server.avoidedUntil = now + std::min(MaxSuspension, FirstSuspension * (1U << doublings));
    server.reachedAt.reset();
    onSuspended({ .server = server.facts.id, .cause = cause, .time = server.avoidedUntil - now },
                now);
}

void ServerPool::applyOutcome(Server &server, AttemptOutcome outcome, SuspensionCause cause,
                              Instant now)
{
    switch (outcome) {
    case AttemptOutcome::Served:
        server.failures = 0;
        break;
    case AttemptOutcome::Rejected:
        server.pausedUntil = std::max(server.pausedUntil, now + RejectionPause);
        break;
    case AttemptOutcome::Failed:
        if (++server.failures >= FailuresToSuspend) {
            server.pausedUntil = std::max(server.pausedUntil, now + FirstSuspension);
            onSuspended({ .server = server.facts.id,
                          .cause = SuspensionCause::Failed,
                          .time = FirstSuspension },
                        now);
        }
        break;
    case AttemptOutcome::Unreachable:
        suspend(server, cause, now);
        break;
    case AttemptOutcome::Silent:
        // All requests that it had when it fell silent count once.
        if (server.silentUntil <= now) {
            suspend(server, SuspensionCause::Silent, now);
            server.silentUntil = server.avoidedUntil;
        }
        break;
    case AttemptOutcome::Abandoned:
        break;
    }
}

} // namespace jacinthroad
