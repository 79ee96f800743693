#include "Placement/ServerPool.h"

#include <algorithm>
#include <unordered_set>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// How long peers avoid a server that is leaving or no longer listed, ms: until they have read the
/// new list themselves.
constexpr std::uint32_t LeavingAvoidMs = 3000;
static_assert(LeavingAvoidMs > MaxUnreachableMs);

/// Age of data up to which it outweighs a peer's report that the server can't be reached, and the
/// same for data that another peer reports. A server that fails silently is noticed that much
/// later.
constexpr Duration FreshEvidenceAge = milliseconds(500);
constexpr Duration FreshPeerEvidenceAge = milliseconds(250);

void applyParts(CachedPartSet &cache, const ServerUpdate &update)
{
    cache.noteSent(update.sentParts);
    cache.notePrefilled(update.confirmedParts);
    for (const std::uint64_t key : update.evictedKeys) {
        cache.noteRemoved(key);
    }
}

/// Encoded size of an update without its names and parts, and of one part, as an upper estimate.
constexpr std::size_t UpdateBytes = 20;
/// Encoded size of a limit in addition.
constexpr std::size_t LimitBytes = 8;
constexpr std::size_t PartBytes = 13;

/// Calls of takeServerUpdates() between two reports of weights that have not changed.
constexpr std::uint64_t WeightsRefreshRounds = 8;

/// Time between two removals of reports that have expired.
constexpr Duration RemoveExpiredPeriod = std::chrono::seconds(1);

/// Time for which an observed limit, and the end of one, are reported to peers.
constexpr Duration LimitReportTime = std::chrono::seconds(3);
constexpr double MaxLimitPerThousandSeconds = 1e9;
/// Smallest age that says something about a limit.
constexpr std::uint32_t MinLimitAgeMs = 1;

/// What still fits into a list of updates.
struct UpdateRoom
{
    std::size_t parts = 0;
    std::size_t bytes = 0;

    void takeUpdate(std::size_t size) { bytes -= std::min(bytes, size); }
    void takeParts(std::size_t count)
    {
        parts -= count;
        bytes -= std::min(bytes, count * PartBytes);
    }
    [[nodiscard]] std::size_t partLimit() const { return std::min(parts, bytes / PartBytes); }
    [[nodiscard]] UpdateRoom half() const { return { .parts = parts / 2, .bytes = bytes / 2 }; }
};

/// Moves as many items out of the front as there is room for.
template <typename Item> std::vector<Item> takeFront(std::vector<Item> &items, UpdateRoom &room)
{
    const std::size_t count = std::min(items.size(), room.partLimit());
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Item> taken(items.begin(), end);
    items.erase(items.begin(), end);
    room.takeParts(count);
    return taken;
}

/// Returns true if a server or store has parts that its cache events reported and that peers have
/// not been told of.
template <typename Holder> bool hasPending(const Holder &holder)
{
    return !holder.pendingPrefilled.empty() || !holder.pendingRemoved.empty();
}

} // namespace

std::size_t ServerPool::encodedSizeWithoutParts(const ServerUpdate &update)
{
    const std::size_t limitBytes = update.limitAgeMs != NoLimitReport ? LimitBytes : 0;
    return UpdateBytes + limitBytes + update.server.text().size() + update.model.text().size();
}

std::vector<DesiredWeightsAge>
ServerPool::applyDesiredWeightsAges(std::span<const DesiredWeightsAge> reportedAges, Instant now)
{
    return desiredWeights_.mergeAges(reportedAges, now);
}

std::vector<DesiredWeightsAge> ServerPool::desiredWeightsAges(Instant now) const
{
    return desiredWeights_.ages(now);
}

void ServerPool::noteLeaving(Server &server, const std::string &peer, const ServerUpdate &update,
                             Instant now)
{
    const Duration avoid = milliseconds(update.avoidMs);
    if (server.leavingUntil < now + avoid) {
        server.leavingUntil = now + avoid;
        onSuspended({ .server = server.facts.id,
                      .cause = SuspensionCause::Leaving,
                      .peer = peer,
                      .time = avoid },
                    now);
    }
}

void ServerPool::applyPeerLoad(Server &server, const std::string &peer, const ServerUpdate &update,
                               Instant now, PeerScope scope)
{
    PeerLoad &load = server.peers[hash64(peer)];
    load = { .inFlight = update.inFlight,
             .pendingPrefillTokens = update.pendingPrefillTokens,
             .silentMs = update.unresponsiveMs,
             .at = now,
             .scope = scope };
    if (update.avoidMs == 0 || update.avoidMs > MaxUnreachableMs) {
        return;
    }
    load.unreachableUntil = now + milliseconds(update.avoidMs);
    server.unreachableForPeersUntil
        = std::max(server.unreachableForPeersUntil, load.unreachableUntil);
    if (const Instant until = unreachableUntil(server, now); until > now) {
        onSuspended({ .server = server.facts.id,
                      .cause = SuspensionCause::PeerReport,
                      .peer = peer,
                      .time = until - now },
                    now);
    }
}

Instant ServerPool::unreachableUntil(const Server &server, Instant now)
{
    Instant until;
    if (server.unreachableForPeersUntil <= now) {
        return until;
    }
    const auto reachedBy = [&](const PeerLoad &other) {
        return other.scope == PeerScope::Node && other.inFlight > 0 && other.unreachableUntil <= now
            && milliseconds(other.silentMs) + (now - other.at) < FreshPeerEvidenceAge;
    };
    const bool peerReaches
        = std::any_of(server.peers.begin(), server.peers.end(),
                      [&](const auto &entry) { return reachedBy(entry.second); });
    for (const auto &[peer, report] : server.peers) {
        const bool reachedSince
            = server.reachedAt.has_value() && report.at - *server.reachedAt < FreshEvidenceAge;
        if (!peerReaches && !reachedSince) {
            until = std::max(until, report.unreachableUntil);
        }
    }
    return until;
}

bool ServerPool::suspended(const Server &server, Instant now)
{
    return server.pausedUntil > now || server.avoidedUntil > now || server.leavingUntil > now
        || unreachableUntil(server, now) > now;
}

void ServerPool::removeExpiredLoads(Instant now)
{
    if (now - expiredLoadsRemovedAt_ < RemoveExpiredPeriod) {
        return;
    }
    expiredLoadsRemovedAt_ = now;
    for (auto &[id, server] : servers_) {
        std::erase_if(server.peers,
                      [now](const auto &entry) { return expired(entry.second, now); });
    }
}

void ServerPool::applyPeer(const std::string &peer, std::span<const ServerUpdate> updates,
                           Instant now, PeerScope scope, std::span<const ServiceId> lostServices)
{
    removeExpiredLoads(now);
    const bool loadsKept = reportingPeers_.note(peer, now);
    const auto withoutLinks = [&](const Server &server) {
        return scope == PeerScope::NodeWithoutLinks
            || std::find(lostServices.begin(), lostServices.end(), server.facts.service)
            != lostServices.end();
    };
    if (scope == PeerScope::NodeWithoutLinks || !lostServices.empty()) {
        for (auto &[id, server] : servers_) {
            if (withoutLinks(server)) {
                server.peers.erase(hash64(peer));
            }
        }
    }
    for (const ServerUpdate &update : updates) {
        if (const auto cacheStore = stores_.find(update.server); cacheStore != stores_.end()) {
            applyParts(cacheStore->second.cache, update);
            continue;
        }
        Server *found = find(update.server);
        if (found == nullptr) {
            continue;
        }
        Server &server = *found;
        if (loadsKept && !withoutLinks(server)) {
            applyPeerLoad(server, peer, update, now, scope);
        }
        if (toleratedRejections(server).has_value()) {
            server.statements.rejections().noteRoom(room(server, now), now);
        }
        if (update.avoidMs > MaxUnreachableMs) {
            noteLeaving(server, peer, update, now);
        }
        if (update.limitAgeMs != NoLimitReport) {
            const Instant observedAt = now - milliseconds(update.limitAgeMs);
            const std::optional<double> limit = update.limitPerThousandSeconds > 0
                ? std::optional(update.limitPerThousandSeconds / 1000.0)
                : std::nullopt;
            // An earlier boot of the server may have named it.
            if (observedAt >= server.listedAt
                && server.statements.noteLimitOfPeer(limit, observedAt)) {
                server.limitChangedAt = now;
            }
        }
        if (update.cordonedForMs > 0) {
            cordonForLoad(update.server, update.model, update.weights,
                          now + milliseconds(update.cordonedForMs));
            server.cordonedBy = peer;
            continue;
        }
        if (server.cordonedBy == peer) {
            server.cordonedBy.clear();
            server.cordonedUntil = now;
        }
        if (update.weights > 0) {
            noteWeights(server, update.model, update.weights);
        }
        applyParts(server.cache, update);
    }
}

void ServerPool::resendCachedParts(const ServerId &id)
{
    const auto queueParts = [](const CachedPartSet &cache, std::vector<CachedPart> &pendingParts) {
        std::unordered_set<std::uint64_t> queuedKeys;
        for (const CachedPart &part : pendingParts) {
            queuedKeys.insert(part.key);
        }
        for (const CachedPart &part : cache.fetchableParts()) {
            if (queuedKeys.insert(part.key).second) {
                pendingParts.push_back(part);
            }
        }
    };
    if (const auto cacheStore = stores_.find(id); cacheStore != stores_.end()) {
        queueParts(cacheStore->second.cache, cacheStore->second.pendingPrefilled);
    } else if (Server *server = find(id)) {
        queueParts(server->cache, server->pendingPrefilled);
    }
}

bool ServerPool::hasPendingParts() const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto &entry) {
                           return hasPending(entry.second) || !entry.second.pendingSent.empty();
                       })
        || std::any_of(stores_.begin(), stores_.end(),
                       [&](const auto &entry) { return hasPending(entry.second); });
}

bool ServerPool::hasLimitNews(const Server &server, Instant now)
{
    const bool relevant = server.statements.limit().perSecond().has_value()
        || (server.limitChangedAt != Instant() && now - server.limitChangedAt < LimitReportTime);
    return relevant && now - *server.statements.limit().observedAt() < LimitReportTime;
}

ServerUpdate ServerPool::updateWithoutParts(const ServerId &id, const Server &server,
                                            Instant now) const
{
    ServerUpdate update { .server = id };
    if (!lostServices_.contains(server.facts.service)) {
        update.inFlight = server.inFlight;
        update.pendingPrefillTokens = static_cast<std::uint32_t>(server.pendingPrefillTokens);
        if (server.inFlight > 0) {
            update.unresponsiveMs = wholeMilliseconds(now - server.lastReceivedAt);
        }
        // Before another connection succeeds, the link of this node may be to blame.
        const auto proven = linksProvenAt_.find(server.facts.service);
        if (proven != linksProvenAt_.end() && proven->second > server.unreachableAt) {
            update.avoidMs = wholeMilliseconds(server.avoidedUntil - now);
        }
    }
    if (hasLimitNews(server, now)) {
        update.limitPerThousandSeconds = static_cast<std::uint32_t>(std::min(
            server.statements.limit().perSecond().value_or(0) * 1000, MaxLimitPerThousandSeconds));
        update.limitAgeMs = std::max(
            MinLimitAgeMs, wholeMilliseconds(now - *server.statements.limit().observedAt()));
    }
    if (server.facts.leaving) {
        update.avoidMs = std::max(update.avoidMs, LeavingAvoidMs);
    }
    if (!server.loadingModel.empty() && server.cordonedUntil > now) {
        update.model = server.loadingModel;
        update.weights = server.loadingVersion;
        update.cordonedForMs = wholeMilliseconds(server.cordonedUntil - now);
    } else if (!server.facts.models.empty()) {
        update.model = server.facts.models.begin()->first;
        update.weights = server.facts.models.begin()->second;
    }
    return update;
}

std::vector<ServerUpdate> ServerPool::takeServerUpdates(Instant now, std::size_t maxParts,
                                                        std::size_t maxBytes)
{
    struct Candidate
    {
        Server *server = nullptr;
        ServerUpdate update;
        bool urgent = false;
    };
    ++updateRound_;
    std::vector<Candidate> candidates;
    for (auto &[id, server] : servers_) {
        ServerUpdate update = updateWithoutParts(id, server, now);
        const bool urgent = update.avoidMs > 0 || update.cordonedForMs > 0
            || update.limitAgeMs != NoLimitReport || server.reportedCordoned
            || server.reportedWeights != update.weights;
        if (urgent || update.inFlight > 0 || server.reportedInFlight > 0
            || !server.pendingSent.empty() || hasPending(server)) {
            candidates.push_back(
                { .server = &server, .update = std::move(update), .urgent = urgent });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return left.urgent != right.urgent
                      ? left.urgent
                      : left.server->reportedRound < right.server->reportedRound;
              });

    UpdateRoom room { .parts = maxParts, .bytes = maxBytes };
    std::vector<ServerUpdate> updates;
    std::erase_if(removedServers_, [&](const auto &entry) { return entry.second <= now; });
    for (const auto &[id, until] : removedServers_) {
        updates.push_back({ .server = id, .avoidMs = LeavingAvoidMs });
        room.takeUpdate(encodedSizeWithoutParts(updates.back()));
    }
    for (auto &[id, cacheStore] : stores_) {
        if (hasPending(cacheStore)) {
            ServerUpdate update { .server = id };
            room.takeUpdate(encodedSizeWithoutParts(update));
            // The rest is for the servers, of which any node may have news.
            UpdateRoom share = room.half();
            update.confirmedParts = takeFront(cacheStore.pendingPrefilled, share);
            update.evictedKeys = takeFront(cacheStore.pendingRemoved, share);
            room.takeParts(update.confirmedParts.size() + update.evictedKeys.size());
            updates.push_back(std::move(update));
        }
    }
    // Every node needs the load of a server, so parts get what the servers leave, but at least a
    // third.
    const std::size_t partBytes = room.bytes / 3;
    std::size_t count = 0;
    bool loadsBegun = false;
    for (Candidate &candidate : candidates) {
        const Server &server = *candidate.server;
        ServerUpdate &update = candidate.update;
        if (!candidate.urgent) {
            // Servers not to be used may be many for seconds.
            if (!loadsBegun) {
                room.bytes = std::max(room.bytes, maxBytes / 2);
                loadsBegun = true;
            }
            if (updateRound_ % WeightsRefreshRounds != server.hash % WeightsRefreshRounds) {
                update.model = ModelId();
                update.weights = 0;
            }
            if (room.bytes < partBytes + encodedSizeWithoutParts(update)) {
                break;
            }
        }
        room.takeUpdate(encodedSizeWithoutParts(update));
        ++count;
    }
    for (Candidate &candidate : std::span(candidates).first(count)) {
        Server &server = *candidate.server;
        ServerUpdate &update = candidate.update;
        update.sentParts = takeFront(server.pendingSent, room);
        update.confirmedParts = takeFront(server.pendingPrefilled, room);
        update.evictedKeys = takeFront(server.pendingRemoved, room);
        server.reportedInFlight = update.inFlight;
        server.reportedCordoned = update.cordonedForMs > 0;
        if (candidate.urgent) {
            server.reportedWeights = update.weights;
        }
        server.reportedRound = updateRound_;
        updates.push_back(std::move(update));
    }
    return updates;
}

void ServerPool::applyCacheEvents(const ServerId &id, const CacheEvents &events)
{
    const auto apply = [&](CachedPartSet &cache, std::vector<CachedPart> &pendingPrefilled,
                           std::vector<std::uint64_t> &pendingRemoved) {
        if (events.restarted) {
            cache.clear();
        }
        cache.notePrefilled(events.stored);
        for (const std::uint64_t key : events.removed) {
            cache.noteRemoved(key);
        }
        pendingPrefilled.insert(pendingPrefilled.end(), events.stored.begin(), events.stored.end());
        pendingRemoved.insert(pendingRemoved.end(), events.removed.begin(), events.removed.end());
    };
    if (const auto cacheStore = stores_.find(id); cacheStore != stores_.end()) {
        apply(cacheStore->second.cache, cacheStore->second.pendingPrefilled,
              cacheStore->second.pendingRemoved);
    } else if (Server *server = find(id)) {
        apply(server->cache, server->pendingPrefilled, server->pendingRemoved);
    }
}

} // namespace jacinthroad
