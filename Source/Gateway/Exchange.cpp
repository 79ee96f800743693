#include "Gateway/Exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Core/Refusal.h"
#include "Gateway/BootClock.h"
#include "Gateway/SocketOptions.h"
#include "platform/CallerWire.h"

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
/// Servers that are tried without the request being sent, and that may reject it.
constexpr unsigned MostUnsent = 3;
constexpr unsigned MostRejected = 2;
/// Longest answer that is held as a whole.
constexpr std::uint64_t MostAnswerBytes = 16 * 1024 * 1024;
constexpr std::uint32_t MostHeaderBytes = 64 * 1024;
/// Share of the caller's remaining time that it may be told to wait.
constexpr int RetryAfterPart = 3;
/// Least time left for which sending is worth while.
constexpr Duration LeastUsefulTime = milliseconds(5);
/// Period of the check whether a server that runs a repeatable request has fallen silent.
constexpr Duration SilenceCheck = milliseconds(100);
/// Silence on one connection after which a repeatable request goes elsewhere, beside the time for
/// its unread tokens: half of the shortest time after which callers give a stream up.
constexpr Duration AttemptSilence = milliseconds(1000);
constexpr double SilenceMsPerToken = 0.05;
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;

bool isEventStream(const http::response_header<> &header)
{
    return boost::beast::iequals(header[http::field::content_type].substr(0, 17),
                                 "text/event-stream");
}

std::string_view endName(int end)
{
    constexpr std::array<std::string_view, 8> Names { "delivered", "answered",   "not_sent",
                                                      "rejected",  "lost",       "broken",
                                                      "timed_out", "caller_left" };
    return Names[static_cast<std::size_t>(end)];
}

} // namespace

struct Exchange::Attempt
{
    explicit Attempt(asio::io_context &context)
        : timer(context)
        , watch(context)
    { }

    Placement placement;
    std::unique_ptr<ServerConnection> connection;
    asio::steady_timer timer;
    asio::steady_timer watch;
    HttpRequest message;
    std::unique_ptr<http::response_parser<http::empty_body>> header;
    platform::AnswerFacts facts;
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
            error_code ignored;
            connection->socket.close(ignored);
        }
    }
};

Exchange::Exchange(TrafficState &state, asio::ip::tcp::socket &caller, HttpRequest request,
                   Instant received)
    : state_(state)
    , caller_(caller)
    , request_(std::move(request))
    , received_(received)
    , deadline_(received)
    , routes_(state.routes)
{ }

void Exchange::callerLeft()
{
    callerGone_ = true;
    if (cancelAttempt_) {
        cancelAttempt_();
    }
}

Duration Exchange::timeLeft(Instant now) const
{
    return deadline_ - now;
}

std::optional<ErrorKind> Exchange::admit()
{
    const auto facts = platform::readCallerRequest(request_.base());
    if (!facts.has_value()) {
        return facts.error().kind;
    }
    facts_ = *facts;
    if (!state_.takesRequests(received_)) {
        return ErrorKind::Draining;
    }
    const Trust trust = state_.freshness.trust(bootNow());
    if (routes_ == nullptr) {
        return ErrorKind::NotReady;
    }
    route_ = routes_->route(facts_.host, facts_.path);
    if (route_ == nullptr) {
        return trust == Trust::Current ? ErrorKind::NotFound : ErrorKind::NotReady;
    }
    const Duration patience = facts_.patience.value_or(route_->timeout);
    deadline_ = received_ + std::min(patience, route_->timeout);
    if (!facts_.key.empty()) {
        team_ = routes_->team(facts_.key);
    }
    if (routes_->hasTeams() && !route_->anonymous) {
        if (trust == Trust::Expired) {
            return ErrorKind::NotReady;
        }
        if (team_ == nullptr) {
            return trust == Trust::Current ? ErrorKind::Unauthorized : ErrorKind::NotReady;
        }
    }
    return std::nullopt;
}

void Exchange::prepareParts()
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : facts_.parts) {
        tokens += part.tokens;
    }
    placing_.model = facts_.model;
    // The last part is the request's own.
    placing_.parts
        = std::span(facts_.parts).first(facts_.parts.empty() ? 0 : facts_.parts.size() - 1);
    if (team_ != nullptr && team_->isolated) {
        placing_.wall = team_->name.text();
    }
    placing_.promptTokens = std::max(tokens, facts_.promptTokens);
}

asio::awaitable<ExchangeEnd> Exchange::run()
{
    ++state_.activeRequests;
    const std::optional<ErrorKind> refusal = admit();
    ExchangeEnd end;
    if (refusal.has_value()) {
        end = co_await refuse(*refusal, milliseconds(errorAnswer(*refusal).retryAfterMs));
    } else {
        prepareParts();
        const ServiceId *service = RouteTable::target(*route_, hash64(facts_.id.text()));
        if (service == nullptr) {
            end = co_await refuse(ErrorKind::NoBackendServer, milliseconds(500));
        } else {
            placing_.service = *service;
            state_.repeats.noteRequest(*service, std::chrono::steady_clock::now());
            end = co_await attempts();
        }
    }
    --state_.activeRequests;
    logEnd(end);
    co_return end;
}

asio::awaitable<ExchangeEnd> Exchange::attempts()
{
    for (;;) {
        const Instant now = std::chrono::steady_clock::now();
        if (callerGone_) {
            co_return ExchangeEnd { .outcome = "caller_left", .callerUsable = false };
        }
        if (timeLeft(now) < LeastUsefulTime) {
            co_return co_await refuse(record_.verdict() == NotRun::True
                                          ? ErrorKind::DeadlineUnreachable
                                          : ErrorKind::TimedOut,
                                      Duration::zero());
        }
        placing_.tried = tried_;
        const auto chosen = state_.pool.choose(placing_, now);
        if (const auto *none = std::get_if<NoPlacement>(&chosen)) {
            if (answer_.has_value()) {
                co_return co_await deliver();
            }
            co_return co_await refuse(record_.verdict() == NotRun::True ? ErrorKind::NoBackendServer
                                                                        : ErrorKind::BackendFailed,
                                      none->retryAfter);
        }
        const AttemptEnd end = co_await attempt(std::get<Placement>(chosen));
        state_.metrics.countAttempt(std::string(endName(static_cast<int>(end))));
        if (end == AttemptEnd::Delivered) {
            co_return ExchangeEnd { .outcome = "streamed",
                                    .status = 200,
                                    .callerUsable = request_.keep_alive() && !state_.draining,
                                    .answerWhole = true };
        }
        if (end == AttemptEnd::CallerLeft || callerGone_) {
            co_return ExchangeEnd { .outcome = "caller_left", .callerUsable = false };
        }
        if (mayTryAgain(end, std::chrono::steady_clock::now())) {
            continue;
        }
        if (answer_.has_value()) {
            co_return co_await deliver();
        }
        if (headerDelivered_) {
            co_return ExchangeEnd { .outcome
                                    = end == AttemptEnd::TimedOut ? "cut_at_timeout" : "broken",
                                    .status = 200,
                                    .callerUsable = false };
        }
        if (record_.verdict() == NotRun::True) {
            co_return co_await refuse(ErrorKind::NoBackendServer, milliseconds(200));
        }
        co_return co_await refuse(end == AttemptEnd::TimedOut ? ErrorKind::TimedOut
                                                              : ErrorKind::BackendFailed,
                                  Duration::zero());
    }
}

bool Exchange::mayTryAgain(AttemptEnd end, Instant now)
{
    if (timeLeft(now) < LeastUsefulTime) {
        return false;
    }
    const unsigned runs = sends_ - rejected_;
    switch (end) {
    case AttemptEnd::NotSent:
        return tried_.size() < MostUnsent + runs + rejected_;
    case AttemptEnd::Rejected:
        return rejected_ <= MostRejected && state_.repeats.spend(placing_.service, now);
    case AttemptEnd::Answered:
        return answer_->result_int() >= 500 && route_->kind == RouteKind::Safe
            && runs < route_->maximumAttempts && state_.repeats.spend(placing_.service, now);
    case AttemptEnd::Lost:
    case AttemptEnd::Broken:
        return route_->repeatable() && runs < route_->maximumAttempts
            && state_.repeats.spend(placing_.service, now);
    default:
        return false;
    }
}

platform::ForwardFacts Exchange::forwardFacts(const Placement &placement, Instant now) const
{
    platform::ForwardFacts facts { .server = placement.server,
                                   .team = team_ != nullptr ? team_->name : TeamId(),
                                   .timeLeft = timeLeft(now),
                                   .weights = placement.weights };
    if (!facts_.model.empty()) {
        facts.cacheSalt = cacheSalt(placement.weights.value_or(0), placing_.wall);
        const int priority
            = team_ != nullptr ? team_->priority.value_or(route_->priority) : route_->priority;
        facts.urgency = std::clamp(priority, MostUrgent, LeastUrgent);
    }
    facts.fetchFrom = placement.fetchFrom;
    facts.saveTo = placement.saveTo;
    facts.resumeAfter = events_.lastId().empty() ? facts_.resumeAfter : events_.lastId();
    return facts;
}

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
        const bool gone = state_.pool.silent(attempt->placement.server, now)
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
        = std::max(attempt.placement.heldTokens, attempt.placement.fetchedTokens);
    state_.pool.noteSent(attempt.placement.server, placing_, found, now);
    state_.tellPeersSoon();
    attempt.unreadTokens = placing_.promptTokens - std::min(placing_.promptTokens, found);
    attempt.sent = true;
    attempt.heardAt = now;
    ++sends_;
    ++attempt.connection->uses;
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
        state_.pool.noteHeard(attempt.placement.server, std::chrono::steady_clock::now());
        attempt.facts = platform::readAnswer(parser->get().base(), attempt.placement.server);
        const bool ours = attempt.facts.request.empty() || attempt.facts.request == facts_.id;
        const bool interim = parser->get().result_int() < 200;
        if (ours && !interim) {
            if (attempt.facts.load.has_value()) {
                const platform::LoadReport &load = *attempt.facts.load;
                state_.pool.noteLoad(
                    attempt.placement.server,
                    { .running = load.running, .waiting = load.waiting, .pace = load.pace },
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
    if (attempt.facts.notRun || attempt.facts.otherServer) {
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
    const bool chunked = request_.version() >= 11;
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
            state_.pool.noteHeard(attempt.placement.server, attempt.heardAt);
        }
        const std::size_t size = piece.size() - parser.get().body().size;
        std::string whole = events_.take({ piece.data(), size });
        if (parser.is_done() && !error) {
            whole.append(events_.part());
        }
        if (!whole.empty()) {
            std::string bytes;
            const Instant arrived = std::chrono::steady_clock::now();
            if (headerDelivered_) {
                longestGap_ = std::max(longestGap_, arrived - lastEventAt_);
            }
            lastEventAt_ = arrived;
            if (!headerDelivered_) {
                http::response<http::empty_body> head { header };
                head.chunked(chunked);
                head.keep_alive(chunked && request_.keep_alive() && !state_.draining);
                headerDelivered_ = true;
                firstByteAt_ = std::chrono::steady_clock::now();
                attempt.firstByte = true;
                state_.pool.noteFirstByte(attempt.placement.server, placing_,
                                          attempt.placement.weights, attempt.unreadTokens);
                state_.tellPeersSoon();
                state_.metrics.observeFirstByte(firstByteAt_ - received_);
                std::ostringstream text;
                text << head.base();
                bytes = text.str();
            }
            if (chunked) {
                std::array<char, 24> size16 {};
                std::snprintf(size16.data(), size16.size(), "%zx\r\n", whole.size());
                bytes.append(size16.data()).append(whole).append("\r\n");
            } else {
                bytes.append(whole);
            }
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
    if (!headerDelivered_) {
        // A stream without any event is passed on as it is.
        answer_.emplace(parser.get().base());
        attempt.reusable = parser.keep_alive() && attempt.written;
        co_return AttemptEnd::Answered;
    }
    attempt.reusable = parser.keep_alive() && attempt.written;
    if (chunked) {
        const bool written = co_await writeToCaller("0\r\n\r\n");
        if (!written) {
            callerGone_ = true;
            co_return AttemptEnd::CallerLeft;
        }
    }
    co_return AttemptEnd::Delivered;
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
    AttemptVerdict verdict = AttemptVerdict::Served;
    switch (end) {
    case AttemptEnd::Delivered:
        break;
    case AttemptEnd::Answered:
        verdict = answer_->result_int() >= 500 ? AttemptVerdict::Failed : AttemptVerdict::Served;
        break;
    case AttemptEnd::Rejected:
        verdict
            = attempt.facts.otherServer ? AttemptVerdict::Unreachable : AttemptVerdict::Rejected;
        ++rejected_;
        break;
    case AttemptEnd::NotSent:
        verdict = AttemptVerdict::Unreachable;
        break;
    case AttemptEnd::Lost:
    case AttemptEnd::Broken:
        verdict = attempt.reused ? AttemptVerdict::Failed : AttemptVerdict::Unreachable;
        break;
    case AttemptEnd::TimedOut:
    case AttemptEnd::CallerLeft:
        verdict = AttemptVerdict::Abandoned;
        break;
    }
    if (attempt.sent) {
        noteRun(end);
    } else {
        // noteEnd() takes one request off; an attempt that was not sent was never added.
        state_.pool.noteSent(server, { .service = placing_.service }, 0, now);
    }
    state_.pool.noteEnd(server, verdict, attempt.firstByte ? 0 : attempt.unreadTokens, now);
    const bool otherWeights = end == AttemptEnd::Rejected && !attempt.facts.otherServer
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

asio::awaitable<ExchangeEnd> Exchange::deliver()
{
    HttpAnswer answer { platform::callerHeader(answer_->base()) };
    answer.body() = std::move(answer_->body());
    const bool keep = request_.keep_alive() && !state_.draining;
    answer.keep_alive(keep);
    answer.content_length(answer.body().size());
    firstByteAt_ = std::chrono::steady_clock::now();
    state_.metrics.observeFirstByte(firstByteAt_ - received_);
    error_code error;
    co_await http::async_write(caller_, answer, asio::redirect_error(asio::use_awaitable, error));
    co_return ExchangeEnd { .outcome = "answered",
                            .status = static_cast<int>(answer.result_int()),
                            .callerUsable = keep && !error,
                            .answerWhole = !error };
}

asio::awaitable<ExchangeEnd> Exchange::refuse(ErrorKind kind, Duration retryAfter)
{
    const ErrorAnswer &table = errorAnswer(kind);
    HttpAnswer answer;
    answer.result(static_cast<unsigned>(table.status));
    answer.version(11);
    answer.set(http::field::content_type, "application/json");
    if (!facts_.id.empty()) {
        platform::setRequestId(answer.base(), facts_.id);
    }
    const Duration left = timeLeft(std::chrono::steady_clock::now());
    if (left > Duration::zero()) {
        retryAfter = std::min(retryAfter, left / RetryAfterPart);
    }
    if (record_.verdict() == NotRun::True && retryAfter > Duration::zero()) {
        platform::setRetryAfter(answer.base(), retryAfter);
    }
    answer.body() = refusalJson(
        { .kind = kind,
          .requestId = facts_.id.text(),
          .notRun = record_.verdict(),
          .retryAfterMs = std::chrono::duration_cast<milliseconds>(retryAfter).count() });
    const bool keep = request_.keep_alive() && !state_.draining;
    answer.keep_alive(keep);
    answer.prepare_payload();
    error_code error;
    co_await http::async_write(caller_, answer, asio::redirect_error(asio::use_awaitable, error));
    co_return ExchangeEnd { .outcome = std::string(table.name),
                            .status = table.status,
                            .callerUsable = keep && !error,
                            .answerWhole = !error };
}

void Exchange::logEnd(const ExchangeEnd &end) const
{
    const Instant now = std::chrono::steady_clock::now();
    state_.metrics.countRequest(end.outcome);
    const std::optional<Duration> age = state_.freshness.age(bootNow());
    const std::string sharedPart
        = placing_.parts.empty() ? std::string() : hexadecimal(placing_.parts.back().id);
    logLine(
        LogLevel::Info, "request",
        { { "request_id", facts_.id.text() },
          { "route", route_ != nullptr ? std::string_view(route_->name) : std::string_view() },
          { "service", placing_.service.text() },
          { "server", tried_.empty() ? std::string_view() : tried_.back().text() },
          { "candidates", std::int64_t { placement_.candidates } },
          { "predicted_ms", placement_.cost },
          { "prompt_tokens", std::int64_t { placing_.promptTokens } },
          { "shared_part", sharedPart },
          { "team", team_ != nullptr ? std::string_view(team_->name.text()) : std::string_view() },
          { "fetched_from", placement_.fetchFrom },
          { "held_tokens", std::int64_t { placement_.heldTokens } },
          { "fetched_tokens", std::int64_t { placement_.fetchedTokens } },
          { "weights", std::int64_t { placement_.weights.value_or(0) } },
          { "sends", std::int64_t { sends_ } },
          { "rejected", std::int64_t { rejected_ } },
          { "configuration",
            routes_ != nullptr ? static_cast<std::int64_t>(routes_->version()) : 0 },
          { "configuration_age_ms", age.has_value() ? toMilliseconds(*age) : -1.0 },
          { "outcome", end.outcome },
          { "status", std::int64_t { end.status } },
          { "first_byte_ms",
            firstByteAt_ == Instant() ? -1.0 : toMilliseconds(firstByteAt_ - received_) },
          { "longest_gap_ms", toMilliseconds(longestGap_) },
          { "total_ms", toMilliseconds(now - received_) } });
}

} // namespace jacinthroad
