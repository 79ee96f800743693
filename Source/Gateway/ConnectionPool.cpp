#include "Gateway/ConnectionPool.h"

#include <algorithm>

#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace {

bool isUsable(ServerConnection &connection, Instant now)
{
    return now < connection.usableUntil && connection.buffer.size() == 0
        && peek(connection.socket) == PeekResult::NoData;
}

} // namespace

std::unique_ptr<ServerConnection> ConnectionPool::acquire(const ServerId &server, Instant now)
{
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    while (!connections.empty()) {
        std::unique_ptr<ServerConnection> connection = std::move(connections.back());
        connections.pop_back();
        if (isUsable(*connection, now)) {
            return connection;
        }
    }
    return nullptr;
}

void ConnectionPool::addIdle(const ServerId &server, std::unique_ptr<ServerConnection> connection)
{
    idle_[server].push_back(std::move(connection));
}

void ConnectionPool::closeIdle(const ServerId &server)
{
    idle_.erase(server);
}

void ConnectionPool::closeExpired(Instant now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        auto &connections = entry->second;
        std::erase_if(connections,
                      [&](const auto &connection) { return !isUsable(*connection, now); });
        entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

} // namespace jacinthroad
