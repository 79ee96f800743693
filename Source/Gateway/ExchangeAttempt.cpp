#include "Gateway/ExchangeAttempt.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Core/Endpoint.h"
#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Gateway/BodyMemory.h"
#include "Gateway/HeaderReader.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Lifetime of an idle connection if the server sends no Keep-Alive timeout.
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
/// Idle connections are discarded this much before the server closes them, because a request in
/// transit could arrive after the close.
constexpr Duration KeepAliveMargin = milliseconds(500);
/// Responses to other requests that are skipped on one connection before the attempt fails.
constexpr unsigned MaxForeignResponses = 2;
/// Maximum size of a response that is buffered completely.
constexpr std::uint64_t MaxResponseBytes = 16 * 1024 * 1024;
/// Boost 1.74 takes any stated length as too long for a parser without a limit.
constexpr std::uint64_t NoBodyLimit = std::numeric_limits<std::uint64_t>::max();
/// A request with a body of this size at most fits into the send buffer of its connection, so that
/// one write passes it to the system.
constexpr std::size_t MaxBodyBytesInOneWrite = 8 * 1024;
/// Time for reading the part of a response that had arrived at the deadline.
constexpr Duration ReadAfterDeadline = milliseconds(50);
/// That time doesn't count if it ends this late, because the thread has stalled again, up to a
/// number of stalls.
constexpr Duration ReadingStall = milliseconds(5);
constexpr unsigned MaxStallsAfterDeadline = 10;
/// Time for which a server that has ended its response may leave the rest of the request unread
/// before the response counts as complete.
constexpr Duration UnreadRequestTime = milliseconds(500);
/// Interval of the check whether a server that runs a retryable request has stopped responding.
constexpr Duration LivenessCheckInterval = milliseconds(100);
/// Time without data on a connection after which a retryable request is sent to another server.
/// UnresponsiveMsPerToken is added for each uncached prompt token until the first byte arrives.
/// Half of the shortest time after which callers abandon a stream.
constexpr Duration UnresponsiveTimeout = milliseconds(1000);
/// The same if the other server may reject the request: longer than a sound server is silent.
constexpr Duration GoneTimeout = milliseconds(1300);
constexpr double UnresponsiveMsPerToken = 0.05;

/// Time for which a server sends events after which the request's prompt parts don't crash it.
constexpr Duration HarmlessTime = milliseconds(250);
/// Keeps the hashes of prompt parts apart from those of requests.
constexpr std::uint64_t PartHashSeed = 1;
/// The same for groups of requests.
constexpr std::uint64_t GroupHashSeed = 2;

bool isEventStream(const http::response_header<> &header)
{
    return boost::beast::iequals(header[http::field::content_type].substr(0, 17),
                                 "text/event-stream");
}

bool isSuccess(const http::response_header<> &header)
{
    return http::to_status_class(header.result_int()) == http::status_class::successful;
}

/// Returns true if a server may give this status to a request that asks for no other protocol.
bool isServerStatus(unsigned status)
{
    return http::to_status_class(status) != http::status_class::unknown
        && status != static_cast<unsigned>(http::status::switching_protocols);
}

/// Returns true if the other side closed or reset the connection.
bool isEndOfConnection(const error_code &error)
{
    return error == asio::error::eof || error == asio::error::connection_reset
        || error == asio::error::broken_pipe || error == http::error::end_of_stream
        || error == http::error::partial_message;
}

/// Parses the rest of what has been read, which may be many pieces of a body, as far as it is
/// complete.
template <typename Parser>
void parseBuffered(Parser &parser, ServerConnection &connection, error_code &error)
{
    while (!error && !parser.is_done() && connection.buffer.size() > 0) {
        connection.buffer.consume(parser.put(connection.buffer.data(), error));
    }
    if (error == http::error::need_more) {
        error = {};
    }
}

} // namespace

void Exchange::Attempt::openWriter()
{
    error_code error;
    const auto endpoint = connection->socket.local_endpoint(error);
    const int descriptor
        = error ? -1 : fcntl(connection->socket.native_handle(), F_DUPFD_CLOEXEC, 0);
    if (descriptor < 0) {
        return;
    }
    writer.emplace(connection->socket.get_executor());
    writer->assign(endpoint.protocol(), descriptor, error);
    if (error) {
        ::close(descriptor);
        writer.reset();
    }
}

void Exchange::Attempt::closeWriter()
{
    if (writer.has_value()) {
        error_code ignored;
        writer->close(ignored);
    }
}

void Exchange::Attempt::noteWriteEnd(const error_code &error)
{
    requestWritten = !error;
    writeFailed = error && error != asio::error::operation_aborted;
    closeWriter();
    writeEnd.cancel();
}

asio::awaitable<Exchange::AttemptResult> Exchange::runAttempt(const Placement &placement)
{
    auto attempt = std::make_shared<Attempt>(state_.context);
    attempt->placement = placement;
    placement_ = placement;
    state_.pool.noteSending(placement.server, std::chrono::steady_clock::now(), route_->name);
    cancelAttempt_ = [attempt] { attempt->abort(); };
    const AttemptCleanup cleanup { *attempt };
    lastForwarded_ = false;
    const bool connected = co_await connect(attempt);
    if (!connected) {
        ++failedConnects_;
        overdueConnects_ += attempt->timedOut ? 1 : 0;
    }
    co_return co_await transfer(attempt, connected);
}

asio::awaitable<Exchange::AttemptResult> Exchange::transfer(std::shared_ptr<Attempt> attempt,
                                                            bool connected)
{
    AttemptResult end = AttemptResult::NotSent;
    // The close may have arrived with the request, or while the connection was being opened.
    if (!callerDisconnected_) {
        callerDisconnected_ = peek(caller_, callerError_) == PeekResult::Closed;
    }
    if (callerDisconnected_) {
        end = AttemptResult::CallerDisconnected;
    } else if (connected && outOfTime(std::chrono::steady_clock::now())) {
        end = AttemptResult::TimedOut;
    } else if (connected) {
        abortAt(attempt, deadline_);
        sendRequest(attempt);
        if (route_->retryable()) {
            monitorServer(attempt);
        }
        end = co_await receive(*attempt);
    }
    cancelAttempt_ = nullptr;
    if (end == AttemptResult::Silent) {
        setAside(attempt);
        co_return end;
    }
    endOverlap(end);
    if (end == AttemptResult::Rejected) {
        state_.rejections.noteRejected(placementRequest_.service, std::chrono::steady_clock::now());
    } else if (end == AttemptResult::ResponseReceived) {
        state_.rejections.noteAccepted(placementRequest_.service, std::chrono::steady_clock::now());
    }
    finishAttempt(*attempt, end);
    noteBrokenStream(end);
    co_return end;
}

void Exchange::abortAt(const std::shared_ptr<Attempt> &attempt, Instant moment)
{
    attempt->deadlineTimer.expireAt(moment, [attempt] {
        // After a stall of this thread, a response that arrived in time is still read, and so is
        // the end of the connection, which may be its end.
        asio::ip::tcp::socket &socket = attempt->connection->socket;
        if (socket.is_open() && peek(socket) != PeekResult::NoData) {
            error_code ignored;
            attempt->bytesByDeadline
                = attempt->connection->reader.readBytes() + socket.available(ignored);
            abortAfterReading(attempt, MaxStallsAfterDeadline);
        } else {
            attempt->endAtDeadline();
        }
    });
}

void Exchange::abortAfterReading(const std::shared_ptr<Attempt> &attempt, unsigned maxStalls)
{
    const Instant due = std::chrono::steady_clock::now() + ReadAfterDeadline;
    attempt->deadlineTimer.expireAt(due, [attempt, due, maxStalls] {
        // Another stall may have taken that time.
        const bool stalled = std::chrono::steady_clock::now() - due > ReadingStall;
        if (stalled && maxStalls > 0 && !attempt->sendsOnAfterDeadline()) {
            abortAfterReading(attempt, maxStalls - 1);
        } else {
            attempt->endAtDeadline();
        }
    });
}

void Exchange::monitorServer(const std::shared_ptr<Attempt> &attempt)
{
    // The exchange outlives the attempt, which disarms the timer at its end, also by an exception.
    const Instant due = std::chrono::steady_clock::now() + LivenessCheckInterval;
    attempt->livenessTimer.expireAt(due, [this, attempt, due] {
        const Instant now = std::chrono::steady_clock::now();
        // After a stall of this thread, data that has arrived meanwhile is read first.
        if (now - due > LivenessCheckInterval || attempt->connection->reader.waits()) {
            monitorServer(attempt);
            return;
        }
        const Duration prefillAllowance = fromMilliseconds(
            attempt->firstByteReceived ? 0 : attempt->uncachedTokens * UnresponsiveMsPerToken);
        const Duration silence = now - attempt->lastReceivedAt - prefillAllowance;
        // A stream that has begun would be lost with its place at the server.
        const bool unresponsive = silence > UnresponsiveTimeout
            || (!headerDelivered_ && !attempt->isForwarded()
                && state_.pool.unresponsive(attempt->placement.server, now));
        if (unresponsive
            && (retryReserved_.has_value()
                || reserveRetry(attempt->placement.server, silence > GoneTimeout, now))) {
            attempt->silent = true;
            silentGivenUp_ = silentGivenUp_ || !attempt->canInterruptRead();
            attempt->interruptRead();
        }
        monitorServer(attempt);
    });
}

void Exchange::sendRequest(const std::shared_ptr<Attempt> &shared)
{
    Attempt &attempt = *shared;
    const Instant now = std::chrono::steady_clock::now();
    attempt.forwardedRequest.base() = attempt.isForwarded()
        ? helperHeader(now)
        : platform::forwardHeader(request_.base(), forwardFacts(attempt.placement, now));
    attempt.body = body_;
    attempt.forwardedRequest.body() = { body_->text.data(), body_->text.size() };
    if (!body_->text.empty() || request_.has_content_length() || request_.chunked()) {
        attempt.forwardedRequest.content_length(body_->text.size());
    }
    const std::uint32_t found
        = std::max(attempt.placement.cachedPromptTokens, attempt.placement.tokensAfterFetch);
    if (!attempt.isForwarded()) {
        state_.pool.noteSent(attempt.placement.server, placementRequest_, found, now);
        state_.links.noteSent(attempt.placement.server, now);
        state_.notifyPeersSoon();
        noteVersionSent(attempt.placement, now);
        noteTrial(now);
    }
    attempt.uncachedTokens
        = placementRequest_.promptTokens - std::min(placementRequest_.promptTokens, found);
    attempt.connection->carriedRequests.push_back(hash64(callerRequest_.id.text()));
    attempt.connection->reader.renewAllowance();
    attempt.sent = true;
    attempt.paidAt = std::exchange(nextSendPaid_, std::nullopt);
    attempt.sentAt = now;
    attempt.lastReceivedAt = now;
    attempt.isReturn
        = attempt.isForwarded() ? mayOnlyReturn() : attempt.placement.server == returnTo_;
    ++sends_;
    returns_ += attempt.isReturn ? 1 : 0;
    limitOverlap(shared);
    dispatchRecord_.noteStarted();
    if (body_->text.size() > MaxBodyBytesInOneWrite) {
        attempt.openWriter();
    }
    // The server may respond before it has read the request, so writing and reading overlap.
    http::async_write(attempt.writer.has_value() ? *attempt.writer : attempt.connection->socket,
                      attempt.forwardedRequest,
                      [shared](error_code error, std::size_t) { shared->noteWriteEnd(error); });
}

Exchange::AttemptResult Exchange::failure(Attempt &attempt, const error_code &error)
{
    connectionError_ = error;
    if (attempt.connection != nullptr) {
        attempt.memoryFull = attempt.memoryFull || isMemoryFull(error, attempt.connection->buffer);
        logReadLimit("response of " + serverOf(attempt).text(), error, attempt.connection->buffer,
                     attempt.connection->socket);
    }
    partialEventBytes_ = eventSplitter_.partialEvent().size();
    attempt.endedByServer = !attempt.timedOut && isEndOfConnection(error);
    // What a server sends that is no valid response breaks it off too.
    serverBrokeOff_ = error && !isOwnClose(error) && !attempt.memoryFull;
    responseTooLong_ = exceedsReadLimit(error);
    memoryFull_ = attempt.memoryFull;
    if (callerDisconnected_) {
        return AttemptResult::CallerDisconnected;
    }
    if (attempt.timedOut || endedByStop_) {
        return AttemptResult::TimedOut;
    }
    if (attempt.superseded) {
        return attempt.responseFacts.notRun ? AttemptResult::Rejected : AttemptResult::Superseded;
    }
    return headerDelivered_ ? AttemptResult::StreamBroken : AttemptResult::NoResponse;
}

asio::awaitable<Exchange::AttemptResult> Exchange::receiveResponse(Attempt &attempt)
{
    ServerConnection &connection = *attempt.connection;
    for (; attempt.skippedResponses <= MaxForeignResponses; ++attempt.skippedResponses) {
        auto parser = std::move(attempt.headerParser);
        if (parser == nullptr) {
            parser = std::make_unique<ResponseParser<http::empty_body>>();
            parser->body_limit(NoBodyLimit);
            parser->skip(request_.method() == http::verb::head);
        }
        attempt.headerMemory.emplace(state_.bodyMemory, BodyKind::Response);
        error_code error = co_await readHeader(connection.reader, connection.buffer, *parser,
                                               parser->get().base(), MaxResponseHeaderBytes,
                                               *attempt.headerMemory);
        if (attempt.wasInterrupted(error)) {
            attempt.headerParser = std::move(parser);
            co_return AttemptResult::Silent;
        }
        if (error || callerDisconnected_ || attempt.superseded) {
            co_return failure(attempt, error);
        }
        noteReceived(attempt);
        attempt.responseFacts
            = platform::readResponseInfo(parser->get().base(), attempt.placement.server);
        // Without an id, only the first response on a connection certainly belongs to its request.
        const bool matchesRequest = attempt.responseFacts.request.empty()
            ? !attempt.connectionReused && !attempt.reportRead && attempt.skippedResponses == 0
            : attempt.responseFacts.request == callerRequest_.id;
        if (!isServerStatus(parser->get().result_int())) {
            co_return failure(attempt, http::error::bad_status);
        }
        const bool interim = parser->get().result_int() < 200;
        const bool streamed = matchesRequest && route_->kind == RouteKind::Streaming
            && parser->get().result_int() == 200 && isEventStream(parser->get().base());
        if (!streamed) {
            if (!parser->is_done() && parser->content_length().value_or(0) > MaxResponseBytes) {
                co_return failure(attempt, http::error::body_limit);
            }
            parser->body_limit(MaxResponseBytes);
        }
        if (attempt.isForwarded() && !interim && !readHelperHeader(attempt, parser->get())) {
            co_return failure(attempt, http::error::bad_field);
        }
        if (matchesRequest && isSuccess(parser->get()) && !attempt.responseFacts.hasResponseStamp) {
            logLine(LogLevel::Warning, "response_without_stamp",
                    { { "request_id", callerRequest_.id.text() },
                      { "server", attempt.placement.server.text() },
                      { "remedy", "The response is not forwarded; check the server." } });
            co_return failure(attempt, http::error::bad_field);
        }
        if (matchesRequest && !interim) {
            if (!attempt.responseFacts.wrongServer && !attempt.isForwarded()) {
                state_.noteStatement({ .id = attempt.placement.server,
                                       .bootedAt = attempt.placement.bootedAt,
                                       .address = attempt.placement.address },
                                     attempt.responseFacts.statement);
                state_.noteLived(attempt.placement.server, connection.openedAt, attempt.sentAt);
            }
            if (attempt.responseFacts.weights.has_value() && !attempt.isForwarded()) {
                state_.pool.noteWeights(attempt.placement.server, callerRequest_.model,
                                        *attempt.responseFacts.weights);
            }
            delimiter_ = parser->need_eof() ? BodyDelimiter::ConnectionClose
                : parser->chunked()         ? BodyDelimiter::Chunks
                                            : BodyDelimiter::Length;
            attempt.headerParser = std::move(parser);
            // Separate statements because g++ 12 miscompiles co_await inside a conditional
            // operator.
            if (streamed) {
                co_return co_await relayStream(attempt);
            }
            co_return co_await readCompleteResponse(attempt);
        }
        error = co_await skipResponse(attempt, *parser);
        if (error) {
            co_return failure(attempt, error);
        }
    }
    // It has sent too many responses to other requests.
    co_return failure(attempt, http::error::bad_status);
}

asio::awaitable<Exchange::AttemptResult> Exchange::readCompleteResponse(Attempt &attempt)
{
    ServerConnection &connection = *attempt.connection;
    if (attempt.bodyParser == nullptr) {
        attempt.bodyParser
            = std::make_unique<ResponseParser<http::string_body>>(std::move(*attempt.headerParser));
    }
    ResponseParser<http::string_body> &parser = *attempt.bodyParser;
    if (!attempt.bodyMemory.has_value()) {
        attempt.bodyMemory.emplace(state_.bodyMemory, BodyKind::Response);
    }
    error_code error;
    while (!parser.is_done() && !error) {
        std::string &body = parser.get().body();
        connection.prepareRead();
        if (!reserveForRead(*attempt.bodyMemory, body, parser.content_length(), connection.buffer,
                            MaxResponseBytes)) {
            attempt.memoryFull = attempt.bodyMemory->refusedForOthers();
            co_return giveUpResponse(attempt, "response_too_long");
        }
        co_await http::async_read_some(connection.reader, connection.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        parseBuffered(parser, connection, error);
        if (!error) {
            noteReceived(attempt);
        }
    }
    if (attempt.wasInterrupted(error)) {
        co_return AttemptResult::Silent;
    }
    if (error || callerDisconnected_) {
        co_return failure(attempt, error);
    }
    attempt.firstByteReceived = true;
    attempt.reusable = parser.keep_alive() && attempt.requestWritten;
    if (attempt.isForwarded() && attempt.forwardedResult.outcome != ForwardedOutcome::Relayed) {
        co_return noteHelperRefusal(attempt, parser.release());
    }
    if (attempt.responseFacts.notRun || attempt.responseFacts.wrongServer) {
        co_return AttemptResult::Rejected;
    }
    if (delimiter_ == BodyDelimiter::ConnectionClose) {
        const bool complete = co_await isCompleteAtClose(attempt);
        if (callerDisconnected_) {
            co_return failure(attempt, {});
        }
        if (!complete) {
            co_return failure(attempt, asio::error::eof);
        }
    }
    response_ = parser.release();
    responseMemory_.emplace(std::move(*attempt.bodyMemory));
    co_return AttemptResult::ResponseReceived;
}

asio::awaitable<bool> Exchange::isCompleteAtClose(Attempt &attempt)
{
    // The server has ended the attempt; only the caller or the deadline may still do so.
    attempt.livenessTimer.cancel();
    if (attempt.isForwarded()) {
        // Helping nodes mark the end of their responses.
        co_return false;
    }
    // The system tells only one of a pending read and a pending write of a reset.
    if (!attempt.requestWritten && !attempt.writeFailed) {
        error_code ignored;
        attempt.writeEnd.expires_after(UnreadRequestTime);
        co_await attempt.writeEnd.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (attempt.writeFailed || hasFailed(attempt.connection->socket)) {
        co_return false;
    }
    const bool refused
        = co_await state_.crashDetector.refusesConnections(attempt.placement.address);
    serverEnded_ = refused;
    co_return !refused;
}

asio::awaitable<error_code> Exchange::skipResponse(Attempt &attempt,
                                                   ResponseParser<http::empty_body> &header)
{
    ResponseParser<http::buffer_body> parser { std::move(header) };
    std::array<char, 1024> skipped;
    error_code error;
    while (!parser.is_done() && !error) {
        parser.get().body() = { .data = skipped.data(), .size = skipped.size() };
        co_await http::async_read_some(attempt.connection->reader, attempt.connection->buffer,
                                       parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
    }
    co_return error;
}

asio::awaitable<Exchange::AttemptResult> Exchange::relayStream(Attempt &attempt)
{
    ServerConnection &connection = *attempt.connection;
    if (attempt.streamParser == nullptr) {
        attempt.streamParser
            = std::make_unique<ResponseParser<http::buffer_body>>(std::move(*attempt.headerParser));
    }
    ResponseParser<http::buffer_body> &parser = *attempt.streamParser;
    const http::response_header<> header = platform::callerHeader(parser.get().base());
    constexpr std::size_t ReadBufferBytes = 16384;
    std::array<char, ReadBufferBytes> readBuffer;
    if (delimiter_ == BodyDelimiter::ConnectionClose) {
        eventSplitter_.stopAtNextResponse();
    }
    while (!parser.is_done() && !eventSplitter_.reachedNextResponse()) {
        parser.get().body().data = readBuffer.data();
        parser.get().body().size = readBuffer.size();
        parser.get().body().more = true;
        connection.prepareRead();
        error_code error;
        co_await http::async_read_some(connection.reader, connection.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        parseBuffered(parser, connection, error);
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (!error) {
            noteReceived(attempt);
        }
        const std::size_t size = readBuffer.size() - parser.get().body().size;
        attempt.bodyReceived = attempt.bodyReceived || size > 0;
        // What can't be kept stays unread, so that another server sends it again.
        if (!reserveEvent(attempt, size)) {
            attempt.memoryFull = attempt.bodyMemory->refusedForOthers();
            co_return giveUpResponse(attempt, "event_too_long");
        }
        std::string completeEvents = eventSplitter_.feed({ readBuffer.data(), size });
        if (!completeEvents.empty()) {
            connection.reader.noteEvents();
            const std::string bytes = frameEvents(attempt, header, completeEvents);
            std::string().swap(completeEvents);
            // Events that are complete are passed on also if the memory is used up.
            static_cast<void>(reserveEvent(attempt, bytes.capacity()));
            const Instant begun = std::chrono::steady_clock::now();
            const bool written = co_await writeToCaller(bytes);
            attempt.callerTime += std::chrono::steady_clock::now() - begun;
            if (!written) {
                callerDisconnected_ = true;
                attempt.abort();
                co_return AttemptResult::CallerDisconnected;
            }
        }
        const bool tooLong = eventSplitter_.eventTooLong();
        if (tooLong || !reserveEvent(attempt, 0)) {
            attempt.memoryFull = !tooLong && attempt.bodyMemory->refusedForOthers();
            co_return giveUpResponse(attempt, "event_too_long");
        }
        if (attempt.wasInterrupted(error)) {
            co_return AttemptResult::Silent;
        }
        if (error || callerDisconnected_) {
            co_return failure(attempt, error);
        }
    }
    partialEventBytes_ = eventSplitter_.partialEvent().size();
    // Whatever marks its end, a stream that ends inside an event was broken off.
    bool complete = !eventSplitter_.hasPartialEvent();
    if (complete && delimiter_ == BodyDelimiter::ConnectionClose) {
        complete = attempt.bodyReceived || headerDelivered_;
        if (complete) {
            complete = co_await isCompleteAtClose(attempt);
        }
    }
    if (callerDisconnected_) {
        co_return failure(attempt, {});
    }
    if (!complete) {
        co_return failure(attempt, asio::error::eof);
    }
    attempt.reusable = parser.keep_alive() && attempt.requestWritten;
    if (!headerDelivered_) {
        // A stream without events is forwarded as a response with an empty body.
        response_.emplace(parser.get().base());
        co_return AttemptResult::ResponseReceived;
    }
    if (useChunkedEncoding()) {
        const bool written = co_await writeToCaller("0\r\n\r\n");
        if (!written) {
            callerDisconnected_ = true;
            co_return AttemptResult::CallerDisconnected;
        }
    } else {
        setResetOnClose(caller_, false);
    }
    co_return AttemptResult::Delivered;
}

Exchange::AttemptResult Exchange::giveUpResponse(Attempt &attempt, std::string_view event)
{
    const std::size_t bytes = attempt.bodyParser != nullptr
        ? attempt.bodyParser->get().body().size()
        : eventSplitter_.partialEvent().size();
    logLine(LogLevel::Warning, attempt.memoryFull ? "response_without_memory" : event,
            { { "request_id", callerRequest_.id.text() },
              { "server", attempt.placement.server.text() },
              { "bytes", static_cast<std::int64_t>(bytes) },
              { "body_memory_bytes", static_cast<std::int64_t>(state_.bodyMemory->used()) },
              { "remedy",
                attempt.memoryFull ? "Raise memory.total_mb if the VM has more, or add entry VMs."
                                   : "Check the server, or raise memory.total_mb." } });
    const AttemptResult end = failure(
        attempt, attempt.memoryFull ? http::error::buffer_overflow : http::error::body_limit);
    if (attempt.bodyParser != nullptr) {
        std::string().swap(attempt.bodyParser->get().body());
    }
    eventSplitter_.dropPartialEvent();
    attempt.bodyMemory.reset();
    return end;
}

bool Exchange::reserveEvent(Attempt &attempt, std::size_t bytesToWrite)
{
    if (!attempt.bodyMemory.has_value()) {
        attempt.bodyMemory.emplace(state_.bodyMemory, BodyKind::Response);
    }
    return attempt.bodyMemory->resize(eventSplitter_.heldBytes() + bytesToWrite);
}

std::string Exchange::frameEvents(Attempt &attempt, const http::response_header<> &header,
                                  std::string_view events)
{
    dropSilentAttempt();
    giveBackReturn();
    std::string bytes;
    const Instant arrived = std::chrono::steady_clock::now();
    if (headerDelivered_) {
        longestGap_ = std::max(longestGap_, arrived - lastEventAt_);
    } else {
        http::response<http::empty_body> head { header };
        head.chunked(useChunkedEncoding());
        keepAnnounced_ = useChunkedEncoding() && keepConnection();
        closeAnnounced_ = !keepAnnounced_;
        head.keep_alive(keepAnnounced_);
        setResult(head.base(), ForwardedOutcome::Relayed);
        if (!useChunkedEncoding()) {
            // To this caller an orderly close is the end of a complete response.
            setResetOnClose(caller_, true);
        }
        headerDelivered_ = true;
        firstByteAt_ = arrived;
        attempt.firstByteReceived = true;
        if (!attempt.isForwarded()) {
            state_.pool.noteFirstByte(attempt.placement.server, placementRequest_,
                                      attempt.placement.weights, attempt.uncachedTokens);
            state_.notifyPeersSoon();
        }
        state_.metrics.observeFirstByte(firstByteAt_ - received_);
        std::ostringstream text;
        text << head.base();
        bytes = text.str();
    }
    lastEventAt_ = arrived;
    if (attempt.firstEventAt == Instant()) {
        attempt.firstEventAt = arrived;
        state_.rejections.noteAccepted(placementRequest_.service, arrived);
        if (!attempt.isForwarded()) {
            state_.pool.noteAnswered(attempt.placement.server, route_->name,
                                     arrived - attempt.sentAt, arrived);
        }
    }
    attempt.lastEventAt = arrived;
    if (arrived - attempt.firstEventAt >= HarmlessTime && !attempt.isForwarded()) {
        clearParts(attempt);
    }
    if (useChunkedEncoding()) {
        std::array<char, 24> chunkHeader {};
        std::snprintf(chunkHeader.data(), chunkHeader.size(), "%zx\r\n", events.size());
        bytes.reserve(bytes.size() + chunkHeader.size() + events.size());
        bytes.append(chunkHeader.data()).append(events).append("\r\n");
    } else {
        bytes.append(events);
    }
    return bytes;
}

void Exchange::recordOutcome(AttemptResult end)
{
    switch (end) {
    case AttemptResult::Rejected:
        dispatchRecord_.noteNotRun();
        break;
    case AttemptResult::Delivered:
    case AttemptResult::ResponseReceived:
        dispatchRecord_.noteRan();
        break;
    default:
        dispatchRecord_.noteMayHaveRun();
        break;
    }
}

RequestFingerprint Exchange::fingerprint()
{
    if (!fingerprint_.has_value()) {
        RequestFingerprint hash = team_ != nullptr ? hash64(team_->name.text()) : 0;
        const auto add = [&hash](std::string_view text) { hash = mix64(hash, hash64(text)); };
        add({ request_.method_string().data(), request_.method_string().size() });
        add({ request_.target().data(), request_.target().size() });
        add(body_->text);
        add(callerRequest_.model.text());
        fingerprint_ = hash;
    }
    return *fingerprint_;
}

const std::vector<SharedPart> &Exchange::sharedParts()
{
    if (!sharedParts_.has_value()) {
        sharedParts_ = callerRequest_.model.empty() ? requestGroups() : promptParts();
    }
    return *sharedParts_;
}

std::vector<SharedPart> Exchange::promptParts() const
{
    std::vector<SharedPart> parts;
    const std::uint64_t model = hash64(callerRequest_.model.text(), PartHashSeed);
    for (const PromptPart &part : placementRequest_.parts) {
        parts.push_back({ .fingerprint = mix64(model, part.id),
                          .name = hexadecimal(part.id),
                          .depth = static_cast<std::uint8_t>(
                              std::min<std::size_t>(parts.size() + 1, MaxPartDepth)) });
    }
    return parts;
}

std::vector<SharedPart> Exchange::requestGroups() const
{
    const std::uint64_t route = hash64(route_->name, GroupHashSeed);
    std::vector<SharedPart> groups {
        { .fingerprint = route, .name = "route " + route_->name, .depth = RouteGroupDepth }
    };
    if (team_ != nullptr) {
        const std::uint64_t team = mix64(route, hash64(team_->name.text()));
        const std::uint64_t key = hash64(callerRequest_.key);
        groups.push_back({ .fingerprint = team,
                           .name = groups.back().name + ", team " + team_->name.text(),
                           .depth = TeamGroupDepth });
        groups.push_back({ .fingerprint = mix64(team, key),
                           .name = groups.back().name + ", key hash " + hexadecimal(key),
                           .depth = KeyGroupDepth });
    }
    return groups;
}

CrashAssessment Exchange::assessCrashes()
{
    if (state_.crashHistory.empty()) {
        return {};
    }
    const Instant now = std::chrono::steady_clock::now();
    CrashAssessment result = state_.crashHistory.assess(fingerprint(), now);
    quarantinedPart_.clear();
    for (const SharedPart &part : sharedParts()) {
        const CrashAssessment assessment = state_.crashHistory.assess(part.fingerprint, now);
        if (assessment.permission == CrashPermission::Denied) {
            quarantinedPart_ = part.name;
        }
        result.permission = std::max(result.permission, assessment.permission);
        result.crashes = std::max(result.crashes, assessment.crashes);
        result.remaining = std::max(result.remaining, assessment.remaining);
    }
    return result;
}

void Exchange::noteTrial(Instant now)
{
    if (state_.crashHistory.empty()) {
        return;
    }
    for (const SharedPart &part : sharedParts()) {
        if (state_.crashHistory.assess(part.fingerprint, now).trial) {
            state_.crashHistory.noteTrial(part.fingerprint, now);
        }
    }
}

void Exchange::claimTrial(Instant now)
{
    if (!state_.crashHistory.empty() && state_.crashHistory.assess(fingerprint(), now).trial) {
        state_.crashHistory.noteTrial(fingerprint(), now);
        isTrial_ = true;
    }
}

void Exchange::clearParts(Attempt &attempt)
{
    if (attempt.partsCleared || state_.crashHistory.empty() || callerRequest_.model.empty()) {
        return;
    }
    attempt.partsCleared = true;
    for (const SharedPart &part : sharedParts()) {
        state_.crashHistory.noteCompleted(part.fingerprint, std::chrono::steady_clock::now());
    }
}

void Exchange::noteGroupRun(const Attempt &attempt)
{
    if (state_.crashHistory.empty() || !callerRequest_.model.empty()) {
        return;
    }
    for (const SharedPart &group : sharedParts()) {
        state_.crashHistory.noteGroupRun(group.fingerprint, attempt.sentAt,
                                         mix64(hash64(callerRequest_.id.text()), group.depth));
    }
}

void Exchange::noteCrashEvidence(Attempt &attempt, AttemptResult end)
{
    const Instant now = std::chrono::steady_clock::now();
    if (end == AttemptResult::Delivered || end == AttemptResult::ResponseReceived) {
        // A server that responds with an error may not have begun to run the request.
        // A response that ends with its connection may have been broken off all the same.
        const bool served = delimiter_ != BodyDelimiter::ConnectionClose
            && (end == AttemptResult::Delivered || response_->result_int() < 500);
        if (served && !state_.crashHistory.empty()) {
            state_.crashHistory.noteCompleted(fingerprint(), now);
        }
        // A response that ends with its connection may have been broken off.
        if (delimiter_ != BodyDelimiter::ConnectionClose
            && (end == AttemptResult::Delivered || response_->result_int() < 300)) {
            attempt.partsCleared = false;
            clearParts(attempt);
            noteGroupRun(attempt);
        }
        return;
    }
    if (!attempt.endedByServer) {
        return;
    }
    // A server that leaves ends its process on purpose.
    const ListedServer *server = state_.pool.listed(attempt.placement.server);
    if (server != nullptr && !server->leaving) {
        logLoss(attempt, now);
        state_.crashDetector.noteLoss(
            *server,
            { .fingerprint = fingerprint(),
              .suspectParts = attempt.lastEventAt - attempt.firstEventAt < HarmlessTime
                  ? sharedParts()
                  : std::vector<SharedPart>(),
              .sentAt = attempt.sentAt,
              .lostAt = now });
    }
}

void Exchange::logLoss(const Attempt &attempt, Instant now)
{
    const std::string_view target(request_.target().data(), request_.target().size());
    const std::size_t queryBegin = std::min(target.find('?'), target.size());
    logLine(
        LogLevel::Info, "request_lost",
        { { "request_id", callerRequest_.id.text() },
          { "fingerprint", hexadecimal(fingerprint()) },
          { "server", attempt.placement.server.text() },
          { "route", route_->name },
          { "team", team_ != nullptr ? std::string_view(team_->name.text()) : std::string_view() },
          { "key_hash", hexadecimal(hash64(callerRequest_.key)) },
          { "path", target.substr(0, queryBegin) },
          { "query_hash", hexadecimal(hash64(target.substr(queryBegin))) },
          { "body_hash", hexadecimal(hash64(body_->text)) },
          { "ran_ms", toMilliseconds(now - attempt.sentAt) } });
}

void Exchange::noteReceived(Attempt &attempt)
{
    attempt.silent = false;
    const Instant now = std::chrono::steady_clock::now();
    attempt.longestSilence = std::max(attempt.longestSilence, now - attempt.lastReceivedAt);
    attempt.lastReceivedAt = now;
    if (!attempt.isForwarded()) {
        state_.noteReceived(attempt.placement.server, attempt.lastReceivedAt);
    }
}

void Exchange::noteAnswer(const Attempt &attempt, AttemptResult end, Instant now)
{
    const ServerId &server = attempt.placement.server;
    const bool begun = attempt.firstEventAt != Instant();
    switch (end) {
    case AttemptResult::ResponseReceived:
        if (response_->result_int() < 500 && !attempt.responseFacts.statement.pause.has_value()) {
            state_.pool.noteAnswered(server, route_->name, now - attempt.sentAt, now);
        }
        break;
    case AttemptResult::Delivered:
        state_.pool.noteStreamEnded(server, route_->name, now - attempt.sentAt, now);
        break;
    case AttemptResult::NoResponse:
    case AttemptResult::StreamBroken:
        if (!attempt.memoryFull) {
            break;
        }
        [[fallthrough]];
    case AttemptResult::TimedOut:
    case AttemptResult::CallerDisconnected:
        if (!limitedByStop_ && !endedByStop_) {
            const UnfinishedAttempt unfinished {
                .sentAt = attempt.sentAt,
                .longestSilence = std::max(attempt.longestSilence, now - attempt.lastReceivedAt),
                .callerTime = attempt.callerTime,
                .withoutMemory = attempt.memoryFull
            };
            if (begun) {
                state_.pool.noteUnfinishedStream(server, route_->name, unfinished, now);
            } else {
                state_.pool.noteUnfinished(server, route_->name, unfinished, now);
            }
        }
        break;
    default:
        break;
    }
}

void Exchange::finishAttempt(Attempt &attempt, AttemptResult end)
{
    if (attempt.isForwarded()) {
        finishForwarding(attempt, end);
        return;
    }
    const Instant now = std::chrono::steady_clock::now();
    const ServerId &server = attempt.placement.server;
    AttemptOutcome verdict = AttemptOutcome::Served;
    switch (end) {
    case AttemptResult::Delivered:
        break;
    case AttemptResult::ResponseReceived:
        verdict = attempt.responseFacts.statement.pause.has_value() ? AttemptOutcome::Rejected
            : response_->result_int() >= 500                        ? AttemptOutcome::Failed
                                                                    : AttemptOutcome::Served;
        break;
    case AttemptResult::Rejected:
        verdict = attempt.responseFacts.wrongServer ? AttemptOutcome::Unreachable
                                                    : AttemptOutcome::Rejected;
        ++rejected_;
        returns_ -= attempt.isReturn ? 1 : 0;
        break;
    case AttemptResult::NoResponse:
    case AttemptResult::StreamBroken:
        verdict = attempt.replaced     ? AttemptOutcome::Silent
            : attempt.memoryFull       ? AttemptOutcome::Abandoned
            : attempt.connectionReused ? AttemptOutcome::Failed
                                       : AttemptOutcome::Unreachable;
        break;
    case AttemptResult::NotSent:
    case AttemptResult::TimedOut:
    case AttemptResult::CallerDisconnected:
    case AttemptResult::Silent:
    case AttemptResult::Superseded:
        verdict = AttemptOutcome::Abandoned;
        break;
    }
    if (attempt.sent) {
        recordOutcome(end);
        noteCrashEvidence(attempt, end);
        noteAnswer(attempt, end, now);
        state_.pool.noteEnd(server, verdict, attempt.firstByteReceived ? 0 : attempt.uncachedTokens,
                            now);
    } else {
        state_.pool.noteNotSent(server);
        if (end == AttemptResult::NotSent && !attempt.memoryFull) {
            state_.pool.noteUnreachable(server, now);
        }
    }
    const bool otherWeights = end == AttemptResult::Rejected && !attempt.responseFacts.wrongServer
        && attempt.responseFacts.weights.has_value()
        && attempt.responseFacts.weights != attempt.placement.weights;
    if (!otherWeights) {
        triedServers_.push_back(server);
        if (attempt.sent) {
            sentServers_.push_back(server);
        }
    }
    const ListedServer *listed = state_.pool.listed(server);
    const bool sameStart = listed != nullptr && listed->bootedAt == attempt.placement.bootedAt
        && listed->address == attempt.placement.address;
    noteConnectionLost(attempt, end, sameStart);
    // The deadline may have closed the connection while the completed read was queued.
    const bool open = attempt.connection != nullptr && attempt.connection->socket.is_open();
    // A server may respond twice, and a second send of this request has the same id.
    if (open && attempt.reusable && sameStart && !otherWeights
        && attempt.connection->buffer.size() == 0) {
        const Duration keep = attempt.responseFacts.keepAlive.value_or(DefaultKeepAlive);
        attempt.connection->usableUntil = now + keep - std::min(keep / 2, KeepAliveMargin);
        state_.connections.addIdle(server, std::move(attempt.connection));
    } else if (attempt.connectionReused && !attempt.sent && sameStart) {
        state_.connections.addIdle(server, std::move(attempt.connection));
    } else {
        attempt.abort();
    }
}

asio::awaitable<bool> Exchange::writeToCaller(std::string_view bytes)
{
    co_await asio::async_write(caller_, asio::buffer(bytes.data(), bytes.size()),
                               asio::redirect_error(asio::use_awaitable, writeError_));
    co_return !writeError_ && !callerDisconnected_;
}

} // namespace jacinthroad
