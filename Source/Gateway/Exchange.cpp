#include "Gateway/Exchange.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Gateway/BootClock.h"
#include "platform/CallerWire.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Servers that are tried without the request being sent, and that may reject it.
constexpr unsigned MostUnsent = 3;
constexpr unsigned MostRejected = 2;
/// Share of the caller's remaining time that it may be told to wait.
constexpr int RetryAfterPart = 3;
/// Least time left for which sending is worth while.
constexpr Duration LeastUsefulTime = milliseconds(5);
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;

std::string_view endName(int end)
{
    constexpr std::array<std::string_view, 8> Names { "delivered", "answered",   "not_sent",
                                                      "rejected",  "lost",       "broken",
                                                      "timed_out", "caller_left" };
    return Names[static_cast<std::size_t>(end)];
}

} // namespace

HttpAnswer refusalAnswer(const Refusal &refusal)
{
    HttpAnswer answer;
    answer.result(static_cast<unsigned>(errorResponse(refusal.kind).status));
    answer.version(11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = refusalJson(refusal);
    return answer;
}

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
        placing_.isolationScope = team_->name.text();
    }
    placing_.promptTokens = std::max(tokens, facts_.promptTokens);
}

asio::awaitable<ExchangeEnd> Exchange::run()
{
    ++state_.activeRequests;
    const std::optional<ErrorKind> refusal = admit();
    ExchangeEnd end;
    if (refusal.has_value()) {
        end = co_await refuse(*refusal, milliseconds(errorResponse(*refusal).retryAfterMs));
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
        const Placement &placement = std::get<Placement>(chosen);
        if (const auto stayAway = queueFull(placement)) {
            placement_ = placement;
            co_return co_await refuse(ErrorKind::Overloaded, *stayAway);
        }
        const AttemptEnd end = co_await attempt(placement);
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

std::optional<Duration> Exchange::queueFull(const Placement &placement) const
{
    // Of a request that may have run, "not run" could not be said.
    if (placing_.model.empty() || record_.verdict() != NotRun::True) {
        return std::nullopt;
    }
    return state_.queueLimit.retryDelay({ .wait = placement.wait,
                                          .prefillTime = placement.prefillTime,
                                          .objective = route_->objective,
                                          .mostUrgent = urgency() == MostUrgent,
                                          .seed = hash64(facts_.id.text()) });
}

int Exchange::urgency() const
{
    const int priority
        = team_ != nullptr ? team_->priority.value_or(route_->priority) : route_->priority;
    return std::clamp(priority, MostUrgent, LeastUrgent);
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

platform::ForwardOptions Exchange::forwardFacts(const Placement &placement, Instant now) const
{
    platform::ForwardOptions facts { .server = placement.server,
                                     .team = team_ != nullptr ? team_->name : TeamId(),
                                     .timeLeft = timeLeft(now),
                                     .weights = placement.weights };
    if (!facts_.model.empty()) {
        facts.cacheSalt = cacheSalt(placement.weights.value_or(0), placing_.isolationScope);
        facts.urgency = urgency();
    }
    facts.fetchFrom = placement.fetchFrom;
    facts.saveTo = placement.saveTo;
    facts.resumeAfter = events_.lastId().empty() ? facts_.resumeAfter : events_.lastId();
    return facts;
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
    const Duration left = timeLeft(std::chrono::steady_clock::now());
    if (left > Duration::zero()) {
        retryAfter = std::min(retryAfter, left / RetryAfterPart);
    }
    HttpAnswer answer = refusalAnswer(
        { .kind = kind,
          .requestId = facts_.id.text(),
          .notRun = record_.verdict(),
          .retryAfterMs = std::chrono::duration_cast<milliseconds>(retryAfter).count() });
    if (!facts_.id.empty()) {
        platform::setRequestId(answer.base(), facts_.id);
    }
    if (record_.verdict() == NotRun::True && retryAfter > Duration::zero()) {
        platform::setRetryAfter(answer.base(), retryAfter);
    }
    const bool keep = request_.keep_alive() && !state_.draining;
    answer.keep_alive(keep);
    answer.prepare_payload();
    error_code error;
    co_await http::async_write(caller_, answer, asio::redirect_error(asio::use_awaitable, error));
    const ErrorResponse &table = errorResponse(kind);
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
          { "wait_ms", toMilliseconds(placement_.wait) },
          { "prompt_tokens", std::int64_t { placing_.promptTokens } },
          { "shared_part", sharedPart },
          { "team", team_ != nullptr ? std::string_view(team_->name.text()) : std::string_view() },
          { "fetched_from", placement_.fetchFrom },
          { "held_tokens", std::int64_t { placement_.cachedPromptTokens } },
          { "fetched_tokens", std::int64_t { placement_.tokensAfterFetch } },
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
