#include "Gateway/CallerSession.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Core/Log.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without acknowledgements after which TCP closes a caller's connection. Stalls of callers on
/// unreliable links are much shorter.
constexpr Duration CallerTcpTimeout = std::chrono::seconds(6);
/// Time limit for receiving the complete body after the header.
constexpr Duration BodyTimeout = std::chrono::seconds(20);
/// How long a connection that accepts no more requests waits for the caller to close it.
constexpr Duration LingerTimeout = milliseconds(500);
/// Callers may reuse a connection until the idle limit, so it is closed this much later.
constexpr Duration IdleMargin = milliseconds(500);

bool hasInvalidFraming(const http::request_header<> &header)
{
    const auto encoding = header[http::field::transfer_encoding];
    return header.count(http::field::transfer_encoding) > 1
        || header.count(http::field::content_length) > 1
        || (!encoding.empty() && !boost::beast::iequals(encoding, "chunked"))
        || (!encoding.empty() && header.count(http::field::content_length) > 0);
}

} // namespace

CallerSession::CallerSession(TrafficState &state, asio::ip::tcp::socket socket)
    : state_(state)
    , socket_(std::move(socket))
    , timer_(state.context)
    , closeIdleConnection_(
          state.closeIdleConnections.connect([this](IdleConnections which) { closeIfIdle(which); }))
    , answerConnection_(state.answerOpenRequests.connect([this] { answerBeforeStop(); }))
{ }

void CallerSession::start(TrafficState &state, asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<CallerSession>(state, std::move(socket));
    asio::co_spawn(
        state.context, [session] { return session->run(); },
        [session](const std::exception_ptr &exception) {
            if (exception != nullptr) {
                session->fail(exception);
            }
        });
}

void CallerSession::fail(const std::exception_ptr &exception)
{
    logLine(LogLevel::Error, "session_failed",
            { { "request_id", exchange_ != nullptr ? exchange_->requestId() : std::string_view() },
              { "reason", exceptionMessage(exception) },
              { "remedy", "The connection is closed; report it if it repeats." } });
    state_.metrics.countRequest("failed");
    // Pending operations keep the session and the connection until the socket is closed.
    error_code ignored;
    socket_.close(ignored);
}

void CallerSession::closeIfIdle(IdleConnections which)
{
    const bool selected = kept_ || which == IdleConnections::All;
    if (idle_ && selected && peek(socket_) != PeekResult::Data) {
        error_code ignored;
        socket_.close(ignored);
    }
}

void CallerSession::answerBeforeStop()
{
    if (exchange_ != nullptr) {
        exchange_->answerBeforeStop();
    } else if (reading_) {
        endedByStop_ = true;
        error_code ignored;
        socket_.cancel(ignored);
    }
}

void CallerSession::scheduleClose(Duration limit)
{
    timer_.expireAfter(limit, [self = shared_from_this()] {
        error_code ignored;
        self->socket_.close(ignored);
    });
}

asio::awaitable<bool> CallerSession::waitForBytes(Duration limit)
{
    if (buffer_.size() > 0) {
        co_return true;
    }
    timer_.expireAfter(limit, [self = shared_from_this()] {
        // A request that has arrived by now is served instead.
        if (peek(self->socket_) != PeekResult::Data) {
            error_code ignored;
            self->socket_.close(ignored);
        }
    });
    error_code error;
    idle_ = true;
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    idle_ = false;
    timer_.cancel();
    co_return !error && socket_.is_open();
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    setTcpTimeout(socket_, CallerTcpTimeout);
    for (;;) {
        const bool dataAvailable = co_await waitForBytes(state_.limits().idleTimeout + IdleMargin);
        if (!dataAvailable) {
            co_return;
        }
        const CallerLimits limits = state_.limits();
        const ActiveRequest active = state_.beginRequest();
        Parser parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        const bool requestComplete = co_await readRequest(parser);
        if (!requestComplete) {
            co_return;
        }
        exchange_ = std::make_unique<Exchange>(state_, socket_, parser.release(),
                                               std::chrono::steady_clock::now());
        watchForDisconnect();
        const ExchangeResult end = co_await exchange_->run();
        ++generation_;
        exchange_.reset();
        kept_ = true;
        error_code error;
        socket_.cancel(error);
        if (!end.connectionReusable) {
            co_await closeConnection(end.responseComplete);
            co_return;
        }
    }
}

asio::awaitable<void> CallerSession::closeConnection(bool responseComplete)
{
    error_code error;
    if (responseComplete) {
        // Closing a socket with unread bytes sends a reset, which could discard the response.
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        scheduleClose(LingerTimeout);
        std::array<char, 1024> rest;
        while (!error) {
            co_await socket_.async_read_some(asio::buffer(rest),
                                             asio::redirect_error(asio::use_awaitable, error));
        }
        timer_.cancel();
    }
    socket_.close(error);
}

asio::awaitable<bool> CallerSession::readRequest(Parser &parser)
{
    const CallerLimits limits = state_.limits();
    scheduleClose(limits.headerTimeout);
    error_code error;
    reading_ = true;
    co_await http::async_read_header(socket_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (!error && hasInvalidFraming(parser.get().base())) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error && !parser.is_done()) {
        scheduleClose(BodyTimeout);
        // HTTP/1.0 has no interim responses.
        if (parser.get().version() >= 11
            && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await asio::async_write(socket_, asio::buffer(Continue.data(), Continue.size()),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error) {
            co_await http::async_read(socket_, buffer_, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
    }
    timer_.cancel();
    reading_ = false;
    if (error && endedByStop_ && socket_.is_open()) {
        co_await refuseUnread(ErrorKind::Draining, parser.get().method());
        co_return false;
    }
    if (error) {
        co_await respondToParseError(error, parser.get().method());
        co_return false;
    }
    // The time limit may have closed the connection while the completed read was queued.
    co_return socket_.is_open();
}

asio::awaitable<void> CallerSession::respondToParseError(error_code error, http::verb method)
{
    const bool isParseError
        = error.category() == http::make_error_code(http::error::end_of_stream).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!isParseError || !socket_.is_open()) {
        co_return;
    }
    ErrorKind kind = ErrorKind::InvalidRequest;
    if (error == http::error::body_limit) {
        kind = ErrorKind::PayloadTooLarge;
    } else if (error == http::error::header_limit) {
        kind = ErrorKind::HeaderTooLarge;
    }
    co_await refuseUnread(kind, method);
}

asio::awaitable<void> CallerSession::refuseUnread(ErrorKind kind, http::verb method)
{
    GatewayResponse response = gatewayRefusalResponse({ .kind = kind, .notRun = NotRun::True });
    response.keep_alive(false);
    response.prepare_payload();
    if (method == http::verb::head) {
        response.body().clear();
    }
    error_code writeError;
    co_await http::async_write(socket_, response,
                               asio::redirect_error(asio::use_awaitable, writeError));
    state_.metrics.countRequest(writeError ? "not_delivered"
                                           : std::string(errorResponse(kind).name));
    co_await closeConnection(!writeError);
}

void CallerSession::watchForDisconnect()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), generation = generation_](error_code error) {
                           if (error || generation != self->generation_
                               || self->exchange_ == nullptr) {
                               return;
                           }
                           error_code closeReason;
                           switch (peek(self->socket_, closeReason)) {
                           case PeekResult::NoData:
                               self->watchForDisconnect();
                               break;
                           case PeekResult::Closed:
                               self->exchange_->callerDisconnected(closeReason);
                               break;
                           case PeekResult::Data:
                               self->readAhead();
                               break;
                           }
                       });
}

void CallerSession::readAhead()
{
    const std::size_t limit = state_.limits().headerBytes;
    if (buffer_.size() >= limit) {
        return;
    }
    error_code error;
    const std::size_t size = readAvailable(socket_, buffer_.prepare(limit - buffer_.size()), error);
    buffer_.commit(size);
    if (error) {
        exchange_->callerDisconnected(error);
        return;
    }
    watchForDisconnect();
}

} // namespace jacinthroad
