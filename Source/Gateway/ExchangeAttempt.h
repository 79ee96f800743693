#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include "Gateway/ConnectionPool.h"
#include "Gateway/Exchange.h"
#include "platform/ServerWire.h"

namespace jacinthroad {

/// One sending of an exchange's request to one backend server.
struct Exchange::Attempt
{
    explicit Attempt(boost::asio::io_context &context)
        : timer(context)
        , watch(context)
    { }

    Placement placement;
    std::unique_ptr<ServerConnection> connection;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer watch;
    HttpRequest message;
    std::unique_ptr<boost::beast::http::response_parser<boost::beast::http::empty_body>> header;
    platform::ResponseInfo facts;
    bool reused = false;
    bool sent = false;
    bool written = false;
    bool timedOut = false;
    bool ended = false;
    Instant heardAt;
    bool firstByte = false;
    /// The answer was read to its end and the connection can carry another request.
    bool reusable = false;
    std::uint32_t unreadTokens = 0;

    /// Closes the connection; whatever waits on it fails.
    void abort()
    {
        if (connection != nullptr) {
            boost::system::error_code ignored;
            connection->socket.close(ignored);
        }
    }
};

} // namespace jacinthroad
