#include "Placement/LinkHealth.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace jacinthroad {

namespace {

/// Intervals between two updates from which the calling thread counts as stalled.
constexpr int StalledIntervals = 3;

} // namespace

void LinkHealth::setServers(std::map<ServerId, ServiceId> servers)
{
    std::erase_if(servers_, [&](const auto &entry) { return !servers.contains(entry.first); });
    for (auto &[id, service] : servers) {
        servers_[id].service = std::move(service);
    }
}

LinkHealth::Listed *LinkHealth::find(const ServerId &server)
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

void LinkHealth::endAttempt(Listed &server)
{
    server.connecting -= server.connecting > 0 ? 1 : 0;
    if (server.connecting == 0) {
        server.connectingSince.reset();
    }
}

void LinkHealth::noteConnecting(const ServerId &server, Instant now)
{
    if (Listed *listed = find(server)) {
        ++listed->connecting;
        if (!listed->connectingSince.has_value()) {
            listed->connectingSince = now;
        }
    }
}

void LinkHealth::noteConnected(const ServerId &server, Instant now)
{
    connectedAt_ = now;
    if (Listed *listed = find(server)) {
        for (auto &[id, other] : servers_) {
            if (other.service == listed->service) {
                other.failedAt.reset();
                // An attempt that began before proves nothing about the time after.
                other.connectingSince.reset();
            }
        }
        serviceConnectedAt_[listed->service] = now;
        waitingSince_.erase(listed->service);
        endAttempt(*listed);
        listed->receivedAt = now;
    }
}

void LinkHealth::noteConnectFailed(const ServerId &server, Instant now)
{
    if (Listed *listed = find(server)) {
        if (listed->connecting == 0 || listed->connectingSince.has_value()) {
            listed->failedAt = now;
            listed->failedBegin = listed->connectingSince.value_or(now);
        }
        endAttempt(*listed);
    }
}

void LinkHealth::noteRefused(const ServerId &server, Instant now)
{
    if (Listed *listed = find(server)) {
        listed->failedAt = now;
        listed->failedBegin = now;
    }
}

void LinkHealth::noteConnectAbandoned(const ServerId &server)
{
    if (Listed *listed = find(server)) {
        endAttempt(*listed);
    }
}

void LinkHealth::noteSent(const ServerId &server, Instant now)
{
    if (const Listed *listed = find(server)) {
        waitingSince_.try_emplace(listed->service, now);
    }
}

void LinkHealth::noteReceived(const ServerId &server, Instant now)
{
    if (Listed *listed = find(server)) {
        waitingSince_.erase(listed->service);
        listed->receivedAt = now;
    }
}

bool LinkHealth::hasFailed(const Listed &server, Instant now) const
{
    return server.failedAt.has_value() && now - *server.failedAt < options_.evidenceLifetime;
}

bool LinkHealth::hasFailedLast(const Listed &server, Instant now) const
{
    return hasFailed(server, now)
        && (!connectedAt_.has_value() || server.failedBegin >= *connectedAt_);
}

std::size_t LinkHealth::failedServers(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(),
                      [&](const auto &entry) { return hasFailed(entry.second, now); }));
}

bool LinkHealth::lost(Instant now) const
{
    std::set<ServiceId> services;
    std::set<ServiceId> failedServices;
    std::size_t failed = 0;
    for (const auto &[id, server] : servers_) {
        services.insert(server.service);
        if (hasFailedLast(server, now)) {
            failedServices.insert(server.service);
            ++failed;
        }
    }
    return failed >= options_.servers
        && failedServices.size() >= std::min(options_.services, services.size());
}

std::set<ServiceId> LinkHealth::lostServices(Instant now) const
{
    std::map<ServiceId, std::size_t> failed;
    for (const auto &[id, server] : servers_) {
        failed[server.service] += hasFailed(server, now) ? 1 : 0;
    }
    std::set<ServiceId> lost;
    for (const auto &[service, count] : failed) {
        if (count >= options_.servers) {
            lost.insert(service);
        }
    }
    return lost;
}

bool LinkHealth::lost(const ServiceId &service, Instant now) const
{
    return lostServices(now).contains(service);
}

RefusalCause LinkHealth::causeOfRefusal(const ServerId &server, Instant refusedAt,
                                        Instant now) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return RefusalCause::Server;
    }
    const ServiceId &service = found->second.service;
    const auto listed = std::count_if(servers_.begin(), servers_.end(), [&](const auto &entry) {
        return entry.second.service == service;
    });
    const auto connected = serviceConnectedAt_.find(service);
    if (static_cast<std::size_t>(listed) < options_.servers
        || (connected != serviceConnectedAt_.end() && connected->second >= refusedAt)) {
        return RefusalCause::Server;
    }
    return lost(service, now) ? RefusalCause::Link : RefusalCause::Undecided;
}

std::vector<std::map<ServerId, LinkHealth::Listed>::iterator> LinkHealth::probeOrder(Instant now)
{
    const bool proven = connectedAt_.has_value() && now - *connectedAt_ < options_.provenTime;
    std::set<ServiceId> failedServices;
    std::set<ServiceId> suspect;
    for (const auto &[service, since] : waitingSince_) {
        if (now - since >= options_.silence) {
            suspect.insert(service);
        }
    }
    std::vector<std::map<ServerId, Listed>::iterator> order;
    for (auto entry = servers_.begin(); entry != servers_.end(); ++entry) {
        const Listed &server = entry->second;
        if (hasFailed(server, now)) {
            failedServices.insert(server.service);
            suspect.insert(server.service);
        }
        if (server.connecting == 0) {
            order.push_back(entry);
        }
    }
    std::erase_if(order, [&](const auto &entry) {
        return suspect.empty() || (proven && !suspect.contains(entry->second.service));
    });
    const auto rank = [&](const Listed &server) {
        return std::tuple(hasFailed(server, now), failedServices.contains(server.service),
                          server.probedAt.value_or(Instant::min()),
                          -server.receivedAt.value_or(Instant()).time_since_epoch());
    };
    std::stable_sort(order.begin(), order.end(), [&](const auto &left, const auto &right) {
        return rank(left->second) < rank(right->second);
    });
    return order;
}

std::vector<ServerId> LinkHealth::update(Instant now)
{
    const bool stalled
        = updatedAt_.has_value() && now - *updatedAt_ > UpdateInterval * StalledIntervals;
    updatedAt_ = now;
    for (auto &[id, server] : servers_) {
        if (!server.connectingSince.has_value()) {
            continue;
        }
        if (stalled) {
            // It may have been accepted meanwhile.
            server.connectingSince = now;
        } else if (now - *server.connectingSince >= options_.connectTime) {
            server.failedAt = now;
            server.failedBegin = *server.connectingSince;
        }
    }
    if (stalled) {
        for (auto &[service, since] : waitingSince_) {
            since = now;
        }
    }
    const bool probeDue = !probedAt_.has_value() || now - *probedAt_ >= options_.probeInterval;
    const auto order = probeDue ? probeOrder(now) : decltype(probeOrder(now)) {};
    if (order.empty()) {
        return {};
    }
    probedAt_ = now;
    std::vector<ServerId> probes;
    const std::size_t limit = lostServices(now).empty() && !lost(now) ? options_.probesOfRound : 1;
    std::set<ServiceId> services;
    for (const bool firstOfService : { true, false }) {
        for (const auto &entry : order) {
            auto &[id, server] = *entry;
            if (probes.size() >= limit) {
                return probes;
            }
            if (std::find(probes.begin(), probes.end(), id) != probes.end()
                || (services.insert(server.service).second != firstOfService && firstOfService)) {
                continue;
            }
            server.probedAt = now;
            probes.push_back(id);
        }
    }
    return probes;
}

} // namespace jacinthroad
