#include "Placement/ServerPool.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// Pause after a server could not be reached; doubles with each failure in a row.
constexpr Duration FirstSuspension = milliseconds(250);
constexpr Duration LongestSuspension = std::chrono::seconds(2);
constexpr unsigned MostDoublings = 3;
/// Failures of a server's own after which it is suspended.
constexpr unsigned FailuresToSuspend = 3;
/// How long peers are told of a server that is listed no longer: they read the list less often.
constexpr Duration DepartureTold = std::chrono::seconds(3);
/// Pause after a server rejected a request as full.
constexpr Duration RejectionPause = milliseconds(60);
/// Share of an engine's cache that shared parts can count on beside running requests.
constexpr double SharedCacheShare = 0.9;

} // namespace

ServerPool::ServerPool(const Options &options)
    : options_(options)
{ }

std::uint64_t ServerPool::cacheRoom(const ServiceId &service) const
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
            CacheStore &kept = stores_[ServerId(service.name.text())];
            if (kept.address != service.cacheStoreAddress) {
                kept = { .address = service.cacheStoreAddress,
                         .held = HeldParts(service.cacheStoreTokens) };
            }
        }
    }
    // Servers may have been listed before their services were known.
    for (auto &[id, server] : servers_) {
        server.held.setRoom(cacheRoom(server.facts.service));
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

void ServerPool::applyServer(const ListedServer &facts, Instant now)
{
    departed_.erase(facts.id);
    Server *known = find(facts.id);
    if (known == nullptr || known->facts.bootedAt != facts.bootedAt
        || known->facts.address != facts.address) {
        Server server { .facts = facts,
                        .hash = hash64(facts.id.text()),
                        .held = HeldParts(cacheRoom(facts.service)) };
        server.suspendedUntil = now;
        server.avoidedUntil = now;
        server.heardAt = now;
        server.closedUntil = now;
        servers_[facts.id] = std::move(server);
        return;
    }
    const std::map<ModelId, WeightsVersion> models = known->facts.models;
    known->facts = facts;
    known->facts.models = models;
    for (const auto &[model, version] : facts.models) {
        noteWeights(*known, model, version);
    }
}

void ServerPool::removeServer(const ServerId &id, Instant now)
{
    servers_.erase(id);
    departed_[id] = now + DepartureTold;
}

void ServerPool::applyNamedWeights(const DesiredWeights &named, Instant now)
{
    named_.recordDesired(named, now);
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
        server.held.clear();
        server.untoldSent.clear();
        server.untoldRead.clear();
        server.untoldDropped.clear();
    }
    if (model == server.loadingModel && version >= server.loadingVersion) {
        server.loadingModel = {};
        server.closedUntil = {};
    }
}

void ServerPool::closeForLoad(const ServerId &id, const ModelId &model, WeightsVersion version,
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
    server.closedUntil = until;
    server.closedBy.clear();
}

std::map<ServerId, std::string> ServerPool::caches() const
{
    std::map<ServerId, std::string> addresses;
    for (const auto &[id, server] : servers_) {
        if (!server.facts.models.empty()) {
            addresses[id] = server.facts.address;
        }
    }
    for (const auto &[id, kept] : stores_) {
        addresses[id] = kept.address;
    }
    return addresses;
}

std::vector<EngineLoad> ServerPool::modelLoads() const
{
    std::vector<EngineLoad> loads;
    for (const auto &[id, server] : servers_) {
        for (const auto &[model, version] : server.facts.models) {
            loads.push_back(
                { .server = id, .model = model, .weights = version, .inFlight = server.inFlight });
        }
    }
    return loads;
}

void ServerPool::noteHeard(const ServerId &id, Instant now)
{
    if (Server *server = find(id)) {
        server->heardAt = now;
    }
}

void ServerPool::noteSent(const ServerId &id, const PlacementRequest &request,
                          std::uint32_t heldTokens, Instant now)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    if (server.inFlight++ == 0) {
        server.heardAt = now;
    }
    server.unreadTokens += request.promptTokens - std::min(request.promptTokens, heldTokens);
    if (!request.parts.empty()) {
        const std::vector<CachedPart> parts
            = cachedParts(weightsOf(server, request.model), request);
        if (CacheStore *kept = store(); kept != nullptr && worthSaving(*kept, parts, now)) {
            noteSaving(*kept, parts, now);
        }
        server.held.noteSent(parts);
        server.untoldSent.insert(server.untoldSent.end(), parts.begin(), parts.end());
    }
}

void ServerPool::noteFirstByte(const ServerId &id, const PlacementRequest &request,
                               std::optional<WeightsVersion> weights, std::uint32_t readTokens)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    server.unreadTokens -= std::min<std::uint64_t>(server.unreadTokens, readTokens);
    if (request.parts.empty() || weights != weightsOf(server, request.model)) {
        return;
    }
    const std::vector<CachedPart> parts = cachedParts(weightsOf(server, request.model), request);
    server.held.noteRead(parts);
    server.untoldRead.insert(server.untoldRead.end(), parts.begin(), parts.end());
}

void ServerPool::noteEnd(const ServerId &id, AttemptVerdict verdict, std::uint32_t unreadTokens,
                         Instant now)
{
    Server *found = find(id);
    if (found == nullptr) {
        return;
    }
    Server &server = *found;
    server.inFlight -= server.inFlight > 0 ? 1 : 0;
    server.unreadTokens -= std::min<std::uint64_t>(server.unreadTokens, unreadTokens);
    judge(server, verdict, now);
}

void ServerPool::noteUnreachable(const ServerId &id, Instant now)
{
    if (Server *server = find(id)) {
        judge(*server, AttemptVerdict::Unreachable, now);
    }
}

void ServerPool::judge(Server &server, AttemptVerdict verdict, Instant now)
{
    switch (verdict) {
    case AttemptVerdict::Served:
        server.failures = 0;
        break;
    case AttemptVerdict::Rejected:
        server.suspendedUntil = std::max(server.suspendedUntil, now + RejectionPause);
        break;
    case AttemptVerdict::Failed:
        if (++server.failures >= FailuresToSuspend) {
            server.suspendedUntil = now + FirstSuspension;
        }
        break;
    case AttemptVerdict::Unreachable: {
        const unsigned doublings = std::min(server.failures++, MostDoublings);
        server.suspendedUntil
            = now + std::min(LongestSuspension, FirstSuspension * (1U << doublings));
        server.avoidedUntil = server.suspendedUntil;
        break;
    }
    case AttemptVerdict::Abandoned:
        break;
    }
}

void ServerPool::noteLoad(const ServerId &id, const ReportedLoad &load, Instant now)
{
    if (Server *server = find(id)) {
        server->load = load;
        server->loadAt = now;
        server->inFlightAtLoad = server->inFlight;
    }
}

} // namespace jacinthroad
