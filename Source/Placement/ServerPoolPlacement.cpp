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
/// Advice where no server takes work: the time in which a suspended one is tried again.
constexpr Duration RetryWhenNone = milliseconds(300);
/// A peer that has told nothing for this long says nothing of a server's silence any more.
constexpr Duration PeerReportLife = milliseconds(700);
/// Parts that the store has not told of this long after they were sent are sent again: the time
/// to read a long prompt and the store's own limit for transfers.
constexpr Duration SavingTime = milliseconds(3000);
/// Parts on their way beyond which old ones are looked for and forgotten.
constexpr std::size_t MostSaving = 1000;

double decayed(double value, Duration age)
{
    const double halves = toMilliseconds(age) / toMilliseconds(ReportHalfLife);
    return halves > 10 ? 0 : value * std::exp2(-halves);
}

} // namespace

bool ServerPool::replaced(const Server &server, const ModelId &model) const
{
    return named_.isOutdated(model, weightsOf(server, model));
}

bool ServerPool::overdue(const Server &server, const ModelId &model, Instant now) const
{
    const auto since = named_.outdatedSince(model, weightsOf(server, model));
    return since.has_value() && now - *since >= options_.weightsOverdue;
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
        // A closed server may be loading: what it holds may stem from other weights.
        const bool open
            = server.suspendedUntil <= now && server.closedUntil <= now && !silent(server, now);
        if (!open) {
            continue;
        }
        const std::uint32_t held = server.held.readTokens(version->second.parts);
        if (held > version->second.holder.tokens) {
            version->second.holder = { .address = server.facts.address, .tokens = held };
        }
    }
    const CacheStore *kept = store();
    if (kept == nullptr) {
        return versions;
    }
    for (auto &[weights, version] : versions) {
        const std::uint32_t held = kept->held.readTokens(version.parts);
        if (held > version.holder.tokens) {
            version.holder = { .address = kept->address, .tokens = held, .isStore = true };
        }
    }
    return versions;
}

ServerPool::Cost ServerPool::cost(const Server &server, const PlacementRequest &request,
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
    double wait = 0;
    double reading = 0;
    if (request.model.empty()) {
        const double slots = std::max(1U, server.facts.slots);
        const double queued = std::max(0.0, load + 1 - slots) / slots;
        wait = pace * options_.serviceWorkMs * queued;
        expected += wait + pace * options_.serviceWorkMs * (1 + 0.25 * load / slots);
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
        wait = pace * (ahead * options_.aheadTokenMs + load * options_.engineLoadMs);
        reading = pace * unread * options_.ownTokenMs;
        expected += wait + reading + options_.rereadWeight * reread * options_.ownTokenMs
            + (replaced(server, request.model) ? options_.oldWeightsMs : 0);
    }
    return { .wait = wait,
             .reading = reading,
             .total = expected + toMilliseconds(server.facts.warmUpRemaining) / 10 };
}

std::variant<Placement, NoPlacement> ServerPool::choose(const PlacementRequest &request,
                                                        Instant now) const
{
    unsigned listed = 0;
    std::vector<const Server *> open;
    const Server *home = nullptr;
    std::uint64_t homeScore = 0;
    const std::uint64_t homeKey
        = request.parts.empty() ? 0 : mix64(request.parts.back().id, hash64(request.wall));
    for (const auto &[id, server] : servers_) {
        if (server.facts.service != request.service) {
            continue;
        }
        ++listed;
        if (!takesWork(server, now) || overdue(server, request.model, now)) {
            continue;
        }
        open.push_back(&server);
        const std::uint64_t score = rendezvousScore(homeKey, server.hash);
        if (home == nullptr || score > homeScore) {
            home = &server;
            homeScore = score;
        }
    }
    unsigned candidates = 0;
    const Server *best = nullptr;
    Cost bestCost;
    std::uint32_t bestHeld = 0;
    const Holder *bestSource = nullptr;
    const std::map<WeightsVersion, VersionParts> versions = versionParts(request, now);
    const std::uint32_t shared = sharedTokens(request);
    for (const Server *server : open) {
        if (std::find(request.tried.begin(), request.tried.end(), server->facts.id)
            != request.tried.end()) {
            continue;
        }
        ++candidates;
        std::uint32_t held = 0;
        const Holder *source = nullptr;
        if (!request.parts.empty()) {
            const VersionParts &version = versions.at(weightsOf(*server, request.model));
            held = server->held.heldTokens(version.parts);
            source = version.holder.tokens > held ? &version.holder : nullptr;
        }
        // Where nobody is known to hold the parts, all nodes gather them on one server.
        const std::uint32_t expectedHeld = server == home && source == nullptr ? shared : held;
        const Cost expected = cost(*server, request, expectedHeld, source, now);
        if (best == nullptr || expected.total < bestCost.total) {
            best = server;
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
                          .cost = bestCost.total,
                          .wait = fromMilliseconds(bestCost.wait),
                          .reading = fromMilliseconds(bestCost.reading),
                          .candidates = candidates };
    if (bestSource != nullptr) {
        placement.fetchedTokens = bestSource->tokens;
        placement.fetchFrom = std::string(bestSource->address);
    }
    const CacheStore *kept = store();
    if (kept != nullptr && !request.parts.empty()) {
        const VersionParts &version = versions.at(weightsOf(*best, request.model));
        if (worthSaving(*kept, version.parts, now)) {
            placement.saveTo = kept->address;
        }
    }
    if (const auto version = best->facts.models.find(request.model);
        version != best->facts.models.end()) {
        placement.weights = version->second;
    }
    return placement;
}

} // namespace jacinthroad
