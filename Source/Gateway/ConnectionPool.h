#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// One connection to a backend server.
struct ServerConnection
{
    explicit ServerConnection(const boost::asio::any_io_executor &executor)
        : socket(executor)
    { }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// Until when the server keeps it idle, less a margin for the way.
    Instant usableUntil;
};

/// Idle connections to backend servers. Belongs to one traffic thread.
class ConnectionPool
{
public:
    /// Takes the connection that was used last, or null. A connection on which anything was
    /// received while it was idle is closed, not used.
    [[nodiscard]] std::unique_ptr<ServerConnection> acquire(const ServerId &server, Instant now);
    /// Keeps a connection for the next request.
    void release(const ServerId &server, std::unique_ptr<ServerConnection> connection);
    /// Closes the idle connections of a server.
    void closeIdle(const ServerId &server);
    /// Closes connections that have been idle too long or have ended.
    void closeExpired(Instant now);

private:
    std::unordered_map<ServerId, std::vector<std::unique_ptr<ServerConnection>>> idle_;
};

} // namespace jacinthroad
