#include "Gateway/ConnectionPool.h"

#include <algorithm>

#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace {

/// Requests after which a connection is closed; bounds the memory for their ids.
constexpr std::size_t MaxCarriedRequests = 500;

bool isUsable(ServerConnection &connection, Instant now)
{
    return now < connection.usableUntil && connection.buffer.size() == 0
        && peek(connection.socket) == PeekResult::NoData;
}

/// Returns true if the server closed an idle connection before the time that it had announced.
bool wasClosedEarly(ServerConnection &connection, Instant now)
{
    return now < connection.usableUntil && peek(connection.socket) == PeekResult::Closed;
}

} // namespace

std::unique_ptr<ServerConnection> ConnectionPool::acquire(const ServerId &server,
                                                          std::uint64_t request, Instant now)
{
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    for (std::size_t index = connections.size(); index-- > 0;) {
        const auto &carried = connections[index]->carriedRequests;
        if (std::find(carried.begin(), carried.end(), request) != carried.end()) {
            continue;
        }
        std::unique_ptr<ServerConnection> connection = std::move(connections[index]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        if (isUsable(*connection, now)) {
            return connection;
        }
        if (wasClosedEarly(*connection, now)) {
            noteLost(server);
        }
    }
    return nullptr;
}

void ConnectionPool::addIdle(const ServerId &server, std::unique_ptr<ServerConnection> connection)
{
    if (connection->carriedRequests.size() < MaxCarriedRequests) {
        connection->buffer.releaseIfEmpty();
        idle_[server].push_back(std::move(connection));
    }
}

void ConnectionPool::closeIdle(const ServerId &server)
{
    idle_.erase(server);
}

void ConnectionPool::closeExpired(Instant now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        auto &connections = entry->second;
        const ServerId &server = entry->first;
        std::erase_if(connections, [&](const auto &connection) {
            const bool usable = isUsable(*connection, now);
            if (!usable && wasClosedEarly(*connection, now)) {
                noteLost(server);
            }
            return !usable;
        });
        entry = connections.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

} // namespace jacinthroad
