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
    for (auto &[id, listed] : servers_) {
        listed.failedAt.reset();
        // An attempt that began before proves nothing about the time after.
        listed.connectingSince.reset();
    }
    waitingSince_.reset();
    if (Listed *listed = find(server)) {
        endAttempt(*listed);
        listed->receivedAt = now;
    }
}

void LinkHealth::noteConnectFailed(const ServerId &server, Instant now)
{
    if (Listed *listed = find(server)) {
        if (listed->connecting == 0 || listed->connectingSince.has_value()) {
            listed->failedAt = now;
        }
        endAttempt(*listed);
    }
}

void LinkHealth::noteConnectAbandoned(const ServerId &server)
{
    if (Listed *listed = find(server)) {
        endAttempt(*listed);
    }
}

void LinkHealth::noteSent(Instant now)
{
    if (!waitingSince_.has_value()) {
        waitingSince_ = now;
    }
}

void LinkHealth::noteReceived(const ServerId &server, Instant now)
{
    waitingSince_.reset();
    if (Listed *listed = find(server)) {
        listed->receivedAt = now;
    }
}

bool LinkHealth::hasFailed(const Listed &server, Instant now) const
{
    return server.failedAt.has_value() && now - *server.failedAt < options_.evidenceLifetime;
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
    for (const auto &[id, server] : servers_) {
        services.insert(server.service);
        if (hasFailed(server, now)) {
            failedServices.insert(server.service);
        }
    }
    return failedServers(now) >= options_.servers
        && failedServices.size() >= std::min(options_.services, services.size());
}

std::vector<std::map<ServerId, LinkHealth::Listed>::iterator> LinkHealth::probeOrder(Instant now)
{
    std::set<ServiceId> failedServices;
    std::vector<std::map<ServerId, Listed>::iterator> order;
    for (auto entry = servers_.begin(); entry != servers_.end(); ++entry) {
        const Listed &server = entry->second;
        if (hasFailed(server, now)) {
            failedServices.insert(server.service);
        }
        if (server.connecting == 0) {
            order.push_back(entry);
        }
    }
    const auto rank = [&](const Listed &server) {
        return std::tuple(hasFailed(server, now), failedServices.contains(server.service),
                          server.probedAt.value_or(Instant::min()),
                          Instant::max() - server.receivedAt.value_or(Instant::min()));
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
        }
    }
    if (stalled && waitingSince_.has_value()) {
        waitingSince_ = now;
    }
    const bool silent = waitingSince_.has_value() && now - *waitingSince_ >= options_.silence;
    const bool probeDue = !probedAt_.has_value() || now - *probedAt_ >= options_.probeInterval;
    if (!probeDue || (failedServers(now) == 0 && !silent)) {
        return {};
    }
    probedAt_ = now;
    std::vector<ServerId> probes;
    const std::size_t limit = lost(now) ? 1 : options_.probesOfRound;
    std::set<ServiceId> services;
    const auto order = probeOrder(now);
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
