#include "Gateway/ExchangeAttempt.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// A backend server in the same region accepts a connection within a few milliseconds; longer
/// means that it is cut off or its VM is gone.
constexpr Duration ConnectTimeout = milliseconds(400);
/// Silence after which TCP gives a backend server's connection up: above the longest pause of a
/// connection that loses single packets.
constexpr Duration ServerSilence = milliseconds(2500);
/// How long an idle connection is kept where the server names no time.
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
/// Time that a request may need on its way to a server that is about to close.
constexpr Duration KeepAliveMargin = milliseconds(500);
/// Answers to other requests that are skipped on one connection before it is given up.
constexpr unsigned MostForeignAnswers = 2;
/// Longest answer that is held as a whole.
constexpr std::uint64_t MostAnswerBytes = 16 * 1024 * 1024;
constexpr std::uint32_t MostHeaderBytes = 64 * 1024;
/// Period of the check whether a server that runs a repeatable request has fallen silent.
constexpr Duration SilenceCheck = milliseconds(100);
/// Silence on one connection after which a repeatable request goes elsewhere, beside the time for
/// its unread tokens: half of the shortest time after which callers give a stream up.
constexpr Duration AttemptSilence = milliseconds(1000);
constexpr double SilenceMsPerToken = 0.05;

bool isEventStream(const http::response_header<> &header)
{
    return boost::beast::iequals(header[http::field::content_type].substr(0, 17),
                                 "text/event-stream");
}

} // namespace

asio::awaitable<Exchange::AttemptEnd> Exchange::attempt(const Placement &placement)
{
    auto attempt = std::make_shared<Attempt>(state_.context);
    attempt->placement = placement;
    placement_ = placement;
    cancelAttempt_ = [attempt] { attempt->abort(); };
    AttemptEnd end = AttemptEnd::NotSent;
    const bool connected = co_await connect(attempt);
    if (connected) {
        abortAt(attempt, deadline_);
        send(attempt);
        if (route_->repeatable()) {
            watchSilence(attempt);
        }
        end = co_await converse(*attempt);
    } else if (callerGone_) {
        end = AttemptEnd::CallerLeft;
    }
    cancelAttempt_ = nullptr;
    attempt->ended = true;
    attempt->timer.cancel();
    attempt->watch.cancel();
    settle(*attempt, end);
    co_return end;
}

void Exchange::abortAt(const std::shared_ptr<Attempt> &attempt, Instant moment)
{
    attempt->timer.expires_at(moment);
    attempt->timer.async_wait([attempt](error_code error) {
        if (!error) {
            attempt->timedOut = true;
            attempt->abort();
        }
    });
}

void Exchange::watchSilence(const std::shared_ptr<Attempt> &attempt)
{
    attempt->watch.expires_after(SilenceCheck);
    attempt->watch.async_wait([this, attempt](error_code error) {
        // The exchange lives at least until the attempt has ended.
        if (error || attempt->ended) {
            return;
        }
        const Instant now = std::chrono::steady_clock::now();
        const Duration explained
            = fromMilliseconds(attempt->firstByte ? 0 : attempt->unreadTokens * SilenceMsPerToken);
        const bool gone = state_.pool.unresponsive(attempt->placement.server, now)
            || now - attempt->heardAt > AttemptSilence + explained;
        if (gone && sends_ - rejected_ < route_->maximumAttempts) {
            attempt->abort();
            return;
        }
        watchSilence(attempt);
    });
}

asio::awaitable<bool> Exchange::connect(std::shared_ptr<Attempt> attempt)
{
    const Instant now = std::chrono::steady_clock::now();
    attempt->connection = state_.connections.take(attempt->placement.server, now);
    if (attempt->connection != nullptr) {
        attempt->reused = true;
        co_return true;
    }
    const auto endpoint = parseEndpoint(attempt->placement.address);
    if (!endpoint.has_value()) {
        co_return false;
    }
    state_.metrics.countConnect();
    attempt->connection = std::make_unique<ServerConnection>(state_.context.get_executor());
    asio::ip::tcp::socket &socket = attempt->connection->socket;
    abortAt(attempt, now + std::min(ConnectTimeout, timeLeft(now)));
    error_code error;
    co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error || attempt->timedOut || callerGone_) {
        co_return false;
    }
    watchForSilence(socket, ServerSilence);
    co_return true;
}

void Exchange::send(const std::shared_ptr<Attempt> &shared)
{
    Attempt &attempt = *shared;
    const Instant now = std::chrono::steady_clock::now();
    attempt.message.base()
        = platform::forwardHeader(request_.base(), forwardFacts(attempt.placement, now));
    attempt.message.body() = request_.body();
    if (!request_.body().empty() || request_.has_content_length() || request_.chunked()) {
        attempt.message.content_length(request_.body().size());
    }
    const std::uint32_t found
        = std::max(attempt.placement.cachedPromptTokens, attempt.placement.tokensAfterFetch);
    state_.pool.noteSent(attempt.placement.server, placing_, found, now);
    state_.tellPeersSoon();
    attempt.unreadTokens = placing_.promptTokens - std::min(placing_.promptTokens, found);
    attempt.sent = true;
    attempt.heardAt = now;
    ++sends_;
    record_.noteStarted();
    // The answer may come before the request is written, so both go on side by side.
    http::async_write(attempt.connection->socket, attempt.message,
                      [shared](error_code error, std::size_t) { shared->written = !error; });
}

Exchange::AttemptEnd Exchange::failure(const Attempt &attempt) const
{
    if (callerGone_) {
        return AttemptEnd::CallerLeft;
    }
    if (attempt.timedOut) {
        return AttemptEnd::TimedOut;
    }
    return headerDelivered_ ? AttemptEnd::Broken : AttemptEnd::Lost;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::converse(Attempt &attempt)
{
    ServerConnection &connection = *attempt.connection;
    for (unsigned foreign = 0; foreign <= MostForeignAnswers; ++foreign) {
        auto parser = std::make_unique<http::response_parser<http::empty_body>>();
        parser->header_limit(MostHeaderBytes);
        parser->body_limit(MostAnswerBytes);
        parser->skip(request_.method() == http::verb::head);
        error_code error;
        co_await http::async_read_header(connection.socket, connection.buffer, *parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error || callerGone_) {
            co_return failure(attempt);
        }
        state_.pool.noteReceived(attempt.placement.server, std::chrono::steady_clock::now());
        attempt.facts = platform::readResponseInfo(parser->get().base(), attempt.placement.server);
        const bool ours = attempt.facts.request.empty() || attempt.facts.request == facts_.id;
        const bool interim = parser->get().result_int() < 200;
        if (ours && !interim) {
            if (attempt.facts.load.has_value()) {
                const platform::LoadReport &load = *attempt.facts.load;
                state_.pool.noteLoad(attempt.placement.server,
                                     { .running = load.running,
                                       .waiting = load.waiting,
                                       .slowdown = load.slowdownFactor },
                                     std::chrono::steady_clock::now());
            }
            if (attempt.facts.weights.has_value()) {
                state_.pool.noteWeights(attempt.placement.server, facts_.model,
                                        *attempt.facts.weights);
            }
            const bool streamed = route_->kind == RouteKind::Streaming
                && parser->get().result_int() == 200 && isEventStream(parser->get().base());
            attempt.header = std::move(parser);
            // Separate statements: g++ 12 miscompiles co_await inside a conditional operator.
            if (streamed) {
                co_return co_await relay(attempt);
            }
            co_return co_await readWhole(attempt);
        }
        http::response_parser<http::string_body> rest { std::move(*parser) };
        co_await http::async_read(connection.socket, connection.buffer, rest,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return failure(attempt);
        }
    }
    co_return failure(attempt);
}

asio::awaitable<Exchange::AttemptEnd> Exchange::readWhole(Attempt &attempt)
{
    ServerConnection &connection = *attempt.connection;
    http::response_parser<http::string_body> parser { std::move(*attempt.header) };
    error_code error;
    if (!parser.is_done()) {
        co_await http::async_read(connection.socket, connection.buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || callerGone_) {
        co_return failure(attempt);
    }
    attempt.firstByte = true;
    attempt.reusable = parser.keep_alive() && attempt.written;
    if (attempt.facts.notRun || attempt.facts.wrongServer) {
        co_return AttemptEnd::Rejected;
    }
    answer_ = parser.release();
    co_return AttemptEnd::Answered;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::relay(Attempt &attempt)
{
    ServerConnection &connection = *attempt.connection;
    http::response_parser<http::buffer_body> parser { std::move(*attempt.header) };
    const http::response_header<> header = platform::callerHeader(parser.get().base());
    constexpr std::size_t PieceBytes = 16384;
    std::array<char, PieceBytes> piece;
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        parser.get().body().more = true;
        error_code error;
        co_await http::async_read_some(connection.socket, connection.buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (!error) {
            attempt.heardAt = std::chrono::steady_clock::now();
            state_.pool.noteReceived(attempt.placement.server, attempt.heardAt);
        }
        const std::size_t size = piece.size() - parser.get().body().size;
        std::string whole = events_.take({ piece.data(), size });
        if (parser.is_done() && !error) {
            whole.append(events_.part());
        }
        if (!whole.empty()) {
            const std::string bytes = framed(attempt, header, whole);
            const bool written = co_await writeToCaller(bytes);
            if (!written) {
                callerGone_ = true;
                attempt.abort();
                co_return AttemptEnd::CallerLeft;
            }
        }
        if (error || callerGone_) {
            co_return failure(attempt);
        }
    }
    attempt.reusable = parser.keep_alive() && attempt.written;
    if (!headerDelivered_) {
        // A stream without any event is passed on as it is.
        answer_.emplace(parser.get().base());
        co_return AttemptEnd::Answered;
    }
    if (chunked()) {
        const bool written = co_await writeToCaller("0\r\n\r\n");
        if (!written) {
            callerGone_ = true;
            co_return AttemptEnd::CallerLeft;
        }
    }
    co_return AttemptEnd::Delivered;
}

std::string Exchange::framed(Attempt &attempt, const http::response_header<> &header,
                             std::string_view events)
{
    std::string bytes;
    const Instant arrived = std::chrono::steady_clock::now();
    if (headerDelivered_) {
        longestGap_ = std::max(longestGap_, arrived - lastEventAt_);
    } else {
        http::response<http::empty_body> head { header };
        head.chunked(chunked());
        head.keep_alive(chunked() && request_.keep_alive() && !state_.draining);
        headerDelivered_ = true;
        firstByteAt_ = arrived;
        attempt.firstByte = true;
        state_.pool.noteFirstByte(attempt.placement.server, placing_, attempt.placement.weights,
                                  attempt.unreadTokens);
        state_.tellPeersSoon();
        state_.metrics.observeFirstByte(firstByteAt_ - received_);
        std::ostringstream text;
        text << head.base();
        bytes = text.str();
    }
    lastEventAt_ = arrived;
    if (chunked()) {
        std::array<char, 24> size16 {};
        std::snprintf(size16.data(), size16.size(), "%zx\r\n", events.size());
        bytes.append(size16.data()).append(events).append("\r\n");
    } else {
        bytes.append(events);
    }
    return bytes;
}

void Exchange::noteRun(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Rejected:
        record_.noteNotRun();
        break;
    case AttemptEnd::Delivered:
    case AttemptEnd::Answered:
        record_.noteRan();
        break;
    default:
        record_.noteMayHaveRun();
        break;
    }
}

void Exchange::settle(Attempt &attempt, AttemptEnd end)
{
    const Instant now = std::chrono::steady_clock::now();
    const ServerId &server = attempt.placement.server;
    AttemptOutcome verdict = AttemptOutcome::Served;
    switch (end) {
    case AttemptEnd::Delivered:
        break;
    case AttemptEnd::Answered:
        verdict = answer_->result_int() >= 500 ? AttemptOutcome::Failed : AttemptOutcome::Served;
        break;
    case AttemptEnd::Rejected:
        verdict
            = attempt.facts.wrongServer ? AttemptOutcome::Unreachable : AttemptOutcome::Rejected;
        ++rejected_;
        break;
    case AttemptEnd::Lost:
    case AttemptEnd::Broken:
        verdict = attempt.reused ? AttemptOutcome::Failed : AttemptOutcome::Unreachable;
        break;
    case AttemptEnd::NotSent:
    case AttemptEnd::TimedOut:
    case AttemptEnd::CallerLeft:
        verdict = AttemptOutcome::Abandoned;
        break;
    }
    if (attempt.sent) {
        noteRun(end);
        state_.pool.noteEnd(server, verdict, attempt.firstByte ? 0 : attempt.unreadTokens, now);
    } else if (end == AttemptEnd::NotSent) {
        state_.pool.noteUnreachable(server, now);
    }
    const bool otherWeights = end == AttemptEnd::Rejected && !attempt.facts.wrongServer
        && attempt.facts.weights.has_value() && attempt.facts.weights != attempt.placement.weights;
    if (!otherWeights) {
        tried_.push_back(server);
    }
    if (end == AttemptEnd::Lost || end == AttemptEnd::Broken) {
        events_.restart();
    }
    if (attempt.reusable && attempt.connection->buffer.size() == 0) {
        const Duration keep = attempt.facts.keepAlive.value_or(DefaultKeepAlive);
        attempt.connection->usableUntil = now + keep - std::min(keep / 2, KeepAliveMargin);
        state_.connections.give(server, std::move(attempt.connection));
    } else {
        attempt.abort();
    }
}

asio::awaitable<bool> Exchange::writeToCaller(std::string_view bytes)
{
    error_code error;
    co_await asio::async_write(caller_, asio::buffer(bytes.data(), bytes.size()),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error && !callerGone_;
}

} // namespace jacinthroad
