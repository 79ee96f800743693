#include "Placement/ServerPool.h"

#include <algorithm>
#include <cmath>

#include "Core/Hashing.h"
#include "Routing/Rendezvous.h"

namespace jacinthroad {

namespace {

/// Time in which a load report that is not renewed loses half of its weight; about the duration of
/// a request on a server.
constexpr Duration LoadReportHalfLife = milliseconds(400);
/// The same for the sums of another availability zone, which follow each other more slowly.
constexpr Duration ZoneReportHalfLife = milliseconds(1000);
/// Retry delay if no server takes work; about the time until a suspended server is tried again.
constexpr Duration NoServerRetryAfter = milliseconds(300);
/// Age from which a peer's report is not used to decide whether a server is unresponsive.
constexpr Duration PeerReportLifetime = milliseconds(700);
/// Parts that the store has not reported after this time are saved again. It covers the prefill of
/// a long prompt and the store's own limit for transfers.
constexpr Duration SaveTimeout = milliseconds(3000);
/// Number of parts being saved above which expired entries are removed.
constexpr std::size_t MaxPendingSaves = 1000;

/// Time over which callers come back that were refused because of what servers stated, and the
/// number of moments in it.
constexpr Duration ReturnSpread = milliseconds(500);
constexpr std::uint64_t ReturnSlots = 64;

/// Time for which what one server of a service stated about itself counts against a later
/// statement of another.
constexpr Duration StatementLifetime = std::chrono::seconds(1);

Duration halfLife(PeerScope scope)
{
    return scope == PeerScope::Zone ? ZoneReportHalfLife : LoadReportHalfLife;
}

/// Half-lives after which a report has no weight.
constexpr int MaxHalfLives = 10;
// The longest avoidance that a peer reports has ended then.
static_assert(MaxHalfLives * LoadReportHalfLife >= milliseconds(MaxUnreachableMs));
static_assert(MaxHalfLives * ZoneReportHalfLife < ReportingPeers::UnregisteredLifetime);

double decayed(double value, Duration age, Duration halfLife = LoadReportHalfLife)
{
    const double halves = toMilliseconds(age) / toMilliseconds(halfLife);
    return halves > MaxHalfLives ? 0 : value * std::exp2(-halves);
}

} // namespace

bool ServerPool::expired(const PeerLoad &load, Instant now)
{
    return now - load.at > MaxHalfLives * halfLife(load.scope);
}

bool ServerPool::runsOutdatedWeights(const Server &server, const ModelId &model) const
{
    return desiredWeights_.isOutdated(model, weightsOf(server, model));
}

bool ServerPool::outdatedWeightsExpired(const Server &server, const ModelId &model,
                                        Instant now) const
{
    const auto since = desiredWeights_.outdatedSince(model, weightsOf(server, model));
    return since.has_value() && now - *since >= options_.outdatedWeightsGrace;
}

bool ServerPool::lacksWeights(const Server &server, const ModelId &model) const
{
    if (model.empty() || weightsOf(server, model) != 0) {
        return false;
    }
    const auto service = services_.find(server.facts.service);
    return service != services_.end() && service->second.engine.has_value();
}

bool ServerPool::unresponsive(const Server &server, Instant now) const
{
    Duration silence = Duration::max();
    double unprefilledTokens = static_cast<double>(server.pendingPrefillTokens);
    if (server.inFlight > 0) {
        silence = now - server.lastReceivedAt;
    }
    for (const auto &[peer, load] : server.peers) {
        if (load.inFlight > 0 && now - load.at < PeerReportLifetime) {
            silence = std::min(silence, milliseconds(load.silentMs) + (now - load.at));
            unprefilledTokens += load.pendingPrefillTokens;
        }
    }
    if (silence == Duration::max()) {
        return false;
    }
    const Duration explained = fromMilliseconds(2 * unprefilledTokens * options_.prefillMsPerToken);
    return silence > options_.unresponsiveAfter + explained;
}

bool ServerPool::unresponsive(const ServerId &id, Instant now) const
{
    const auto found = servers_.find(id);
    return found != servers_.end() && unresponsive(found->second, now);
}

bool ServerPool::acceptsWork(const Server &server, Instant now) const
{
    return !server.facts.leaving && !unresponsive(server, now) && server.cordonedUntil <= now;
}

std::optional<LimitRank> ServerPool::limitRank(const Server &server) const
{
    if (std::find(nodeHashes_.begin(), nodeHashes_.end(), selfHash_) == nodeHashes_.end()) {
        return std::nullopt;
    }
    const std::uint64_t own = rendezvousScore(server.hash, selfHash_);
    const auto rank = static_cast<std::size_t>(
        std::count_if(nodeHashes_.begin(), nodeHashes_.end(), [&](std::uint64_t node) {
            return rendezvousScore(server.hash, node) > own;
        }));
    return LimitRank { .rank = rank, .nodes = nodeHashes_.size() };
}

LimitRank ServerPool::placeAmongNodes(const Server &server) const
{
    constexpr std::size_t Unknown = std::numeric_limits<std::uint32_t>::max();
    return limitRank(server).value_or(LimitRank { .rank = Unknown - 1, .nodes = Unknown });
}

std::optional<unsigned> ServerPool::toleratedRejections(const Server &server) const
{
    const RejectionLimit &own = server.statements.rejections();
    const auto service = serviceRejections_.find(server.facts.service);
    if (service == serviceRejections_.end()) {
        return own.perSecond();
    }
    const bool current = own.observedAt().has_value()
        && service->second.observedAt - *own.observedAt() <= StatementLifetime;
    return current ? own.perSecond() : service->second.perSecond;
}

ServerRoom ServerPool::room(const Server &server, Instant now) const
{
    const unsigned own = server.inFlight + server.sending;
    return { .slots = server.facts.slots, .own = own, .all = own + loadOfPeers(server, now) };
}

SendPermission ServerPool::permission(const Server &server, Instant now) const
{
    SendPermission permitted = server.statements.permission({}, now);
    if (server.statements.limit().perSecond().has_value()) {
        const std::optional<LimitRank> place = limitRank(server);
        if (!place.has_value()) {
            // Without the list of nodes, this one doesn't know its place among them.
            return { .reason = WithholdReason::Limit,
                     .after = server.statements.limit().retryAfter() };
        }
        permitted = server.statements.permission(*place, now);
    }
    const std::optional<unsigned> tolerated = toleratedRejections(server);
    if (!permitted.allowed() || !tolerated.has_value()) {
        return permitted;
    }
    const RejectionLimit &rejections = server.statements.rejections();
    const Duration after
        = rejections.sendAfter(*tolerated, placeAmongNodes(server), room(server, now), now);
    if (after <= Duration::zero()) {
        return permitted;
    }
    return { .reason = WithholdReason::Rejections,
             .after = after,
             .age = now - rejections.observedAt().value_or(now) };
}

std::vector<CachedPart> ServerPool::cachedParts(WeightsVersion weights,
                                                const PlacementRequest &request)
{
    const std::string salt = cacheSalt(weights, request.cacheScope);
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

bool ServerPool::needsSaving(const CacheStore &cacheStore, std::span<const CachedPart> parts,
                             Instant now)
{
    std::uint32_t tokens = 0;
    bool allPending = true;
    for (const CachedPart &part : parts) {
        tokens += part.tokens;
        const auto since = cacheStore.pendingSaves.find(part.key);
        allPending = allPending && since != cacheStore.pendingSaves.end()
            && now - since->second < SaveTimeout;
    }
    return !allPending && cacheStore.cache.fetchableTokens(parts) < tokens;
}

void ServerPool::noteSaving(CacheStore &cacheStore, std::span<const CachedPart> parts, Instant now)
{
    if (cacheStore.pendingSaves.size() > MaxPendingSaves) {
        std::erase_if(cacheStore.pendingSaves,
                      [&](const auto &entry) { return now - entry.second >= SaveTimeout; });
    }
    for (const CachedPart &part : parts) {
        cacheStore.pendingSaves[part.key] = now;
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

WeightsVersion ServerPool::weightsOf(const Server &server, const ModelId &model)
{
    const auto version = server.facts.models.find(model);
    return version == server.facts.models.end() ? 0 : version->second;
}

std::map<WeightsVersion, ServerPool::VersionParts>
ServerPool::versionParts(const PlacementRequest &request, Instant now) const
{
    std::map<WeightsVersion, VersionParts> versions;
    if (request.parts.empty()) {
        return versions;
    }
    for (const auto &[id, server] : servers_) {
        if (server.facts.service != request.service) {
            continue;
        }
        const WeightsVersion weights = weightsOf(server, request.model);
        const auto [version, added] = versions.try_emplace(weights);
        if (added) {
            version->second.parts = cachedParts(weights, request);
        }
        // A cordoned server may be loading, so its cached parts may belong to other weights.
        const bool available
            = !suspended(server, now) && server.cordonedUntil <= now && !unresponsive(server, now);
        if (!available) {
            continue;
        }
        const std::uint32_t cached = server.cache.fetchableTokens(version->second.parts);
        if (cached > version->second.holder.tokens) {
            version->second.holder = { .address = server.facts.address, .tokens = cached };
        }
    }
    const CacheStore *cacheStore = store();
    if (cacheStore == nullptr) {
        return versions;
    }
    for (auto &[weights, version] : versions) {
        const std::uint32_t cached = cacheStore->cache.fetchableTokens(version.parts);
        if (cached > version.holder.tokens) {
            version.holder = { .address = cacheStore->address, .tokens = cached, .isStore = true };
        }
    }
    return versions;
}

double ServerPool::loadOfPeers(const Server &server, Instant now) const
{
    double load = 0;
    for (const auto &[peer, peerLoad] : server.peers) {
        load += decayed(peerLoad.inFlight, now - peerLoad.at, halfLife(peerLoad.scope));
    }
    const ReportedLoad &report = server.statements.load();
    const double reported = report.running + report.waiting;
    return std::max(
        load,
        decayed(std::max(0.0, reported - server.inFlightAtLoad), now - server.statements.loadAt()));
}

ServerPool::Cost ServerPool::cost(const Server &server, const PlacementRequest &request,
                                  std::uint32_t cachedPromptTokens, const Holder *source,
                                  Instant now) const
{
    const ReportedLoad &reportedLoad = server.statements.load();
    const Duration loadAge = now - server.statements.loadAt();
    double prefillTokensOfPeers = 0;
    for (const auto &[peer, peerLoad] : server.peers) {
        prefillTokensOfPeers
            += decayed(peerLoad.pendingPrefillTokens, now - peerLoad.at, halfLife(peerLoad.scope));
    }
    const double load = server.inFlight + loadOfPeers(server, now);
    const double slowdown = 1 + decayed(std::max(0.0, reportedLoad.slowdown - 1), loadAge);
    double expected = server.facts.zone == options_.zone ? 0 : options_.otherZoneMs;
    // A limit whose end may have been missed is tried without preference.
    const ServerLimit &limit = server.statements.limit();
    if (limit.perSecond().has_value() && !limit.needsRenewal(now)) {
        expected += options_.limitedServerMs;
    }
    double waitMs = 0;
    double prefillMs = 0;
    if (request.model.empty()) {
        const double slots = std::max(1U, server.facts.slots);
        const double queued = std::max(0.0, load + 1 - slots) / slots;
        waitMs = slowdown * options_.serviceWorkMs * queued;
        expected += waitMs + slowdown * options_.serviceWorkMs * (1 + 0.25 * load / slots);
    } else {
        const std::uint32_t found = source == nullptr ? cachedPromptTokens : source->tokens;
        const std::uint32_t unprefilledTokens
            = request.promptTokens - std::min(request.promptTokens, found);
        const std::uint32_t shared = sharedTokens(request);
        const double recomputedTokens = shared - std::min(shared, found);
        if (source != nullptr) {
            const double perThousand
                = source->isStore ? options_.storeMsPerThousand : options_.fetchMsPerThousand;
            expected += options_.fetchMs + perThousand * (found - cachedPromptTokens) / 1000;
        }
        const double tokensAhead
            = static_cast<double>(server.pendingPrefillTokens) + prefillTokensOfPeers;
        waitMs
            = slowdown * (tokensAhead * options_.queuedMsPerToken + load * options_.engineLoadMs);
        prefillMs = slowdown * unprefilledTokens * options_.prefillMsPerToken;
        expected += waitMs + prefillMs
            + options_.recomputeWeight * recomputedTokens * options_.prefillMsPerToken
            + (runsOutdatedWeights(server, request.model) ? options_.outdatedWeightsMs : 0);
    }
    return { .waitMs = waitMs,
             .prefillMs = prefillMs,
             .totalMs = expected + toMilliseconds(server.facts.warmUpRemaining) / 10 };
}

std::variant<Placement, NoPlacement> ServerPool::choose(const PlacementRequest &request,
                                                        Instant now) const
{
    unsigned listed = 0;
    SendPermission withheld;
    std::vector<const Server *> available;
    std::vector<const Server *> avoided;
    const bool someAvoided = unfinished_.avoidsAny(request.route, now)
        || unfinishedStreams_.avoidsAny(request.route, now);
    bool othersReturnSoon = false;
    const Server *owner = nullptr;
    std::uint64_t ownerScore = 0;
    const std::uint64_t ownerKey
        = request.parts.empty() ? 0 : mix64(request.parts.back().id, hash64(request.cacheScope));
    for (const auto &[id, server] : servers_) {
        if (server.facts.service != request.service) {
            continue;
        }
        ++listed;
        if (request.softwareVersions != nullptr
            && !request.softwareVersions->contains(server.facts.softwareVersion)) {
            continue;
        }
        if (!acceptsWork(server, now) || outdatedWeightsExpired(server, request.model, now)
            || lacksWeights(server, request.model)) {
            continue;
        }
        if (const SendPermission permitted = permission(server, now); !permitted.allowed()) {
            // Servers that leave don't take requests again.
            if (permitted.after.has_value()
                && (withheld.allowed() || *permitted.after < *withheld.after)) {
                withheld = permitted;
            }
            continue;
        }
        if (suspended(server, now)) {
            othersReturnSoon = othersReturnSoon || server.pausedUntil > now;
            continue;
        }
        if (someAvoided
            && (unfinished_.avoided(request.route, id, now)
                || unfinishedStreams_.avoided(request.route, id, now))) {
            avoided.push_back(&server);
            continue;
        }
        available.push_back(&server);
        const std::uint64_t score = rendezvousScore(ownerKey, server.hash);
        if (owner == nullptr || score > ownerScore) {
            owner = &server;
            ownerScore = score;
        }
    }
    // Without any other server, a response that may have no end is better than none.
    if (available.empty() && withheld.allowed() && !othersReturnSoon) {
        available = std::move(avoided);
    }
    unsigned candidates = 0;
    const Server *best = nullptr;
    Cost bestCost;
    std::uint32_t bestCached = 0;
    const Holder *bestSource = nullptr;
    const std::map<WeightsVersion, VersionParts> versions = versionParts(request, now);
    const std::uint32_t shared = sharedTokens(request);
    for (const Server *server : available) {
        if (std::find(request.tried.begin(), request.tried.end(), server->facts.id)
            != request.tried.end()) {
            continue;
        }
        const bool preferred
            = request.preferred != nullptr && server->facts.id == *request.preferred;
        if (request.onlyPreferred && !preferred) {
            continue;
        }
        ++candidates;
        std::uint32_t cached = 0;
        const Holder *source = nullptr;
        if (!request.parts.empty()) {
            const VersionParts &version = versions.at(weightsOf(*server, request.model));
            cached = server->cache.cachedTokens(version.parts);
            source = version.holder.tokens > cached ? &version.holder : nullptr;
        }
        // If no server is known to have the parts cached, all nodes choose the same owner.
        const std::uint32_t expectedCached = server == owner && source == nullptr ? shared : cached;
        const Cost expected = cost(*server, request, expectedCached, source, now);
        if (best == nullptr || expected.totalMs < bestCost.totalMs || preferred) {
            best = server;
            bestCost = expected;
            bestCached = cached;
            bestSource = source;
        }
        if (preferred) {
            break;
        }
    }
    if (best == nullptr) {
        Duration retryAfter = NoServerRetryAfter;
        if (!withheld.allowed()) {
            retryAfter = std::max(retryAfter, *withheld.after)
                + ReturnSpread * (request.seed % ReturnSlots) / ReturnSlots;
        }
        return NoPlacement { .retryAfter = retryAfter, .listed = listed, .withheld = withheld };
    }
    Placement placement { .server = best->facts.id,
                          .address = best->facts.address,
                          .bootedAt = best->facts.bootedAt,
                          .softwareVersion = best->facts.softwareVersion,
                          .cachedPromptTokens = bestCached,
                          .cost = bestCost.totalMs,
                          .wait = fromMilliseconds(bestCost.waitMs),
                          .prefillTime = fromMilliseconds(bestCost.prefillMs),
                          .candidates = candidates };
    if (bestSource != nullptr) {
        placement.tokensAfterFetch = bestSource->tokens;
        placement.fetchFrom = std::string(bestSource->address);
    }
    const CacheStore *cacheStore = store();
    if (cacheStore != nullptr && !request.parts.empty()) {
        const VersionParts &version = versions.at(weightsOf(*best, request.model));
        if (needsSaving(*cacheStore, version.parts, now)) {
            placement.saveTo = cacheStore->address;
        }
    }
    if (const auto version = best->facts.models.find(request.model);
        version != best->facts.models.end()) {
        placement.weights = version->second;
    }
    return placement;
}

} // namespace jacinthroad
