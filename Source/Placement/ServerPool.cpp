#include "Placement/ServerPool.h"

#include <algorithm>
#include <cmath>

#include "Core/Hashing.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

/// A report of load that nothing renews loses half of its weight in this time; about the time
/// that a request stays on a server.
constexpr Duration ReportHalfLife = milliseconds(400);
/// Pause after a server could not be reached; doubles with each failure in a row.
constexpr Duration FirstSuspension = milliseconds(250);
constexpr Duration LongestSuspension = std::chrono::seconds(2);
constexpr unsigned MostDoublings = 3;
/// Failures of a server's own after which it is suspended.
constexpr unsigned FailuresToSuspend = 3;
/// Pause after a server rejected a request as full.
constexpr Duration RejectionPause = milliseconds(60);
/// Advice where no server takes work: the time in which a suspended one is tried again.
constexpr Duration RetryWhenNone = milliseconds(300);
/// Versions of a model whose age peers are told: as many as may be named within the bound.
constexpr unsigned MostNamedTold = 4;
/// A peer that has told nothing for this long says nothing of a server's silence any more.
constexpr Duration PeerReportLife = milliseconds(700);
/// Parts that the store has not told of this long after they were sent are sent again: the time
/// to read a long prompt and the store's own limit for transfers.
constexpr Duration SavingTime = milliseconds(3000);
/// Parts on their way beyond which old ones are looked for and forgotten.
constexpr std::size_t MostSaving = 1000;
/// Share of an engine's cache that shared parts can count on beside running requests.
constexpr double SharedCacheShare = 0.9;

std::uint32_t wholeMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, count));
}

void applyParts(HeldParts &held, const ServerNotice &notice)
{
    held.noteSent(notice.sent);
    held.noteRead(notice.read);
    for (const std::uint64_t key : notice.dropped) {
        held.noteDropped(key);
    }
}

/// Moves as many of the first items out as there is room for, and takes them off the room.
template <typename Item> std::vector<Item> takeFront(std::vector<Item> &items, std::size_t &room)
{
    const std::size_t count = std::min(items.size(), room);
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Item> taken(items.begin(), end);
    items.erase(items.begin(), end);
    room -= count;
    return taken;
}

double decayed(double value, Duration age)
{
    const double halves = toMilliseconds(age) / toMilliseconds(ReportHalfLife);
    return halves > 10 ? 0 : value * std::exp2(-halves);
}

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

void ServerPool::applyServices(std::span<const ServiceFacts> services)
{
    services_.clear();
    for (const ServiceFacts &service : services) {
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

void ServerPool::applyServer(const BackendServer &facts, Instant now)
{
    const auto found = servers_.find(facts.id);
    if (found == servers_.end() || found->second.facts.bootedAt != facts.bootedAt
        || found->second.facts.address != facts.address) {
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
    Server &server = found->second;
    const std::map<ModelId, WeightsVersion> known = server.facts.models;
    server.facts = facts;
    server.facts.models = known;
    for (const auto &[model, version] : facts.models) {
        noteWeights(server, model, version);
    }
}

void ServerPool::removeServer(const ServerId &id)
{
    servers_.erase(id);
}

void ServerPool::applyNamedWeights(const NamedWeights &named, Instant now)
{
    named_[named.model].emplace(named.version, now);
}

void ServerPool::applyNamedAges(std::span<const NamedNotice> named, Instant now)
{
    for (const NamedNotice &notice : named) {
        const Instant seen = now - milliseconds(notice.ageMs);
        Instant &known = named_[notice.model].emplace(notice.version, seen).first->second;
        known = std::min(known, seen);
    }
}

std::vector<NamedNotice> ServerPool::namedAges(Instant now) const
{
    std::vector<NamedNotice> ages;
    for (const auto &[model, versions] : named_) {
        unsigned told = 0;
        for (auto version = versions.rbegin(); version != versions.rend() && told < MostNamedTold;
             ++version, ++told) {
            ages.push_back({ .model = model,
                             .version = version->first,
                             .ageMs = wholeMilliseconds(now - version->second) });
        }
    }
    return ages;
}

bool ServerPool::replaced(const Server &server, const ModelId &model) const
{
    const auto versions = named_.find(model);
    return versions != named_.end() && !versions->second.empty()
        && versions->second.rbegin()->first > weightsOf(server, model);
}

bool ServerPool::overdue(const Server &server, const ModelId &model, Instant now) const
{
    const auto versions = named_.find(model);
    if (versions == named_.end()) {
        return false;
    }
    const auto newer = versions->second.upper_bound(weightsOf(server, model));
    return newer != versions->second.end() && now - newer->second >= options_.weightsOverdue;
}

void ServerPool::noteWeights(const ServerId &id, const ModelId &model, WeightsVersion version)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        noteWeights(found->second, model, version);
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
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
    const auto known = server.facts.models.find(model);
    if (known != server.facts.models.end() && known->second >= version) {
        return;
    }
    server.loadingModel = model;
    server.loadingVersion = version;
    server.closedUntil = until;
    server.closedBy.clear();
}

void ServerPool::applyPeer(const std::string &peer, std::span<const ServerNotice> notices,
                           Instant now)
{
    for (const ServerNotice &notice : notices) {
        if (const auto kept = stores_.find(notice.server); kept != stores_.end()) {
            applyParts(kept->second.held, notice);
            continue;
        }
        const auto found = servers_.find(notice.server);
        if (found == servers_.end()) {
            continue;
        }
        Server &server = found->second;
        server.peers[peer] = { .inFlight = notice.inFlight,
                               .unreadTokens = notice.unreadTokens,
                               .silentMs = notice.silentMs,
                               .at = now };
        if (notice.avoidMs > 0) {
            server.suspendedUntil
                = std::max(server.suspendedUntil, now + milliseconds(notice.avoidMs));
        }
        if (notice.closedForMs > 0) {
            closeForLoad(notice.server, notice.model, notice.weights,
                         now + milliseconds(notice.closedForMs));
            server.closedBy = peer;
            continue;
        }
        if (server.closedBy == peer) {
            server.closedBy.clear();
            server.closedUntil = now;
        }
        if (notice.weights > 0) {
            noteWeights(server, notice.model, notice.weights);
        }
        applyParts(server.held, notice);
    }
}

void ServerPool::retellCache(const ServerId &id)
{
    const auto retell = [](const HeldParts &held, std::vector<CachedPart> &untold) {
        const std::vector<CachedPart> parts = held.readParts();
        untold.insert(untold.begin(), parts.begin(), parts.end());
    };
    if (const auto kept = stores_.find(id); kept != stores_.end()) {
        retell(kept->second.held, kept->second.untoldRead);
    } else if (const auto found = servers_.find(id); found != servers_.end()) {
        retell(found->second.held, found->second.untoldRead);
    }
}

bool ServerPool::hasMoreToTell() const
{
    const auto any = [](const auto &place) {
        return !place.untoldRead.empty() || !place.untoldDropped.empty();
    };
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto &entry) {
                           return any(entry.second) || !entry.second.untoldSent.empty();
                       })
        || std::any_of(stores_.begin(), stores_.end(),
                       [&](const auto &entry) { return any(entry.second); });
}

std::vector<ServerNotice> ServerPool::takeNotices(Instant now, std::size_t mostParts)
{
    std::vector<ServerNotice> notices;
    std::size_t room = mostParts;
    for (auto &[id, server] : servers_) {
        ServerNotice notice { .server = id,
                              .inFlight = server.inFlight,
                              .unreadTokens = static_cast<std::uint32_t>(server.unreadTokens) };
        if (server.inFlight > 0) {
            notice.silentMs = wholeMilliseconds(now - server.heardAt);
        }
        notice.avoidMs = wholeMilliseconds(server.avoidedUntil - now);
        if (!server.loadingModel.empty() && server.closedUntil > now) {
            notice.model = server.loadingModel;
            notice.weights = server.loadingVersion;
            notice.closedForMs = wholeMilliseconds(server.closedUntil - now);
        } else if (!server.facts.models.empty()) {
            notice.model = server.facts.models.begin()->first;
            notice.weights = server.facts.models.begin()->second;
        }
        notice.sent = takeFront(server.untoldSent, room);
        notice.read = takeFront(server.untoldRead, room);
        notice.dropped = takeFront(server.untoldDropped, room);
        const bool quiet = notice.inFlight == 0 && notice.avoidMs == 0 && notice.sent.empty()
            && notice.read.empty() && notice.dropped.empty() && notice.closedForMs == 0
            && server.toldInFlight == 0 && server.toldWeights == notice.weights
            && !server.toldClosed;
        server.toldInFlight = notice.inFlight;
        server.toldClosed = notice.closedForMs > 0;
        server.toldWeights = notice.weights;
        if (!quiet) {
            notices.push_back(std::move(notice));
        }
    }
    for (auto &[id, kept] : stores_) {
        if (!kept.untoldRead.empty() || !kept.untoldDropped.empty()) {
            ServerNotice notice { .server = id };
            notice.read = takeFront(kept.untoldRead, room);
            notice.dropped = takeFront(kept.untoldDropped, room);
            notices.push_back(std::move(notice));
        }
    }
    return notices;
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

std::vector<ServerLoad> ServerPool::modelLoads() const
{
    std::vector<ServerLoad> loads;
    for (const auto &[id, server] : servers_) {
        for (const auto &[model, version] : server.facts.models) {
            loads.push_back(
                { .server = id, .model = model, .weights = version, .inFlight = server.inFlight });
        }
    }
    return loads;
}

const BackendServer *ServerPool::find(const ServerId &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.facts;
}

bool ServerPool::silent(const Server &server, Instant now) const
{
    Duration silence = Duration::max();
    double unread = static_cast<double>(server.unreadTokens);
    if (server.inFlight > 0) {
        silence = now - server.heardAt;
    }
    for (const auto &[peer, load] : server.peers) {
        if (load.inFlight > 0 && now - load.at < PeerReportLife) {
            silence = std::min(silence, milliseconds(load.silentMs) + (now - load.at));
            unread += load.unreadTokens;
        }
    }
    if (silence == Duration::max()) {
        return false;
    }
    const Duration explained = fromMilliseconds(2 * unread * options_.ownTokenMs);
    return silence > options_.unexplainedSilence + explained;
}

bool ServerPool::silent(const ServerId &id, Instant now) const
{
    const auto found = servers_.find(id);
    return found != servers_.end() && silent(found->second, now);
}

void ServerPool::noteHeard(const ServerId &id, Instant now)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.heardAt = now;
    }
}

bool ServerPool::takesWork(const Server &server, Instant now) const
{
    return !server.facts.leaving && !silent(server, now) && server.suspendedUntil <= now
        && server.closedUntil <= now;
}

std::vector<CachedPart> ServerPool::cachedParts(WeightsVersion weights,
                                                const PlacementRequest &request)
{
    const std::string salt = cacheSalt(weights, request.wall);
    std::vector<CachedPart> parts;
    parts.reserve(request.parts.size());
    for (const PromptPart &part : request.parts) {
        parts.push_back({ .key = partKey(request.model, salt, part.id), .tokens = part.tokens });
    }
    return parts;
}

std::uint32_t ServerPool::sharedTokens(const PlacementRequest &request)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : request.parts) {
        tokens += part.tokens;
    }
    return tokens;
}

bool ServerPool::worthSaving(const CacheStore &kept, std::span<const CachedPart> parts, Instant now)
{
    std::uint32_t tokens = 0;
    bool underWay = true;
    for (const CachedPart &part : parts) {
        tokens += part.tokens;
        const auto since = kept.saving.find(part.key);
        underWay = underWay && since != kept.saving.end() && now - since->second < SavingTime;
    }
    return !underWay && kept.held.readTokens(parts) < tokens;
}

void ServerPool::noteSaving(CacheStore &kept, std::span<const CachedPart> parts, Instant now)
{
    if (kept.saving.size() > MostSaving) {
        std::erase_if(kept.saving,
                      [&](const auto &entry) { return now - entry.second >= SavingTime; });
    }
    for (const CachedPart &part : parts) {
        kept.saving[part.key] = now;
    }
}

const ServerPool::CacheStore *ServerPool::store() const
{
    return stores_.empty() ? nullptr : &stores_.begin()->second;
}

ServerPool::CacheStore *ServerPool::store()
{
    return stores_.empty() ? nullptr : &stores_.begin()->second;
}

void ServerPool::applyCacheEvents(const ServerId &id, const CacheEvents &events)
{
    const auto apply = [&](HeldParts &held, std::vector<CachedPart> &untoldRead,
                           std::vector<std::uint64_t> &untoldDropped) {
        if (events.restarted) {
            held.clear();
        }
        held.noteRead(events.held);
        for (const std::uint64_t key : events.dropped) {
            held.noteDropped(key);
        }
        untoldRead.insert(untoldRead.end(), events.held.begin(), events.held.end());
        untoldDropped.insert(untoldDropped.end(), events.dropped.begin(), events.dropped.end());
    };
    if (const auto kept = stores_.find(id); kept != stores_.end()) {
        apply(kept->second.held, kept->second.untoldRead, kept->second.untoldDropped);
    } else if (const auto found = servers_.find(id); found != servers_.end()) {
        Server &server = found->second;
        apply(server.held, server.untoldRead, server.untoldDropped);
    }
}

WeightsVersion ServerPool::weightsOf(const Server &server, const ModelId &model)
{
    const auto version = server.facts.models.find(model);
    return version == server.facts.models.end() ? 0 : version->second;
}

std::map<WeightsVersion, ServerPool::Holder> ServerPool::holders(const PlacementRequest &request,
                                                                 Instant now) const
{
    std::map<WeightsVersion, Holder> holders;
    if (request.parts.empty()) {
        return holders;
    }
    std::map<WeightsVersion, std::vector<CachedPart>> partsOf;
    for (const auto &[id, server] : servers_) {
        if (server.facts.service != request.service) {
            continue;
        }
        const WeightsVersion weights = weightsOf(server, request.model);
        const auto parts = partsOf.find(weights) != partsOf.end()
            ? partsOf.find(weights)
            : partsOf.emplace(weights, cachedParts(weights, request)).first;
        Holder &holder = holders[weights];
        // A closed server may be loading: what it holds may stem from other weights.
        const bool open
            = server.suspendedUntil <= now && server.closedUntil <= now && !silent(server, now);
        if (!open) {
            continue;
        }
        const std::uint32_t held = server.held.readTokens(parts->second);
        if (held > holder.tokens) {
            holder = { .address = server.facts.address, .tokens = held };
        }
    }
    const CacheStore *kept = store();
    if (kept == nullptr) {
        return holders;
    }
    for (auto &[weights, holder] : holders) {
        const std::uint32_t held = kept->held.readTokens(partsOf[weights]);
        if (held > holder.tokens) {
            holder = { .address = kept->address, .tokens = held, .isStore = true };
        }
    }
    return holders;
}

double ServerPool::cost(const Server &server, const PlacementRequest &request,
                        std::uint32_t heldTokens, const Holder *source, Instant now) const
{
    const double reported = server.load.running + server.load.waiting;
    double others = 0;
    double unreadByOthers = 0;
    for (const auto &[peer, peerLoad] : server.peers) {
        others += decayed(peerLoad.inFlight, now - peerLoad.at);
        unreadByOthers += decayed(peerLoad.unreadTokens, now - peerLoad.at);
    }
    others = std::max(
        others, decayed(std::max(0.0, reported - server.inFlightAtLoad), now - server.loadAt));
    const double load = server.inFlight + others;
    const double pace = 1 + decayed(std::max(0.0, server.load.pace - 1), now - server.loadAt);
    double expected = server.facts.zone == options_.zone ? 0 : options_.otherZoneMs;
    if (request.model.empty()) {
        const double slots = std::max(1U, server.facts.slots);
        const double queued = std::max(0.0, load + 1 - slots) / slots;
        expected += pace * options_.serviceWorkMs * (1 + queued + 0.25 * load / slots);
    } else {
        const std::uint32_t found = source == nullptr ? heldTokens : source->tokens;
        const std::uint32_t unread = request.promptTokens - std::min(request.promptTokens, found);
        const std::uint32_t shared = sharedTokens(request);
        const double reread = shared - std::min(shared, found);
        if (source != nullptr) {
            const double perThousand
                = source->isStore ? options_.storeMsPerThousand : options_.fetchMsPerThousand;
            expected += options_.fetchMs + perThousand * (found - heldTokens) / 1000;
        }
        const double ahead = static_cast<double>(server.unreadTokens) + unreadByOthers;
        expected += pace
                * (ahead * options_.aheadTokenMs + unread * options_.ownTokenMs
                   + load * options_.engineLoadMs)
            + options_.rereadWeight * reread * options_.ownTokenMs
            + (replaced(server, request.model) ? options_.oldWeightsMs : 0);
    }
    return expected + toMilliseconds(server.facts.coldLeft) / 10;
}

std::variant<Placement, NoPlacement> ServerPool::choose(const PlacementRequest &request,
                                                        Instant now) const
{
    unsigned listed = 0;
    unsigned candidates = 0;
    const Server *home = nullptr;
    std::uint64_t homeScore = 0;
    const std::uint64_t homeKey
        = request.parts.empty() ? 0 : mix64(request.parts.back().id, hash64(request.wall));
    for (const auto &[id, server] : servers_) {
        if (server.facts.service != request.service) {
            continue;
        }
        ++listed;
        const std::uint64_t score = rendezvousScore(homeKey, server.hash);
        if (takesWork(server, now) && !overdue(server, request.model, now)
            && (home == nullptr || score > homeScore)) {
            home = &server;
            homeScore = score;
        }
    }
    const Server *best = nullptr;
    double bestCost = 0;
    std::uint32_t bestHeld = 0;
    const Holder *bestSource = nullptr;
    const std::map<WeightsVersion, Holder> sources = holders(request, now);
    const std::uint32_t shared = sharedTokens(request);
    for (const auto &[id, server] : servers_) {
        const bool excluded = server.facts.service != request.service || !takesWork(server, now)
            || overdue(server, request.model, now)
            || std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
        if (excluded) {
            continue;
        }
        ++candidates;
        std::uint32_t held = 0;
        const Holder *source = nullptr;
        if (!request.parts.empty()) {
            const WeightsVersion weights = weightsOf(server, request.model);
            held = server.held.heldTokens(cachedParts(weights, request));
            const auto holder = sources.find(weights);
            if (holder != sources.end() && holder->second.tokens > held) {
                source = &holder->second;
            }
        }
        // Where nobody is known to hold the parts, all nodes gather them on one server.
        const std::uint32_t expectedHeld = &server == home && source == nullptr ? shared : held;
        const double expected = cost(server, request, expectedHeld, source, now);
        if (best == nullptr || expected < bestCost) {
            best = &server;
            bestCost = expected;
            bestHeld = held;
            bestSource = source;
        }
    }
    if (best == nullptr) {
        return NoPlacement { .retryAfter = RetryWhenNone, .listed = listed };
    }
    Placement placement { .server = best->facts.id,
                          .address = best->facts.address,
                          .heldTokens = bestHeld,
                          .cost = bestCost,
                          .candidates = candidates };
    if (bestSource != nullptr) {
        placement.fetchedTokens = bestSource->tokens;
        placement.fetchFrom = std::string(bestSource->address);
    }
    const CacheStore *kept = store();
    if (kept != nullptr && !request.parts.empty()) {
        const auto parts = cachedParts(weightsOf(*best, request.model), request);
        if (worthSaving(*kept, parts, now)) {
            placement.saveTo = kept->address;
        }
    }
    if (const auto version = best->facts.models.find(request.model);
        version != best->facts.models.end()) {
        placement.weights = version->second;
    }
    return placement;
}

void ServerPool::noteSent(const ServerId &id, const PlacementRequest &request,
                          std::uint32_t heldTokens, Instant now)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
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
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
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
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
    server.inFlight -= server.inFlight > 0 ? 1 : 0;
    server.unreadTokens -= std::min<std::uint64_t>(server.unreadTokens, unreadTokens);
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
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    found->second.load = load;
    found->second.loadAt = now;
    found->second.inFlightAtLoad = found->second.inFlight;
}

} // namespace jacinthroad
