#include <algorithm>
#include <utility>

#include "Placement/ServerPool.h"

namespace jacinthroad {

std::string zonePeerName(std::string_view zone)
{
    return "zone/" + std::string(zone);
}

ServerUpdate ServerPool::summaryUpdate(const ServerId &id, const Server &server, Instant now) const
{
    ServerUpdate update = updateWithoutParts(id, server, now);
    const Instant avoidedUntil = std::max(server.leavingUntil, unreachableUntil(server, now));
    update.avoidMs = std::max(update.avoidMs, wholeMilliseconds(avoidedUntil - now));
    for (const auto &[peer, load] : server.peers) {
        if (load.scope != PeerScope::Node || now - load.at >= SummarizedReportLifetime) {
            continue;
        }
        const std::uint32_t silentMs = load.silentMs + wholeMilliseconds(now - load.at);
        if (load.inFlight > 0) {
            update.unresponsiveMs
                = update.inFlight == 0 ? silentMs : std::min(update.unresponsiveMs, silentMs);
        }
        update.inFlight += load.inFlight;
        update.pendingPrefillTokens += load.pendingPrefillTokens;
    }
    return update;
}

std::vector<ServerUpdate> ServerPool::takeZoneSummary(Instant now, std::size_t maxBytes)
{
    struct Candidate
    {
        Server *server = nullptr;
        ServerUpdate update;
        bool urgent = false;
    };
    std::vector<Candidate> candidates;
    for (auto &[id, server] : servers_) {
        ServerUpdate update = summaryUpdate(id, server, now);
        const bool urgent
            = update.avoidMs > 0 || update.cordonedForMs > 0 || update.limitAgeMs != NoLimitReport;
        if (urgent || update.inFlight > 0 || server.summarizedLoad || server.summarizedCordon) {
            candidates.push_back(
                { .server = &server, .update = std::move(update), .urgent = urgent });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  return left.urgent != right.urgent
                      ? left.urgent
                      : left.server->summarizedAt < right.server->summarizedAt;
              });
    std::vector<ServerUpdate> updates;
    std::size_t bytes = 0;
    for (Candidate &candidate : candidates) {
        bytes += encodedSizeWithoutParts(candidate.update);
        if (bytes > maxBytes) {
            break;
        }
        candidate.server->summarizedAt = now;
        candidate.server->summarizedLoad = candidate.update.inFlight > 0;
        candidate.server->summarizedCordon = candidate.update.cordonedForMs > 0;
        updates.push_back(std::move(candidate.update));
    }
    return updates;
}

} // namespace jacinthroad
