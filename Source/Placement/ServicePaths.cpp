#include "Placement/ServicePaths.h"

#include <algorithm>
#include <tuple>

namespace jacinthroad {

void ServicePaths::setServers(const std::map<ServerId, ServiceId> &servers)
{
    std::erase_if(servers_, [&](const auto &entry) { return !servers.contains(entry.first); });
    for (const auto &[id, service] : servers) {
        servers_[id].service = service;
    }
}

void ServicePaths::noteFailed(const ServerId &server, Instant now)
{
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
        found->second.failedAt = now;
    }
}

void ServicePaths::noteReached(const ServerId &server)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    for (auto &[id, other] : servers_) {
        if (other.service == found->second.service) {
            other.failedAt.reset();
        }
    }
}

bool ServicePaths::hasFailed(const Server &server, Instant now) const
{
    return server.failedAt.has_value() && now - *server.failedAt < options_.evidenceLifetime;
}

bool ServicePaths::unreachable(const ServiceId &service, Instant now) const
{
    std::size_t listed = 0;
    std::size_t failed = 0;
    for (const auto &[id, server] : servers_) {
        if (server.service == service) {
            ++listed;
            failed += hasFailed(server, now) ? 1 : 0;
        }
    }
    return failed > 0 && 2 * failed >= listed;
}

std::vector<ServerId> ServicePaths::probes(Instant now)
{
    std::map<ServiceId, std::vector<std::map<ServerId, Server>::iterator>> suspects;
    for (const auto &[id, server] : servers_) {
        if (hasFailed(server, now)) {
            suspects[server.service];
        }
    }
    for (auto entry = servers_.begin(); entry != servers_.end(); ++entry) {
        const auto suspect = suspects.find(entry->second.service);
        if (suspect != suspects.end()) {
            suspect->second.push_back(entry);
        }
    }
    std::vector<ServerId> chosen;
    for (auto &[service, servers] : suspects) {
        const auto last = probedAt_.find(service);
        if (last != probedAt_.end() && now - last->second < options_.probeInterval) {
            continue;
        }
        probedAt_[service] = now;
        // Those that haven't failed tell more.
        std::sort(servers.begin(), servers.end(), [&](const auto &left, const auto &right) {
            return std::make_tuple(hasFailed(left->second, now), left->second.probedAt)
                < std::make_tuple(hasFailed(right->second, now), right->second.probedAt);
        });
        std::size_t count = unreachable(service, now) ? 1 : options_.probesOfRound;
        for (const auto &entry : servers) {
            if (count-- == 0) {
                break;
            }
            entry->second.probedAt = now;
            chosen.push_back(entry->first);
        }
    }
    return chosen;
}

} // namespace jacinthroad
