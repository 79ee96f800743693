#pragma once

#include <cstdint>
#include <exception>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/signals2/connection.hpp>

#include "Gateway/DeadlineTimer.h"
#include "Gateway/Exchange.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// One connection of a caller. Reads requests one after the other, runs an Exchange for each and
/// detects meanwhile whether the caller disconnects.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(TrafficState &state, boost::asio::ip::tcp::socket socket);

    /// Serves a connection until it ends. If that throws, logs `session_failed` and closes the
    /// connection.
    static void start(TrafficState &state, boost::asio::ip::tcp::socket socket);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    [[nodiscard]] boost::asio::awaitable<void> run();
    void fail(const std::exception_ptr &exception);
    [[nodiscard]] boost::asio::awaitable<bool> waitForBytes(Duration limit);
    /// Reads one request. On an error returns false after sending an error response to a malformed
    /// request; other errors get no response.
    [[nodiscard]] boost::asio::awaitable<bool> readRequest(Parser &parser,
                                                           MemoryReservation &bodyMemory);
    /// Reads the body of a request whose header has been read, unless `bodyMemory` has no room for
    /// it; refuses the request then and returns ENOMEM.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code>
    readBody(Parser &parser, MemoryReservation &bodyMemory);
    [[nodiscard]] boost::asio::awaitable<void> respondToParseError(boost::system::error_code error,
                                                                   const Parser &parser);
    /// Refuses a request that was not read completely and closes the connection.
    [[nodiscard]] boost::asio::awaitable<void> refuseUnread(ErrorKind kind, const Parser &parser);
    /// Ends the request in progress, because the process ends soon.
    void answerBeforeStop();
    /// Closes the connection; after a complete response without a reset that could discard it
    /// before the caller has read it, for which it waits up to `linger`.
    [[nodiscard]] boost::asio::awaitable<void> closeConnection(bool responseComplete,
                                                               Duration linger);
    /// Closes the connection after `limit` unless the timer is rearmed or cancelled before.
    void scheduleClose(Duration limit);
    /// Closes the connection if it waits for a request and none has arrived.
    void closeIfIdle(IdleConnections which);
    /// Watches for the end of the connection while an exchange runs.
    void watchForDisconnect();
    /// Reads what the caller has pipelined, which would hide the end of the connection. Up to the
    /// limit for a header; beyond that the connection is no longer watched.
    void readAhead();

    TrafficState &state_;
    boost::asio::ip::tcp::socket socket_;
    DeadlineTimer timer_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<Exchange> exchange_;
    /// True while no byte of the next request has been read.
    bool idle_ = false;
    /// True once the connection has carried a request.
    bool kept_ = false;
    /// True while a request is being read.
    bool reading_ = false;
    /// True if reading was ended because the process ends soon.
    bool endedByStop_ = false;
    boost::signals2::scoped_connection closeIdleConnection_;
    boost::signals2::scoped_connection answerConnection_;
    /// Counts exchanges, so that a late completion that belongs to an earlier one is ignored.
    std::uint64_t generation_ = 0;
};

} // namespace jacinthroad
