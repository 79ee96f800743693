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
#include "Gateway/ExchangeAttempt.h"
#include "Gateway/SocketOptions.h"
#include "Retry/SilentServerRule.h"
#include "platform/CallerWire.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Maximum number of servers tried without sending the request.
constexpr unsigned MaxUnsentAttempts = 3;
/// Retry-After is at most the caller's remaining time divided by this.
constexpr int RetryAfterDivisor = 3;
/// Retry-After while this node and those that could help it can't reach the servers.
constexpr Duration LostLinksRetryDelay = milliseconds(500);
/// With less time left than this, the request is not sent.
constexpr Duration MinUsefulTime = milliseconds(5);
constexpr int FirstErrorStatus = 400;
/// Outcome of a stream that has begun and whose time limit was reached.
constexpr std::string_view CutAtTimeout = "cut_at_timeout";
/// Remedy of a request whose response found no room in the node's memory.
constexpr std::string_view MemoryFullRemedy
    = "Send the request again if it may be repeated; operators raise memory.total_mb.";
constexpr int HighestPriority = 0;
constexpr int LowestPriority = 9;

/// Returns the HTTP status of a refusal. Callers of the gateway take only 503 and 429 as a
/// statement that the request was not run.
int gatewayStatus(ErrorKind kind, NotRun notRun)
{
    constexpr int ServiceUnavailable = 503;
    constexpr int BadGateway = 502;
    const bool mayHaveRun = kind == ErrorKind::CallerClosed || kind == ErrorKind::BodyMemoryFull;
    if (mayHaveRun && notRun != NotRun::True) {
        return BadGateway;
    }
    return kind == ErrorKind::Quarantined ? ServiceUnavailable : errorResponse(kind).status;
}

std::string_view attemptResultName(int end)
{
    constexpr std::array<std::string_view, 10> Names { "delivered", "answered",    "not_sent",
                                                       "rejected",  "lost",        "broken",
                                                       "timed_out", "caller_left", "silent",
                                                       "superseded" };
    return Names[static_cast<std::size_t>(end)];
}

std::string_view delimiterName(int delimiter)
{
    constexpr std::array<std::string_view, 4> Names { "", "length", "chunks", "close" };
    return Names[static_cast<std::size_t>(delimiter)];
}

/// Sets the length of a response to `method` that a server gave with the header `from`. Where the
/// protocol allows no body, the length is the server's statement about another response.
void setContentLength(GatewayResponse &response, const http::response_header<> &from,
                      http::verb method)
{
    if (response.result() == http::status::no_content) {
        return;
    }
    if (method != http::verb::head && response.result() != http::status::not_modified) {
        response.content_length(response.body().size());
    } else if (from.count(http::field::content_length) > 0) {
        response.set(http::field::content_length, from[http::field::content_length]);
    }
}

} // namespace

GatewayResponse gatewayRefusalResponse(const Refusal &refusal)
{
    GatewayResponse response;
    response.result(static_cast<unsigned>(gatewayStatus(refusal.kind, refusal.notRun)));
    response.version(11);
    response.set(http::field::content_type, "application/json");
    response.body() = refusalJson(refusal);
    return response;
}

Exchange::Exchange(TrafficState &state, asio::ip::tcp::socket &caller, HttpRequest request,
                   HeldBody body, Instant received, RequestSource source)
    : state_(state)
    , caller_(caller)
    , request_(std::move(request))
    , body_(std::make_shared<const HeldBody>(std::move(body)))
    , received_(received)
    , deadline_(received)
    , source_(source)
    , routes_(state.routes)
{ }

Exchange::~Exchange()
{
    if (silentAttempt_ != nullptr) {
        silentAttempt_->waiting = false;
        const AttemptCleanup cleanup { *silentAttempt_ };
    }
}

void Exchange::callerDisconnected(const error_code &reason)
{
    callerDisconnected_ = true;
    callerError_ = reason;
    if (cancelAttempt_) {
        cancelAttempt_();
    }
}

void Exchange::answerBeforeStop()
{
    if (headerDelivered_) {
        return;
    }
    endedByStop_ = true;
    deadline_ = std::min(deadline_, std::chrono::steady_clock::now());
    if (cancelAttempt_) {
        cancelAttempt_();
    }
}

Duration Exchange::timeLeft(Instant now) const
{
    return deadline_ - now;
}

bool Exchange::outOfTime(Instant now) const
{
    return timeLeft(now) < MinUsefulTime;
}

std::optional<ErrorKind> Exchange::admit()
{
    const auto facts = platform::readCallerRequest(request_.base());
    if (!facts.has_value()) {
        return facts.error().kind;
    }
    callerRequest_ = *facts;
    if (source_ == RequestSource::Peer) {
        const auto forwarded = readForwardedRequest(request_.base());
        if (!forwarded.has_value()) {
            return ErrorKind::InvalidRequest;
        }
        forwarded_ = *forwarded;
        triedServers_ = forwarded_.tried;
        if (state_.draining) {
            return ErrorKind::Draining;
        }
        if (state_.links.lost(received_)) {
            return ErrorKind::NoBackendServer;
        }
    }
    removeForwardingFields(request_.base());
    const FreshnessLevel trust = state_.configurationTrust();
    // Keys and routes must not go back to what they were before the other node's configuration.
    if (routes_ == nullptr || routes_->version() < forwarded_.configurationVersion) {
        return ErrorKind::NotReady;
    }
    route_ = routes_->route(callerRequest_.host, callerRequest_.path);
    if (callerRequest_.pathReserved) {
        return ErrorKind::NotFound;
    }
    if (route_ == nullptr) {
        return trust == FreshnessLevel::Current ? ErrorKind::NotFound : ErrorKind::NotReady;
    }
    const Duration requestedTimeout = callerRequest_.callerTimeout.value_or(route_->timeout);
    const Duration timeout = std::min(requestedTimeout, route_->timeout);
    const auto limit = state_.serviceLimit(*route_, timeout, received_);
    if (!limit.has_value()) {
        return ErrorKind::Draining;
    }
    limitedByStop_ = *limit < timeout;
    deadline_ = received_ + *limit;
    if (!callerRequest_.key.empty()) {
        team_ = routes_->team(callerRequest_.key);
    }
    const bool keyRequired = routes_->keysRequired() && !route_->anonymous;
    // A key may have been revoked since; no request is sent in the name of its former team.
    if ((keyRequired || team_ != nullptr) && trust == FreshnessLevel::Expired) {
        return ErrorKind::NotReady;
    }
    if (keyRequired && team_ == nullptr) {
        return trust == FreshnessLevel::Current ? ErrorKind::Unauthorized : ErrorKind::NotReady;
    }
    return std::nullopt;
}

void Exchange::preparePlacement()
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : callerRequest_.parts) {
        tokens += part.tokens;
    }
    placementRequest_.model = callerRequest_.model;
    placementRequest_.route = route_->name;
    // The last part is specific to this request and is not shared.
    placementRequest_.parts
        = std::span(callerRequest_.parts)
              .first(callerRequest_.parts.empty() ? 0 : callerRequest_.parts.size() - 1);
    placementRequest_.seed = hash64(callerRequest_.id.text());
    placementRequest_.promptTokens = std::max(tokens, callerRequest_.promptTokens);
}

void Exchange::updateCacheScope()
{
    cacheScope_ = state_.routes->cacheScope(team_ != nullptr ? team_->name : TeamId());
    placementRequest_.cacheScope = cacheScope_;
}

asio::awaitable<ExchangeResult> Exchange::run()
{
    const std::optional<ErrorKind> refusal = admit();
    ExchangeResult end;
    if (refusal.has_value()) {
        end = co_await sendRefusal(*refusal, milliseconds(errorResponse(*refusal).retryAfterMs));
    } else {
        preparePlacement();
        // A route that is split leads a stream to the service that began it.
        const ServiceId *service = RouteTable::target(*route_, hash64(originId()));
        if (service == nullptr) {
            end = co_await sendRefusal(ErrorKind::NoBackendServer, milliseconds(500));
        } else {
            placementRequest_.service = *service;
            if (source_ == RequestSource::Peer && state_.paths.unreachable(*service, received_)) {
                end = co_await sendRefusal(ErrorKind::NoBackendServer, LostLinksRetryDelay);
                logResult(end);
                co_return end;
            }
            if (source_ == RequestSource::Caller) {
                state_.retryBudget.noteRequest(*service, std::chrono::steady_clock::now());
            }
            const bool originFound = co_await findOrigin();
            if (originFound) {
                end = co_await runAttempts();
                dropSilentAttempt();
                giveBackRetries();
            } else {
                end = co_await sendRefusal(
                    ErrorKind::StreamOriginUnknown,
                    milliseconds(errorResponse(ErrorKind::StreamOriginUnknown).retryAfterMs));
            }
        }
    }
    logResult(end);
    co_return end;
}

asio::awaitable<ExchangeResult> Exchange::runAttempts()
{
    bool resumeSilent = false;
    for (;;) {
        const Instant now = std::chrono::steady_clock::now();
        if (callerDisconnected_) {
            co_return co_await callerLeft();
        }
        if (outOfTime(now)) {
            if (headerDelivered_) {
                co_return cutStream(CutAtTimeout);
            }
            co_return co_await sendRefusal(dispatchRecord_.verdict() == NotRun::True
                                               ? ErrorKind::DeadlineUnreachable
                                               : ErrorKind::TimedOut,
                                           Duration::zero());
        }
        returnToSilentServer();
        forgetServerThatLeft();
        const bool onlyReturn = mayOnlyReturn();
        const bool mayForward = !onlyReturn || !returnTo_.empty();
        const CrashAssessment crashes = assessCrashes();
        const std::optional<ForwardPeer> preferred
            = !resumeSilent && mayForward && prefersForwarding(now) ? chooseHelper(now)
                                                                    : std::nullopt;
        const bool blocked = blockedBy(crashes, preferred.has_value());
        resumeSilent = resumeSilent || (blocked && silentAttempt_ != nullptr);
        if (blocked && !resumeSilent) {
            if (headerDelivered_) {
                co_return cutStream("broken");
            }
            if (response_.has_value()) {
                co_return co_await sendResponse();
            }
            if (dispatchRecord_.verdict() == NotRun::True) {
                co_return co_await sendRefusal(ErrorKind::Quarantined, crashes.remaining);
            }
            co_return co_await sendRefusal(failureKind(), Duration::zero());
        }
        placementRequest_.tried = triedServers_;
        placementRequest_.preferred = returnTo_.empty() ? nullptr : &returnTo_;
        placementRequest_.onlyPreferred = onlyReturn;
        updateCacheScope();
        restrictVersions();
        // Neither this node nor another one has reached a server for the request.
        const bool noWayLeft = overdueConnects_ > 0 && unsentForwards_ > 0;
        const auto chosen = noWayLeft ? std::variant<Placement, NoPlacement>(
                                NoPlacement { .retryAfter = LostLinksRetryDelay })
                                      : state_.pool.choose(placementRequest_, now);
        const auto *none = std::get_if<NoPlacement>(&chosen);
        std::optional<ForwardPeer> helper = resumeSilent ? std::nullopt : preferred;
        // Without a statement of a server that forbids it, another node may reach one.
        if (none != nullptr && !helper.has_value() && !resumeSilent && !onlyReturn
            && unsentForwards_ == 0 && none->listed > 0 && none->withheld.allowed()) {
            helper = chooseHelper(now);
        }
        resumeSilent = silentAttempt_ != nullptr
            && (resumeSilent || (none != nullptr && !helper.has_value()));
        if (none != nullptr && !resumeSilent && !helper.has_value()) {
            if (mayFindServerLater(*none)) {
                const bool sendAgain = co_await waitForServers(none->retryAfter);
                if (sendAgain) {
                    continue;
                }
            }
            if (headerDelivered_) {
                co_return cutStream("broken");
            }
            if (response_.has_value()) {
                co_return co_await sendResponse();
            }
            if (hasHelperRefusal()) {
                co_return co_await passOnRefusal();
            }
            withheld_ = none->withheld;
            noteNoServer();
            const ErrorKind refused
                = none->withheld.allowed() ? ErrorKind::NoBackendServer : ErrorKind::Overloaded;
            co_return co_await sendRefusal(
                dispatchRecord_.verdict() == NotRun::True ? refused : failureKind(),
                none->retryAfter);
        }
        AttemptResult end = AttemptResult::NotSent;
        if (std::exchange(resumeSilent, false)) {
            end = co_await resumeSilentAttempt();
        } else if (helper.has_value()) {
            end = co_await forwardTo(*helper);
        } else {
            const Placement &placement = std::get<Placement>(chosen);
            if (const auto queueDelay = queueRefusalDelay(placement)) {
                placement_ = placement;
                co_return co_await sendRefusal(ErrorKind::Overloaded, *queueDelay);
            }
            claimTrial(now);
            end = co_await runAttempt(placement);
        }
        state_.metrics.countAttempt(std::string(attemptResultName(static_cast<int>(end))));
        if (end == AttemptResult::ResponseReceived && headerDelivered_) {
            // Something other than the rest of the stream.
            serverBrokeOff_ = true;
            responseTooLong_ = false;
            memoryFull_ = false;
            response_.reset();
            responseMemory_.reset();
            end = AttemptResult::StreamBroken;
        }
        if (end == AttemptResult::Delivered) {
            co_return ExchangeResult { .outcome = "streamed",
                                       .status = 200,
                                       .connectionReusable = keepAnnounced_,
                                       .responseComplete = true };
        }
        if (writeError_) {
            co_return notDelivered(writeError_);
        }
        if (end == AttemptResult::CallerDisconnected || callerDisconnected_) {
            co_return co_await callerLeft();
        }
        if (assessCrashes().crashes > 0 && !placement_.server.empty()) {
            co_await state_.crashDetector.waitForProbe(placement_.server);
        }
        if (end == AttemptResult::Silent || mayRetry(end, std::chrono::steady_clock::now())) {
            continue;
        }
        if (mayResumeSilentAttempt(end)) {
            resumeSilent = true;
            continue;
        }
        const bool returns = end == AttemptResult::StreamBroken || end == AttemptResult::NoResponse
            ? mayReturn() && assessCrashes().permission == CrashPermission::Unrestricted
            : end == AttemptResult::Rejected || end == AttemptResult::NotSent;
        if (returns) {
            const bool sendAgain = co_await waitForServers(std::nullopt);
            if (sendAgain) {
                continue;
            }
        }
        if (headerDelivered_) {
            co_return cutStream(end == AttemptResult::TimedOut ? CutAtTimeout : "broken");
        }
        if (response_.has_value()) {
            co_return co_await sendResponse();
        }
        if (hasHelperRefusal()) {
            co_return co_await passOnRefusal();
        }
        if (dispatchRecord_.verdict() == NotRun::True) {
            if (end == AttemptResult::TimedOut) {
                co_return co_await sendRefusal(ErrorKind::DeadlineUnreachable, Duration::zero());
            }
            co_return co_await sendRefusal(ErrorKind::NoBackendServer, milliseconds(200));
        }
        co_return co_await sendRefusal(
            end == AttemptResult::TimedOut ? ErrorKind::TimedOut : failureKind(), Duration::zero());
    }
}

bool Exchange::blockedBy(const CrashAssessment &crashes, bool forwards) const
{
    switch (crashes.permission) {
    case CrashPermission::Unrestricted:
        return false;
    case CrashPermission::WithoutRetry:
        return sends_ > rejected_;
    case CrashPermission::AwaitTrial:
        // Of a forwarded request, the helping node makes the trial.
        return sends_ > rejected_ || (!isTrial_ && !forwards);
    case CrashPermission::Denied:
        break;
    }
    return true;
}

ExchangeResult Exchange::cutStream(std::string_view outcome)
{
    return { .outcome = std::string(outcome),
             .status = 200,
             .connectionReusable = false,
             .limitReached = outcome == CutAtTimeout };
}

std::optional<Duration> Exchange::queueRefusalDelay(const Placement &placement) const
{
    // A request that may have run already must not be reported as not run.
    if (placementRequest_.model.empty() || dispatchRecord_.verdict() != NotRun::True
        || forwarded_.repeated) {
        return std::nullopt;
    }
    return state_.queueLimit.retryDelay({ .wait = placement.wait,
                                          .prefillTime = placement.prefillTime,
                                          .objective = route_->objective,
                                          .mostUrgent = enginePriority() == HighestPriority,
                                          .seed = hash64(callerRequest_.id.text()) });
}

int Exchange::enginePriority() const
{
    const int priority
        = team_ != nullptr ? team_->priority.value_or(route_->priority) : route_->priority;
    return std::clamp(priority, HighestPriority, LowestPriority);
}

bool Exchange::mayRetry(AttemptResult end, Instant now)
{
    if (outOfTime(now)) {
        return false;
    }
    // The node that has forwarded the request sends it again, if it may.
    if (source_ == RequestSource::Peer && sends_ > 0) {
        return false;
    }
    switch (end) {
    case AttemptResult::NotSent:
        if (lastForwarded_) {
            // chooseHelper() bounds their number.
            return helperResult_.outcome != ForwardedOutcome::NotSent;
        }
        // The node that has forwarded the request asks another one.
        return failedConnects_ < MaxUnsentAttempts
            && (source_ == RequestSource::Caller || overdueConnects_ == 0);
    case AttemptResult::Rejected:
        // One that has waited to be sent waits again, and one whose silent server was given up
        // waits for that, since others reject.
        return waits_ == 0 && !silentGivenUp_ && rejected_ <= MaxRejections && payForSend(now);
    case AttemptResult::ResponseReceived:
        return response_->result_int() >= 500
            && ((route_->kind == RouteKind::Safe && !attemptsUsed()) || mayReturn())
            && payForSend(now);
    case AttemptResult::NoResponse:
    case AttemptResult::StreamBroken:
        if (retryReserved_.has_value()) {
            keepPaid(std::exchange(retryReserved_, std::nullopt));
            return true;
        }
        return assessCrashes().permission == CrashPermission::Unrestricted && route_->retryable()
            && (!attemptsUsed() || mayReturn()) && payForSend(now);
    default:
        return false;
    }
}

bool Exchange::reserveRetry(const ServerId &current, bool gone, Instant now)
{
    if (source_ == RequestSource::Peer || outOfTime(now) || attemptsUsed()
        || assessCrashes().permission != CrashPermission::Unrestricted) {
        return false;
    }
    std::vector<ServerId> tried = triedServers_;
    tried.push_back(current);
    restrictVersions();
    PlacementRequest request = placementRequest_;
    request.tried = tried;
    const bool possible = (prefersForwarding(now) && chooseHelper(now).has_value())
        || std::holds_alternative<Placement>(state_.pool.choose(request, now));
    SilenceFacts facts { .gone = gone };
    facts.rejectionsSeen = rejected_ > 0 || state_.rejections.high(placementRequest_.service, now);
    if (!possible || (!gone && facts.rejectionsSeen) || !payForSend(now)) {
        return false;
    }
    facts.returnPaid = reserveReturn(now);
    if (mayLeaveSilentServer(facts)) {
        retryReserved_ = std::exchange(nextSendPaid_, std::nullopt);
    }
    return retryReserved_.has_value();
}

platform::ForwardOptions Exchange::forwardFacts(const Placement &placement, Instant now) const
{
    platform::ForwardOptions facts { .server = placement.server,
                                     .team = team_ != nullptr ? team_->name : TeamId(),
                                     .timeLeft = timeLeft(now),
                                     .weights = placement.weights };
    if (!callerRequest_.model.empty()) {
        facts.cacheSalt = cacheSalt(placement.weights.value_or(0), placementRequest_.cacheScope);
        facts.urgency = enginePriority();
    }
    facts.fetchFrom = placement.fetchFrom;
    facts.saveTo = placement.saveTo;
    facts.resumeAfter
        = eventSplitter_.lastId().empty() ? callerRequest_.resumeAfter : eventSplitter_.lastId();
    return facts;
}

bool Exchange::keepConnection() const
{
    if (!request_.keep_alive() || !state_.draining) {
        return request_.keep_alive();
    }
    return nextRequestArrived_ || (!ignoresUnread_ && peek(caller_) == PeekResult::Data);
}

asio::awaitable<ExchangeResult> Exchange::sendResponse()
{
    GatewayResponse response { platform::callerHeader(response_->base()) };
    setResult(response.base(), ForwardedOutcome::Relayed);
    response.body() = std::move(response_->body());
    const bool keep = keepConnection();
    keepAnnounced_ = keep;
    closeAnnounced_ = !keep;
    response.keep_alive(keep);
    setContentLength(response, response_->base(), request_.method());
    firstByteAt_ = std::chrono::steady_clock::now();
    state_.metrics.observeFirstByte(firstByteAt_ - received_);
    error_code error;
    co_await http::async_write(caller_, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return notDelivered(error);
    }
    co_return ExchangeResult { .outcome = "answered",
                               .status = static_cast<int>(response.result_int()),
                               .connectionReusable = keep,
                               .responseComplete = true };
}

asio::awaitable<ExchangeResult> Exchange::sendRefusal(ErrorKind kind, Duration retryAfter)
{
    const Duration left = timeLeft(std::chrono::steady_clock::now());
    if (left > Duration::zero()) {
        retryAfter = std::min(retryAfter, left / RetryAfterDivisor);
    }
    const bool memoryFull
        = kind == ErrorKind::BodyMemoryFull && dispatchRecord_.verdict() != NotRun::True;
    GatewayResponse response = gatewayRefusalResponse(
        { .kind = kind,
          .remedy = memoryFull ? std::string(MemoryFullRemedy) : std::string(),
          .requestId = callerRequest_.id.text(),
          .notRun = dispatchRecord_.verdict(),
          .retryAfterMs = std::chrono::duration_cast<milliseconds>(retryAfter).count() });
    if (!callerRequest_.id.empty()) {
        platform::setRequestId(response.base(), callerRequest_.id);
    }
    if (dispatchRecord_.verdict() == NotRun::True && retryAfter > Duration::zero()) {
        platform::setRetryAfter(response.base(), retryAfter);
    }
    setResult(response.base(), outcomeOfRefusal(kind, sends_ > 0, dispatchRecord_.verdict()),
              errorResponse(kind).name);
    const bool keep = !callerDisconnected_ && keepConnection();
    keepAnnounced_ = keep;
    closeAnnounced_ = !keep;
    response.keep_alive(keep);
    response.prepare_payload();
    if (request_.method() == http::verb::head) {
        response.body().clear();
    }
    error_code error;
    co_await http::async_write(caller_, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return notDelivered(error);
    }
    co_return ExchangeResult { .outcome = std::string(errorResponse(kind).name),
                               .status = gatewayStatus(kind, dispatchRecord_.verdict()),
                               .connectionReusable = keep,
                               .responseComplete = true };
}

asio::awaitable<ExchangeResult> Exchange::callerLeft()
{
    ExchangeResult result { .outcome = "caller_left",
                            .connectionReusable = false,
                            .reason = callerError_ ? callerError_.message() : std::string(),
                            .endedByCaller = true };
    // A caller that has closed only its sending side still reads.
    if (callerError_ == asio::error::eof && !headerDelivered_) {
        dropSilentAttempt();
        const ExchangeResult sent = co_await sendRefusal(
            ErrorKind::CallerClosed,
            milliseconds(errorResponse(ErrorKind::CallerClosed).retryAfterMs));
        result.status = sent.status;
        result.responseComplete = sent.responseComplete;
        result.callerMayRead = sent.responseComplete;
    }
    co_return result;
}

ExchangeResult Exchange::notDelivered(const error_code &error)
{
    return { .outcome = "not_delivered",
             .connectionReusable = false,
             .reason = error.message(),
             .endedByCaller = !isOwnClose(error) };
}

RequestFacts Exchange::facts() const
{
    return { .requestId = callerRequest_.id.text(),
             .route = route_ != nullptr ? std::string_view(route_->name) : std::string_view(),
             .server = placement_.server.text(),
             .forwardedBy = forwarded_.node,
             .sends = sends_,
             .responseBegun = keepAnnounced_ || closeAnnounced_ };
}

void Exchange::logResult(ExchangeResult &end)
{
    end.end = requestEnd({ .responseComplete = end.responseComplete,
                           .callerLeft = end.endedByCaller,
                           .limitReached = end.limitReached,
                           .limitedByStop = limitedByStop_,
                           .serverBrokeOff = serverBrokeOff_,
                           .responseTooLong = responseTooLong_ });
    const Instant now = std::chrono::steady_clock::now();
    // Each request counts at the node of its caller.
    if (source_ == RequestSource::Caller) {
        state_.metrics.countRequest(end.outcome);
    } else {
        state_.metrics.countHelped(end.outcome);
    }
    if (end.responseComplete && end.status < FirstErrorStatus && route_ != nullptr) {
        state_.noteCompleted(*route_, now - received_);
    }
    const std::optional<Duration> age = state_.freshness.age(bootNow());
    const std::string sharedPart = placementRequest_.parts.empty()
        ? std::string()
        : hexadecimal(placementRequest_.parts.back().id);
    logLine(
        LogLevel::Info, "request",
        { { "request_id", callerRequest_.id.text() },
          { "route", route_ != nullptr ? std::string_view(route_->name) : std::string_view() },
          { "service", placementRequest_.service.text() },
          { "server", triedServers_.empty() ? std::string_view() : triedServers_.back().text() },
          { "forwarded_by", forwarded_.node },
          { "forwarded_to", helper_ },
          { "candidates", std::int64_t { placement_.candidates } },
          { "predicted_ms", placement_.cost },
          { "wait_ms", toMilliseconds(placement_.wait) },
          { "prompt_tokens", std::int64_t { placementRequest_.promptTokens } },
          { "shared_part", sharedPart },
          { "quarantined_part", quarantinedPart_ },
          { "team", team_ != nullptr ? std::string_view(team_->name.text()) : std::string_view() },
          { "fetched_from", placement_.fetchFrom },
          { "held_tokens", std::int64_t { placement_.cachedPromptTokens } },
          { "fetched_tokens", std::int64_t { placement_.tokensAfterFetch } },
          { "weights", std::int64_t { placement_.weights.value_or(0) } },
          { "software_version", placement_.softwareVersion },
          { "resumes", callerRequest_.resumes.text() },
          { "resume_refused", resumeRefusal_ },
          { "withheld", withholdReasonName(withheld_.reason) },
          { "statement_age_ms", toMilliseconds(withheld_.age) },
          { "sends", std::int64_t { sends_ } },
          { "rejected", std::int64_t { rejected_ } },
          { "configuration",
            routes_ != nullptr ? static_cast<std::int64_t>(routes_->version()) : 0 },
          { "configuration_age_ms", age.has_value() ? toMilliseconds(*age) : -1.0 },
          { "outcome", end.outcome },
          { "status", std::int64_t { end.status } },
          { "reason", end.reason },
          { "ended_by", endedByName(end.end) },
          { "delimiter", delimiterName(static_cast<int>(delimiter_)) },
          { "connection_error", connectionError_ ? connectionError_.message() : std::string() },
          { "server_ended", std::int64_t { serverEnded_ ? 1 : 0 } },
          { "partial_event_bytes", static_cast<std::int64_t>(partialEventBytes_) },
          { "first_byte_ms",
            firstByteAt_ == Instant() ? -1.0 : toMilliseconds(firstByteAt_ - received_) },
          { "longest_gap_ms", toMilliseconds(longestGap_) },
          { "limit_ms", toMilliseconds(deadline_ - received_) },
          { "total_ms", toMilliseconds(now - received_) } });
}

} // namespace jacinthroad
