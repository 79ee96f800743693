#pragma once

#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <boost/signals2/connection.hpp>

#include "Gateway/DeadlineTimer.h"
#include "Gateway/Exchange.h"
#include "Gateway/MessageParser.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/RequestObligation.h"
#include "Gateway/SocketOptions.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// One connection of a caller, or of a node that forwards requests of its callers. Reads requests
/// one after the other, runs an Exchange for each and detects meanwhile whether the caller
/// disconnects.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(TrafficState &state, boost::asio::ip::tcp::socket socket, RequestSource source);
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;
    ~CallerSession();

    /// Serves a connection until it ends. If that throws, logs `session_failed` and closes the
    /// connection.
    static void start(TrafficState &state, boost::asio::ip::tcp::socket socket,
                      RequestSource source = RequestSource::Caller);

private:
    using Parser = RequestParser<boost::beast::http::string_body>;

    /// Why a connection was closed.
    enum class CloseReason : std::uint8_t {
        /// The caller closed or reset the connection, or TCP gave it up.
        Caller,
        /// The caller closed only its sending side.
        HalfClosed,
        IdleTimeout,
        HeaderTimeout,
        BodyTimeout,
        /// The process ends soon and no request was in progress.
        Stop,
        /// A complete response was the last one on the connection.
        Responded,
        /// An exchange, whose request line tells why, ended without a complete response.
        NoResponse,
        /// An exception ended the session.
        Failed,
    };

    [[nodiscard]] static std::string_view closeReasonName(CloseReason reason);

    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Closes the connection and counts why. Logs `connection_closed` if that leaves part of a
    /// request without a response.
    void close(CloseReason reason);
    void fail(const std::exception_ptr &exception);
    /// Ends a session whose run() has ended. A request that is still open then was dropped.
    void end(const std::exception_ptr &exception);
    /// Sends an error response to a request whose session has failed before its response began, as
    /// far as the socket takes it at once. Returns false if it was not sent.
    [[nodiscard]] bool answerFailure(const RequestFacts &facts);
    [[nodiscard]] boost::asio::awaitable<bool> waitForBytes();
    /// Waits in a stopping node for the request that the response before has allowed the caller to
    /// send, for as long as it lingers at most. Returns what can be read then.
    [[nodiscard]] boost::asio::awaitable<PeekResult> waitForAnnouncedRequest();
    /// Closes the connection at the end of the idle limit, which a configuration may raise until
    /// then, unless a request has arrived.
    void limitIdleTime(Instant since);
    /// Time for which the sender of requests may reuse an idle connection.
    [[nodiscard]] Duration idleLimit() const;
    /// Reads one request. On an error returns false after sending an error response to a malformed
    /// request; other errors get no response.
    [[nodiscard]] boost::asio::awaitable<bool> readRequest(Parser &parser,
                                                           MemoryReservation &bodyMemory);
    /// Limit in bytes for the header of a request.
    [[nodiscard]] std::uint32_t headerLimit() const;
    /// Reads the body of a request whose header has been read, unless `bodyMemory` has no room for
    /// it; refuses the request then and returns ENOMEM. A stated length is reserved for a caller
    /// with a valid key, and what has arrived for all others.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code>
    readBody(Parser &parser, MemoryReservation &bodyMemory);
    /// True if the header has the key of a team in the configuration that is in force.
    [[nodiscard]] bool hasValidKey(const Parser &parser) const;
    [[nodiscard]] boost::asio::awaitable<void> respondToParseError(boost::system::error_code error,
                                                                   Parser &parser);
    /// Refuses a request that was not read completely and closes the connection.
    [[nodiscard]] boost::asio::awaitable<void> refuseUnread(ErrorKind kind, Parser &parser);
    /// True if another node has admitted the request under a newer configuration than that of this
    /// node, whose limits may have been changed since.
    [[nodiscard]] bool hasOlderConfiguration(const Parser &parser) const;
    /// Ends the request in progress, because the process ends soon.
    void answerBeforeStop();
    /// Closes the connection behind its last response. If that is complete, gives the caller time
    /// to receive it and to close the connection first. What the caller sends meanwhile stays
    /// unread, so that it is reset and the caller may repeat it.
    [[nodiscard]] boost::asio::awaitable<void> closeConnection(bool responseComplete);
    /// Closes the connection behind a refusal of a request that was not read to its end. Discards
    /// what still arrives until nothing has for `linger`, or for the time limit for a body, because
    /// the caller may read the refusal only then. In a stop, doesn't wait longer for what arrives.
    [[nodiscard]] boost::asio::awaitable<void> closeRefused(Duration linger);
    /// Closes the connection of a caller that has closed its sending side and was sent an error
    /// response to `request`. Logs `caller_half_closed` unless the caller answers that with a
    /// reset, as it does if it has closed both sides.
    [[nodiscard]] boost::asio::awaitable<void> closeHalfClosed(std::string request);
    /// Closes the connection after `limit` unless the timer is rearmed or cancelled before.
    void scheduleClose(Duration limit, CloseReason reason);
    /// Closes the connection behind a complete response once the caller has received that.
    void closeOnceReceived();
    /// Closes the connection after `limit` while a request is being read. What has arrived by then
    /// is read first, which a stall of the thread may have held up.
    void limitReading(Duration limit, CloseReason reason);
    /// The same for the header of a request that has begun to arrive at `since`. A configuration
    /// may raise the limit until its end.
    void limitHeaderTime(Instant since);
    /// Ends the read, so that its reader closes the connection, once what has arrived has had time
    /// to be read, `maxReads` times more if bytes are still unread then.
    void closeAfterReading(CloseReason reason, unsigned maxReads);
    /// Closes the connection if it waits for a request and none has arrived. One that another node
    /// may use is announced to be closed before, if there is time.
    void closeIfIdle(IdleConnections which);
    /// Tells the node that keeps the connection for its next request not to use it. A request that
    /// crosses this is declined.
    void announceStop();
    /// Watches for the end of the connection while an exchange runs.
    void watchForDisconnect();
    /// Reads what the caller has pipelined, which would hide the end of the connection.
    void readAhead();
    /// Watches for the end of the connection behind bytes that stay unread.
    void watchUnread();
    /// True if a whole request has been read behind the one in progress.
    [[nodiscard]] bool holdsRequest() const;
    /// Adds the bytes that have arrived to `buffer_`, up to the limit for a header. Returns false
    /// if it holds that many already.
    bool readArrived(boost::system::error_code &error);

    TrafficState &state_;
    boost::asio::ip::tcp::socket socket_;
    RequestSource source_;
    DeadlineTimer timer_;
    ReadBuffer buffer_;
    /// Memory of the header of the request in progress.
    MemoryReservation headerMemory_;
    /// The same of what its connections may have received and the node hasn't read.
    MemoryReservation unreadMemory_;
    std::unique_ptr<Exchange> exchange_;
    /// That of the request that was read last, until it has ended.
    std::optional<RequestObligation> obligation_;
    /// True while no byte of the next request has been read.
    bool idle_ = false;
    /// Number of requests for which an exchange has ended on the connection.
    std::int64_t requests_ = 0;
    Instant acceptedAt_ = std::chrono::steady_clock::now();
    /// True while a request is being read.
    bool reading_ = false;
    /// True from the first byte of a request until its exchange begins or it has an error response.
    bool requestOpen_ = false;
    /// Set once the time limit for what is being read has ended the read.
    std::optional<CloseReason> overdue_;
    /// True if reading was ended because the process ends soon.
    bool endedByStop_ = false;
    /// When the end of the connection was announced to another node.
    std::optional<Instant> stopAnnouncedAt_;
    /// False once a stop is so late that only requests that have been read are answered.
    bool readsOn_ = true;
    /// Bytes that arrived behind a refusal and were discarded, for the log.
    std::size_t discardedBytes_ = 0;
    boost::signals2::scoped_connection closeIdleConnection_;
    boost::signals2::scoped_connection answerConnection_;
    /// Counts exchanges, so that a late completion that belongs to an earlier one is ignored.
    std::uint64_t generation_ = 0;
};

} // namespace jacinthroad
