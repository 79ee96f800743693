#include "Placement/ServerPool.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// How long peers keep work off a server that leaves or is listed no longer, ms: until they have
/// read so themselves.
constexpr std::uint32_t LeavingAvoidMs = 3000;

void applyParts(HeldParts &held, const ServerUpdate &notice)
{
    held.noteSent(notice.sentParts);
    held.noteRead(notice.confirmedParts);
    for (const std::uint64_t key : notice.evictedKeys) {
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

} // namespace

void ServerPool::applyNamedAges(std::span<const DesiredWeightsAge> named, Instant now)
{
    named_.mergeAges(named, now);
}

std::vector<DesiredWeightsAge> ServerPool::namedAges(Instant now) const
{
    return named_.ages(now);
}

void ServerPool::applyPeer(const std::string &peer, std::span<const ServerUpdate> notices,
                           Instant now)
{
    for (const ServerUpdate &notice : notices) {
        if (const auto kept = stores_.find(notice.server); kept != stores_.end()) {
            applyParts(kept->second.held, notice);
            continue;
        }
        Server *found = find(notice.server);
        if (found == nullptr) {
            continue;
        }
        Server &server = *found;
        server.peers[peer] = { .inFlight = notice.inFlight,
                               .unreadTokens = notice.pendingPrefillTokens,
                               .silentMs = notice.unresponsiveMs,
                               .at = now };
        if (notice.avoidMs > 0) {
            server.suspendedUntil
                = std::max(server.suspendedUntil, now + milliseconds(notice.avoidMs));
        }
        if (notice.cordonedForMs > 0) {
            closeForLoad(notice.server, notice.model, notice.weights,
                         now + milliseconds(notice.cordonedForMs));
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
    } else if (Server *server = find(id)) {
        retell(server->held, server->untoldRead);
    }
}

bool ServerPool::partsLeftToTell() const
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

std::vector<ServerUpdate> ServerPool::takeNotices(Instant now, std::size_t mostParts)
{
    std::vector<ServerUpdate> notices;
    std::size_t room = mostParts;
    for (auto &[id, server] : servers_) {
        ServerUpdate notice { .server = id,
                              .inFlight = server.inFlight,
                              .pendingPrefillTokens
                              = static_cast<std::uint32_t>(server.unreadTokens) };
        if (server.inFlight > 0) {
            notice.unresponsiveMs = wholeMilliseconds(now - server.heardAt);
        }
        notice.avoidMs = wholeMilliseconds(server.avoidedUntil - now);
        if (server.facts.leaving) {
            notice.avoidMs = std::max(notice.avoidMs, LeavingAvoidMs);
        }
        if (!server.loadingModel.empty() && server.closedUntil > now) {
            notice.model = server.loadingModel;
            notice.weights = server.loadingVersion;
            notice.cordonedForMs = wholeMilliseconds(server.closedUntil - now);
        } else if (!server.facts.models.empty()) {
            notice.model = server.facts.models.begin()->first;
            notice.weights = server.facts.models.begin()->second;
        }
        notice.sentParts = takeFront(server.untoldSent, room);
        notice.confirmedParts = takeFront(server.untoldRead, room);
        notice.evictedKeys = takeFront(server.untoldDropped, room);
        const bool quiet = notice.inFlight == 0 && notice.avoidMs == 0 && notice.sentParts.empty()
            && notice.confirmedParts.empty() && notice.evictedKeys.empty()
            && notice.cordonedForMs == 0 && server.toldInFlight == 0
            && server.toldWeights == notice.weights && !server.toldClosed;
        server.toldInFlight = notice.inFlight;
        server.toldClosed = notice.cordonedForMs > 0;
        server.toldWeights = notice.weights;
        if (!quiet) {
            notices.push_back(std::move(notice));
        }
    }
    std::erase_if(departed_, [&](const auto &entry) { return entry.second <= now; });
    for (const auto &[id, until] : departed_) {
        notices.push_back({ .server = id, .avoidMs = LeavingAvoidMs });
    }
    for (auto &[id, kept] : stores_) {
        if (!kept.untoldRead.empty() || !kept.untoldDropped.empty()) {
            ServerUpdate notice { .server = id };
            notice.confirmedParts = takeFront(kept.untoldRead, room);
            notice.evictedKeys = takeFront(kept.untoldDropped, room);
            notices.push_back(std::move(notice));
        }
    }
    return notices;
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
    } else if (Server *server = find(id)) {
        apply(server->held, server->untoldRead, server->untoldDropped);
    }
}

} // namespace jacinthroad
