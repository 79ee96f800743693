#include "Gateway/CallerSession.h"

#include <algorithm>
#include <array>
#include <limits>
#include <new>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Core/Log.h"
#include "Core/MemoryReserve.h"
#include "Gateway/BodyMemory.h"
#include "Gateway/ForwardingTiming.h"
#include "Gateway/HeaderReader.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/SocketOptions.h"
#include "platform/CallerWire.h"

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
/// Time for reading the bytes of a request that had arrived when its time limit ended.
constexpr Duration ReadAfterLimit = milliseconds(50);
/// That time is given again if it ends this late, because the thread has stalled again, or leaves
/// unread bytes. All that a socket holds is read in that many times.
constexpr Duration ReadingStall = milliseconds(5);
constexpr unsigned MaxReadsAfterLimit = 20;
/// How long a connection that accepts no more requests waits for the caller to close it, and how
/// long if the caller still sends the body of a request that was refused.
constexpr Duration LingerTimeout = milliseconds(500);
constexpr Duration RefusedBodyLingerTimeout = milliseconds(2000);
/// Interval of the check whether a caller whose bytes stay unread has closed its connection.
constexpr Duration UnreadCheckInterval = milliseconds(100);
/// Time for the reset with which a caller that has closed its connection answers a response.
constexpr Duration ResetTimeout = milliseconds(200);
/// Time after the acceptance of a connection in which its first request may be on its way.
constexpr Duration FirstRequestTime = milliseconds(500);
/// Callers may reuse a connection until the idle limit, so it is closed this much later.
constexpr Duration IdleMargin = milliseconds(500);

/// Bytes that another node adds to the header of a request that it forwards, at most.
constexpr std::uint32_t MaxForwardingBytes = 4096;

/// Longest line of a chunk's size, with its extension, and longest trailers.
constexpr std::uint32_t MaxChunkLineBytes = 16 * 1024;
/// Bytes of room behind the longest part that the parser needs to find that a part is longer.
constexpr std::size_t MinReadBytes = 512;
/// Receive buffer for a long body, in bytes. Its window needs no scale, which connections don't
/// have.
constexpr std::size_t LongBodyBufferBytes = 65536;

bool hasInvalidFraming(const http::request_header<> &header)
{
    const auto encoding = header[http::field::transfer_encoding];
    return header.count(http::field::transfer_encoding) > 1
        || header.count(http::field::content_length) > 1
        || (!encoding.empty() && !boost::beast::iequals(encoding, "chunked"))
        || (!encoding.empty() && header.count(http::field::content_length) > 0);
}

} // namespace

CallerSession::CallerSession(TrafficState &state, asio::ip::tcp::socket socket,
                             RequestSource source)
    : state_(state)
    , socket_(std::move(socket))
    , source_(source)
    , timer_(state.context)
    , buffer_(state.bodyMemory, BodyKind::Request, MinReadBytes)
    , headerMemory_(state.bodyMemory, BodyKind::Request)
    , unreadMemory_(state.bodyMemory, BodyKind::Request)
    , closeIdleConnection_(
          state.closeIdleConnections.connect([this](IdleConnections which) { closeIfIdle(which); }))
    , answerConnection_(state.answerOpenRequests.connect([this] { answerBeforeStop(); }))
{ }

void CallerSession::start(TrafficState &state, asio::ip::tcp::socket socket, RequestSource source)
{
    auto session = std::make_shared<CallerSession>(state, std::move(socket), source);
    asio::co_spawn(
        state.context, [session] { return session->run(); },
        [session](const std::exception_ptr &exception) { session->end(exception); });
}

CallerSession::~CallerSession()
{
    // Only the end of the event loop destroys a session whose request is open.
    if (obligation_.has_value()) {
        std::move(*obligation_)
            .dischargeAtProcessEnd(exchange_ != nullptr ? exchange_->facts() : RequestFacts());
    }
}

void CallerSession::end(const std::exception_ptr &exception)
{
    if (obligation_.has_value()) {
        const RequestFacts facts = exchange_ != nullptr ? exchange_->facts() : RequestFacts();
        if (exception != nullptr && answerFailure(facts)) {
            std::move(*obligation_).discharge(RequestEnd::Responded);
        } else {
            std::move(*obligation_).drop(facts);
        }
        obligation_.reset();
    }
    if (exception != nullptr) {
        fail(exception);
    }
}

bool CallerSession::answerFailure(const RequestFacts &facts)
{
    if (facts.responseBegun) {
        return false;
    }
    try {
        const RequestId request { std::string(facts.requestId) };
        GatewayResponse response = gatewayRefusalResponse({ .kind = ErrorKind::BackendFailed,
                                                            .requestId = request.text(),
                                                            .notRun = NotRun::Unknown });
        if (!request.empty()) {
            platform::setRequestId(response.base(), request);
        }
        if (source_ == RequestSource::Peer) {
            setForwardedResult(response.base(), { .outcome = ForwardedOutcome::Unknown });
        }
        response.keep_alive(false);
        response.prepare_payload();
        error_code error;
        socket_.non_blocking(true, error);
        http::write(socket_, response, error);
        return !error;
    } catch (const std::exception &) {
        // Without memory for the response, the request is dropped.
        return false;
    }
}

std::string_view CallerSession::closeReasonName(CloseReason reason)
{
    constexpr std::array<std::string_view, 9> Names {
        "caller", "half_closed", "idle_timeout", "header_timeout", "body_timeout",
        "stop",   "responded",   "no_response",  "failed"
    };
    return Names[static_cast<std::size_t>(reason)];
}

void CallerSession::close(CloseReason reason)
{
    if (!socket_.is_open()) {
        return;
    }
    error_code error;
    const std::size_t unread = socket_.available(error);
    state_.metrics.countConnectionClosed(std::string(closeReasonName(reason)));
    if (requestOpen_ || unread > 0 || discardedBytes_ > 0 || buffer_.size() > 0) {
        logLine(LogLevel::Info, "connection_closed",
                { { "reason", closeReasonName(reason) },
                  { "requests", requests_ },
                  { "read_bytes", static_cast<std::int64_t>(buffer_.size()) },
                  { "unread_bytes", static_cast<std::int64_t>(unread) },
                  { "discarded_bytes", static_cast<std::int64_t>(discardedBytes_) } });
    }
    socket_.close(error);
}

void CallerSession::fail(const std::exception_ptr &exception)
{
    logLine(LogLevel::Error, "session_failed",
            { { "request_id", exchange_ != nullptr ? exchange_->requestId() : std::string_view() },
              { "reason", exceptionMessage(exception) },
              { "remedy", "The connection is closed; report it if it repeats." } });
    state_.metrics.countRequest("failed");
    // Pending operations keep the session and the connection until the socket is closed.
    close(CloseReason::Failed);
}

void CallerSession::closeIfIdle(IdleConnections which)
{
    const bool overdue = which == IdleConnections::Overdue
        && std::chrono::steady_clock::now() - acceptedAt_ >= FirstRequestTime;
    const bool selected = requests_ > 0 || overdue || which == IdleConnections::All;
    if (!idle_ || !selected || peek(socket_) == PeekResult::Data) {
        return;
    }
    if (source_ == RequestSource::Peer && requests_ > 0 && which != IdleConnections::All) {
        if (!stopAnnouncedAt_.has_value()) {
            announceStop();
        }
        if (std::chrono::steady_clock::now() - *stopAnnouncedAt_ < LingerTimeout) {
            return;
        }
    }
    close(CloseReason::Stop);
}

void CallerSession::announceStop()
{
    // A response without a request id belongs to no request. The other node takes no connection on
    // which data waits, and skips the response if its next request has crossed it.
    GatewayResponse notice;
    notice.result(http::status::service_unavailable);
    notice.version(11);
    setForwardedResult(notice.base(),
                       { .outcome = ForwardedOutcome::Declined,
                         .refusal = std::string(errorResponse(ErrorKind::Draining).name) });
    notice.prepare_payload();
    stopAnnouncedAt_ = std::chrono::steady_clock::now();
    error_code error;
    socket_.non_blocking(true, error);
    http::write(socket_, notice, error);
    if (error) {
        close(CloseReason::Stop);
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

void CallerSession::scheduleClose(Duration limit, CloseReason reason)
{
    timer_.expireAfter(limit, [self = shared_from_this(), reason] { self->close(reason); });
}

void CallerSession::closeOnceReceived()
{
    timer_.expireAfter(LingerTimeout, [self = shared_from_this()] {
        // Bytes that are unread at the close, or come after it, reset the connection, which could
        // discard the response. If the caller takes nothing, TCP ends the connection.
        if (hasUnacknowledgedBytes(self->socket_)) {
            self->closeOnceReceived();
        } else {
            self->close(CloseReason::Responded);
        }
    });
}

void CallerSession::limitReading(Duration limit, CloseReason reason)
{
    timer_.expireAfter(limit, [self = shared_from_this(), reason] {
        self->closeAfterReading(reason, MaxReadsAfterLimit);
    });
}

void CallerSession::limitHeaderTime(Instant since)
{
    const Instant due = since + state_.limits().headerTimeout;
    timer_.expireAt(due, [self = shared_from_this(), since, due] {
        if (since + self->state_.limits().headerTimeout > due) {
            self->limitHeaderTime(since);
        } else {
            self->closeAfterReading(CloseReason::HeaderTimeout, MaxReadsAfterLimit);
        }
    });
}

void CallerSession::closeAfterReading(CloseReason reason, unsigned maxReads)
{
    const Instant due = std::chrono::steady_clock::now() + ReadAfterLimit;
    timer_.expireAt(due, [self = shared_from_this(), reason, due, maxReads] {
        // Another stall may have taken that time. What was read last may still be queued then.
        const bool stalled = std::chrono::steady_clock::now() - due > ReadingStall;
        if (maxReads > 0 && (stalled || peek(self->socket_) == PeekResult::Data)) {
            self->closeAfterReading(reason, maxReads - 1);
        } else {
            // A request that was read meanwhile is served, so the reader closes the connection.
            self->overdue_ = reason;
            error_code ignored;
            self->socket_.cancel(ignored);
        }
    });
}

Duration CallerSession::idleLimit() const
{
    const Duration limit = state_.limits().idleTimeout;
    // The other node may have a configuration with a longer limit.
    return source_ == RequestSource::Peer ? std::max(limit, MaxForwardingIdleTime) : limit;
}

void CallerSession::limitIdleTime(Instant since)
{
    const Instant due = since + idleLimit() + IdleMargin;
    timer_.expireAt(due, [self = shared_from_this(), since, due] {
        if (since + self->idleLimit() + IdleMargin > due) {
            self->limitIdleTime(since);
        } else if (peek(self->socket_) != PeekResult::Data) {
            // A request that has arrived by now is served instead.
            self->close(CloseReason::IdleTimeout);
        }
    });
}

asio::awaitable<bool> CallerSession::waitForBytes()
{
    if (buffer_.size() > 0) {
        co_return true;
    }
    buffer_.releaseIfEmpty();
    limitIdleTime(std::chrono::steady_clock::now());
    error_code error;
    idle_ = true;
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    idle_ = false;
    timer_.cancel();
    co_return !error && socket_.is_open();
}

asio::awaitable<PeekResult> CallerSession::waitForAnnouncedRequest()
{
    if (buffer_.size() > 0) {
        co_return PeekResult::Data;
    }
    timer_.expireAfter(LingerTimeout, [self = shared_from_this()] {
        error_code ignored;
        self->socket_.cancel(ignored);
    });
    error_code error;
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, error));
    timer_.cancel();
    co_return peek(socket_);
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    setTcpTimeout(socket_, CallerTcpTimeout);
    for (;;) {
        const bool dataAvailable = co_await waitForBytes();
        if (!dataAvailable) {
            close(CloseReason::Caller);
            co_return;
        }
        const ActiveRequest active = state_.beginRequest();
        Parser parser;
        buffer_.setMaxBytes(std::max(headerLimit(), MaxChunkLineBytes) + MinReadBytes);
        MemoryReservation bodyMemory(state_.bodyMemory, BodyKind::Request);
        const bool requestComplete = co_await readRequest(parser, bodyMemory);
        if (!requestComplete) {
            co_return;
        }
        obligation_->setRequestId(platform::requestId(parser.get().base()));
        auto request = parser.release();
        exchange_ = std::make_unique<Exchange>(
            state_, socket_, HttpRequest(std::move(request.base())),
            HeldBody { .text = std::move(request.body()), .memory = std::move(bodyMemory) },
            std::chrono::steady_clock::now(), source_);
        error_code error;
        if (readsOn_ && state_.readsNoFurtherRequests(std::chrono::steady_clock::now())) {
            // All that has arrived by now is answered.
            readArrived(error);
            readsOn_ = false;
        }
        if (readsOn_ ? buffer_.size() > 0 : holdsRequest()) {
            exchange_->noteNextRequest();
        }
        if (readsOn_) {
            watchForDisconnect();
        } else {
            exchange_->ignoreUnreadRequests();
        }
        const ExchangeResult end = co_await exchange_->run();
        std::move(*obligation_).discharge(end.end);
        obligation_.reset();
        ++generation_;
        std::string requestId(exchange_->requestId());
        exchange_.reset();
        static_cast<void>(headerMemory_.resize(0));
        static_cast<void>(unreadMemory_.resize(0));
        ++requests_;
        socket_.cancel(error);
        if (end.callerMayRead && !state_.draining) {
            co_await closeHalfClosed(std::move(requestId));
            co_return;
        }
        if (!end.connectionReusable) {
            co_await closeConnection(end.responseComplete);
            co_return;
        }
        if (state_.draining) {
            // The node may stop once no request counts as active.
            if (readsOn_) {
                readArrived(error);
            }
            if (source_ == RequestSource::Peer) {
                announceStop();
            }
            const PeekResult next = co_await waitForAnnouncedRequest();
            // The response has announced no close: the caller may use the connection until the
            // balancer has left, as those that were idle when the stop began.
            const bool stays = next == PeekResult::NoData && source_ != RequestSource::Peer
                && state_.callersMayStay(std::chrono::steady_clock::now());
            if (next != PeekResult::Data && !stays) {
                close(next == PeekResult::Closed ? CloseReason::Caller : CloseReason::Stop);
                co_return;
            }
        }
    }
}

asio::awaitable<void> CallerSession::closeConnection(bool responseComplete)
{
    error_code error;
    if (responseComplete) {
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        closeOnceReceived();
        PeekResult arrived = PeekResult::NoData;
        while (!error && arrived == PeekResult::NoData) {
            co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                        asio::redirect_error(asio::use_awaitable, error));
            arrived = peek(socket_);
        }
        if (!error && arrived == PeekResult::Data) {
            // The caller has sent more; its close ends both directions.
            co_await socket_.async_wait(asio::ip::tcp::socket::wait_error,
                                        asio::redirect_error(asio::use_awaitable, error));
            if (!error && hasUnacknowledgedBytes(socket_)) {
                // It has closed its sending side only. The timer closes the connection.
                co_return;
            }
        }
        timer_.cancel();
    }
    close(responseComplete ? CloseReason::Responded : CloseReason::NoResponse);
}

asio::awaitable<void> CallerSession::closeRefused(Duration linger)
{
    error_code error;
    // Closing a socket with unread bytes sends a reset, which could discard the refusal.
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    scheduleClose(linger, CloseReason::Responded);
    if (!readsOn_) {
        co_await socket_.async_wait(asio::ip::tcp::socket::wait_error,
                                    asio::redirect_error(asio::use_awaitable, error));
        error = asio::error::operation_aborted;
    }
    std::array<char, 4096> rest;
    const Instant end = std::chrono::steady_clock::now() + BodyTimeout;
    while (!error) {
        discardedBytes_ += co_await socket_.async_read_some(
            asio::buffer(rest), asio::redirect_error(asio::use_awaitable, error));
        // A stop doesn't wait for callers that send on.
        if (!error && !state_.draining && std::chrono::steady_clock::now() + linger < end) {
            scheduleClose(linger, CloseReason::Responded);
        }
    }
    timer_.cancel();
    close(CloseReason::Responded);
}

asio::awaitable<void> CallerSession::closeHalfClosed(std::string request)
{
    timer_.expireAfter(ResetTimeout, [self = shared_from_this()] {
        error_code ignored;
        self->socket_.cancel(ignored);
    });
    error_code error;
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_error,
                                asio::redirect_error(asio::use_awaitable, error));
    timer_.cancel();
    const bool reset = takeError(socket_);
    if (!reset) {
        logLine(
            LogLevel::Info, "caller_half_closed",
            { { "request_id", request },
              { "remedy",
                "The caller must keep its sending side open until the response is complete." } });
    }
    close(reset ? CloseReason::Caller : CloseReason::HalfClosed);
}

asio::awaitable<bool> CallerSession::readRequest(Parser &parser, MemoryReservation &bodyMemory)
{
    limitHeaderTime(std::chrono::steady_clock::now());
    // The limit is checked with the configuration that is in force when the header is complete.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    reading_ = true;
    requestOpen_ = true;
    overdue_.reset();
    error_code error = co_await readHeader(socket_, buffer_, parser, parser.get().base(),
                                           headerLimit(), headerMemory_);
    if (!error && hasInvalidFraming(parser.get().base())) {
        error = http::error::bad_transfer_encoding;
    }
    // The connections of the caller and of the server.
    if (!error && !unreadMemory_.resize(unreadRequestBytes(*state_.bodyMemory))) {
        error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    }
    if (!error && !parser.is_done()) {
        overdue_.reset();
        limitReading(BodyTimeout, CloseReason::BodyTimeout);
        error = co_await readBody(parser, bodyMemory);
    }
    timer_.cancel();
    reading_ = false;
    if (error && overdue_.has_value()) {
        close(*overdue_);
        co_return false;
    }
    if (!error) {
        obligation_.emplace(state_.metrics);
    }
    requestOpen_ = error && (parser.got_some() || buffer_.size() > 0);
    if (error == http::error::buffer_overflow || error == http::error::header_limit) {
        logReadLimit("request of a caller", error, buffer_, socket_);
    }
    if (isMemoryFull(error, buffer_)) {
        error = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    }
    if (error) {
        // A refused caller may send on for a while.
        std::string().swap(parser.get().body());
        static_cast<void>(bodyMemory.resize(0));
    }
    if (error == boost::system::errc::not_enough_memory) {
        logLine(LogLevel::Warning, "body_refused",
                { { "bytes", static_cast<std::int64_t>(parser.content_length().value_or(0)) },
                  { "body_memory_bytes", static_cast<std::int64_t>(state_.bodyMemory->used()) },
                  { "remedy", "Raise memory.total_mb if the VM has more, or add entry VMs." } });
        co_await refuseUnread(ErrorKind::BodyMemoryFull, parser);
        co_return false;
    }
    if (error && endedByStop_ && socket_.is_open()) {
        co_await refuseUnread(ErrorKind::Draining, parser);
        co_return false;
    }
    if (error) {
        co_await respondToParseError(error, parser);
        co_return false;
    }
    co_return true;
}

std::uint32_t CallerSession::headerLimit() const
{
    return state_.limits().headerBytes + (source_ == RequestSource::Peer ? MaxForwardingBytes : 0);
}

asio::awaitable<error_code> CallerSession::readBody(Parser &parser, MemoryReservation &bodyMemory)
{
    const auto noMemory
        = boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);
    const auto length = parser.content_length();
    const std::uint64_t limit = state_.limits().bodyBytes;
    if (length.value_or(0) > limit) {
        co_return http::error::body_limit;
    }
    parser.body_limit(limit);
    if (refillMemoryReserve() != MemoryLevel::Sufficient) {
        co_return noMemory;
    }
    // Refused before the caller sends what can't be kept.
    if (length.has_value() && !bodyMemory.resize(*length)) {
        co_return noMemory;
    }
    const bool reservesLength = length.has_value() && hasValidKey(parser);
    if (!reservesLength) {
        static_cast<void>(bodyMemory.resize(0));
    }
    // What is unread of it has been reserved with it.
    const std::size_t receiveBuffer
        = receiveBufferBytes(*state_.bodyMemory, ConnectionRole::Caller);
    const bool longBody = reservesLength && *length > receiveBuffer;
    if (longBody) {
        setReceiveBuffer(socket_.native_handle(),
                         std::min<std::size_t>(*length, LongBodyBufferBytes));
    }
    error_code error;
    // HTTP/1.0 has no interim responses.
    if (parser.get().version() >= 11
        && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(socket_, asio::buffer(Continue.data(), Continue.size()),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    try {
        // Reading would reserve it where a refusal ends the process.
        parser.get().body().reserve(length.value_or(0));
        while (!error && !parser.is_done()) {
            if (overdue_.has_value()) {
                co_return asio::error::operation_aborted;
            }
            if (refillMemoryReserve() != MemoryLevel::Sufficient) {
                co_return noMemory;
            }
            if (!reservesLength
                && !reserveForRead(bodyMemory, parser.get().body(), length, buffer_, limit)) {
                co_return noMemory;
            }
            co_await http::async_read_some(socket_, buffer_, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
        }
    } catch (const std::bad_alloc &) {
        error = noMemory;
    }
    if (longBody && socket_.is_open()) {
        setReceiveBuffer(socket_.native_handle(), receiveBuffer);
    }
    co_return error;
}

bool CallerSession::hasValidKey(const Parser &parser) const
{
    const auto facts = platform::readCallerRequest(parser.get().base());
    return facts.has_value() && !facts->key.empty() && state_.routes != nullptr
        && state_.routes->team(facts->key) != nullptr;
}

asio::awaitable<void> CallerSession::respondToParseError(error_code error, Parser &parser)
{
    const bool isParseError
        = error.category() == http::make_error_code(http::error::end_of_stream).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!isParseError || !socket_.is_open()) {
        close(CloseReason::Caller);
        co_return;
    }
    ErrorKind kind = ErrorKind::InvalidRequest;
    if (error == http::error::body_limit) {
        kind = ErrorKind::PayloadTooLarge;
    } else if (error == http::error::header_limit) {
        kind = ErrorKind::HeaderTooLarge;
    }
    co_await refuseUnread(kind, parser);
}

bool CallerSession::hasOlderConfiguration(const Parser &parser) const
{
    const auto forwarded
        = source_ == RequestSource::Peer ? readForwardedRequest(parser.get().base()) : std::nullopt;
    return forwarded.has_value()
        && (state_.routes == nullptr || state_.routes->version() < forwarded->configurationVersion);
}

asio::awaitable<void> CallerSession::refuseUnread(ErrorKind kind, Parser &parser)
{
    RequestId request;
    // A header that another node has admitted is too long for an older configuration only.
    const bool olderLimit = kind == ErrorKind::HeaderTooLarge
        ? source_ == RequestSource::Peer
        : kind == ErrorKind::PayloadTooLarge && hasOlderConfiguration(parser);
    if (olderLimit) {
        kind = ErrorKind::NotReady;
    }
    if (parser.is_header_done()) {
        const auto facts = platform::readCallerRequest(parser.get().base());
        request = facts.has_value() ? facts->id : RequestId();
    }
    const ErrorResponse &answer = errorResponse(kind);
    GatewayResponse response = gatewayRefusalResponse(
        { .kind = kind, .requestId = request.text(), .notRun = NotRun::True });
    if (!request.empty()) {
        platform::setRequestId(response.base(), request);
    }
    if (answer.retryAfterMs > 0) {
        platform::setRetryAfter(response.base(), milliseconds(answer.retryAfterMs));
    }
    if (source_ == RequestSource::Peer) {
        setForwardedResult(response.base(),
                           { .outcome = outcomeOfRefusal(kind, false, NotRun::True),
                             .refusal = std::string(answer.name) });
    }
    response.keep_alive(false);
    response.prepare_payload();
    if (parser.get().method() == http::verb::head) {
        response.body().clear();
    }
    error_code writeError;
    co_await http::async_write(socket_, response,
                               asio::redirect_error(asio::use_awaitable, writeError));
    state_.metrics.countRequest(writeError ? "not_delivered" : std::string(answer.name));
    requestOpen_ = writeError.failed();
    // The caller may send on for a while.
    static_cast<void>(parser.release());
    static_cast<void>(headerMemory_.resize(0));
    discardedBytes_ += buffer_.size();
    buffer_.consume(buffer_.size());
    buffer_.releaseIfEmpty();
    const bool bodyArrives = kind == ErrorKind::BodyMemoryFull && !state_.draining;
    if (writeError) {
        close(CloseReason::NoResponse);
    } else {
        co_await closeRefused(bodyArrives ? RefusedBodyLingerTimeout : LingerTimeout);
    }
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

void CallerSession::watchUnread()
{
    timer_.expireAfter(UnreadCheckInterval, [self = shared_from_this(), generation = generation_] {
        if (generation != self->generation_ || self->exchange_ == nullptr) {
            return;
        }
        if (hasReceivedClose(self->socket_)) {
            self->exchange_->callerDisconnected(asio::error::eof);
        } else {
            self->watchUnread();
        }
    });
}

void CallerSession::readAhead()
{
    if (exchange_->closeAnnounced()) {
        // A request behind the last response crosses the close, and the caller may repeat it.
        watchUnread();
        return;
    }
    error_code error;
    if (!readArrived(error)) {
        watchUnread();
        return;
    }
    exchange_->noteNextRequest();
    if (error) {
        exchange_->callerDisconnected(error);
        return;
    }
    watchForDisconnect();
}

bool CallerSession::holdsRequest() const
{
    Parser parser;
    parser.eager(true);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code error;
    parser.put(buffer_.data(), error);
    // A malformed request gets an error response.
    return parser.is_done() || (error && error != http::error::need_more);
}

bool CallerSession::readArrived(error_code &error)
{
    const std::size_t limit = state_.limits().headerBytes;
    if (buffer_.size() >= limit) {
        return false;
    }
    error_code ignored;
    const std::size_t arrived = std::max<std::size_t>(socket_.available(ignored), 1);
    const auto room = buffer_.tryPrepare(std::min(arrived, limit - buffer_.size()));
    if (!room.has_value()) {
        return false;
    }
    buffer_.commit(readAvailable(socket_, *room, error));
    return true;
}

} // namespace jacinthroad
