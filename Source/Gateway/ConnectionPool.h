#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/ReadTurns.h"

namespace jacinthroad {

/// Maximum size in bytes of the header of a response.
constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;
/// Maximum number of bytes that a connection to a backend server or another node holds.
constexpr std::size_t MaxServerReadBytes = MaxResponseHeaderBytes + 4096;

/// One connection to a backend server.
struct ServerConnection
{
    ServerConnection(const boost::asio::any_io_executor &executor,
                     std::shared_ptr<MemoryBudget> memory, std::shared_ptr<ReadTurns> turns)
        : socket(executor)
        , reader(socket, std::move(turns))
        , buffer(std::move(memory), BodyKind::Response, MaxServerReadBytes)
    { }

    /// Lets the next read return more if the last one filled the buffer, and there is memory.
    void prepareRead()
    {
        if (reader.filledBuffer() && buffer.size() < LongReadBytes) {
            static_cast<void>(buffer.tryPrepare(LongReadBytes - buffer.size()));
        } else if (reader.lastReadBytes() < ShortReadBytes && buffer.capacity() >= LongReadBytes) {
            buffer.releaseIfEmpty();
        }
    }

    static constexpr std::size_t LongReadBytes = 8192;
    /// Beast reads this many bytes with an empty buffer.
    static constexpr std::size_t ShortReadBytes = 512;

    boost::asio::ip::tcp::socket socket;
    /// Reads the socket.
    PacedSocket reader;
    ReadBuffer buffer;
    Instant openedAt;
    /// When the server is expected to close the idle connection, less a margin for the time that a
    /// request is in transit.
    Instant usableUntil;
    /// Hashes of the ids of all requests that it has carried. A server may write the response to
    /// any of them again.
    std::vector<std::uint64_t> carriedRequests;
};

/// Idle connections to backend servers. Used by one traffic thread only.
class ConnectionPool
{
public:
    /// Returns the most recently used connection that has carried no request with this hash of its
    /// id, or null if there is none. Connections that received data while idle, expired or were
    /// closed by the server are discarded.
    [[nodiscard]] std::unique_ptr<ServerConnection> acquire(const ServerId &server,
                                                            std::uint64_t request, Instant now);
    /// Stores a connection for the next request, or closes it if it has carried very many.
    void addIdle(const ServerId &server, std::unique_ptr<ServerConnection> connection);
    /// Closes all idle connections to a server.
    void closeIdle(const ServerId &server);
    /// Closes connections that were idle too long, received data or were closed by the server.
    void closeExpired(Instant now);
    /// Records that a connection to a server was lost, so that another process may listen now.
    void noteLost(const ServerId &server) { lost_.insert(server); }
    /// Returns true if a connection to a server was lost since forgetLost() was called last.
    [[nodiscard]] bool hasLost(const ServerId &server) const { return lost_.contains(server); }
    void forgetLost(const ServerId &server) { lost_.erase(server); }

private:
    std::unordered_map<ServerId, std::vector<std::unique_ptr<ServerConnection>>> idle_;
    std::unordered_set<ServerId> lost_;
};

} // namespace jacinthroad
