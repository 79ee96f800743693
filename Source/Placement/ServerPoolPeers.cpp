#include "Placement/ServerPool.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// How long peers avoid a server that is leaving or no longer listed, ms: until they have read the
/// new list themselves.
constexpr std::uint32_t LeavingAvoidMs = 3000;

void applyParts(CachedPartSet &cache, const ServerUpdate &update)
{
    cache.noteSent(update.sentParts);
    cache.notePrefilled(update.confirmedParts);
    for (const std::uint64_t key : update.evictedKeys) {
        cache.noteRemoved(key);
    }
}

/// Moves up to `limit` items out of the front and subtracts their number from `limit`.
template <typename Item> std::vector<Item> takeFront(std::vector<Item> &items, std::size_t &limit)
{
    const std::size_t count = std::min(items.size(), limit);
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Item> taken(items.begin(), end);
    items.erase(items.begin(), end);
    limit -= count;
    return taken;
}

} // namespace

void ServerPool::applyDesiredWeightsAges(std::span<const DesiredWeightsAge> reportedAges,
                                         Instant now)
{
    desiredWeights_.mergeAges(reportedAges, now);
}

std::vector<DesiredWeightsAge> ServerPool::desiredWeightsAges(Instant now) const
{
    return desiredWeights_.ages(now);
}

void ServerPool::applyPeer(const std::string &peer, std::span<const ServerUpdate> updates,
                           Instant now)
{
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
        server.peers[peer] = { .inFlight = update.inFlight,
                               .pendingPrefillTokens = update.pendingPrefillTokens,
                               .silentMs = update.unresponsiveMs,
                               .at = now };
        if (update.avoidMs > 0) {
            server.suspendedUntil
                = std::max(server.suspendedUntil, now + milliseconds(update.avoidMs));
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
        const std::vector<CachedPart> parts = cache.fetchableParts();
        pendingParts.insert(pendingParts.begin(), parts.begin(), parts.end());
    };
    if (const auto cacheStore = stores_.find(id); cacheStore != stores_.end()) {
        queueParts(cacheStore->second.cache, cacheStore->second.pendingPrefilled);
    } else if (Server *server = find(id)) {
        queueParts(server->cache, server->pendingPrefilled);
    }
}

bool ServerPool::hasPendingParts() const
{
    const auto hasPending = [](const auto &holder) {
        return !holder.pendingPrefilled.empty() || !holder.pendingRemoved.empty();
    };
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto &entry) {
                           return hasPending(entry.second) || !entry.second.pendingSent.empty();
                       })
        || std::any_of(stores_.begin(), stores_.end(),
                       [&](const auto &entry) { return hasPending(entry.second); });
}

std::vector<ServerUpdate> ServerPool::takeServerUpdates(Instant now, std::size_t maxParts)
{
    std::vector<ServerUpdate> updates;
    std::size_t limit = maxParts;
    for (auto &[id, server] : servers_) {
        ServerUpdate update { .server = id,
                              .inFlight = server.inFlight,
                              .pendingPrefillTokens
                              = static_cast<std::uint32_t>(server.pendingPrefillTokens) };
        if (server.inFlight > 0) {
            update.unresponsiveMs = wholeMilliseconds(now - server.lastReceivedAt);
        }
        update.avoidMs = wholeMilliseconds(server.avoidedUntil - now);
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
        update.sentParts = takeFront(server.pendingSent, limit);
        update.confirmedParts = takeFront(server.pendingPrefilled, limit);
        update.evictedKeys = takeFront(server.pendingRemoved, limit);
        const bool unchanged = update.inFlight == 0 && update.avoidMs == 0
            && update.sentParts.empty() && update.confirmedParts.empty()
            && update.evictedKeys.empty() && update.cordonedForMs == 0
            && server.reportedInFlight == 0 && server.reportedWeights == update.weights
            && !server.reportedCordoned;
        server.reportedInFlight = update.inFlight;
        server.reportedCordoned = update.cordonedForMs > 0;
        server.reportedWeights = update.weights;
        if (!unchanged) {
            updates.push_back(std::move(update));
        }
    }
    std::erase_if(removedServers_, [&](const auto &entry) { return entry.second <= now; });
    for (const auto &[id, until] : removedServers_) {
        updates.push_back({ .server = id, .avoidMs = LeavingAvoidMs });
    }
    for (auto &[id, cacheStore] : stores_) {
        if (!cacheStore.pendingPrefilled.empty() || !cacheStore.pendingRemoved.empty()) {
            ServerUpdate update { .server = id };
            update.confirmedParts = takeFront(cacheStore.pendingPrefilled, limit);
            update.evictedKeys = takeFront(cacheStore.pendingRemoved, limit);
            updates.push_back(std::move(update));
        }
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
