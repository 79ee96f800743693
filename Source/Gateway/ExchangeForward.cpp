#include <algorithm>
#include <utility>

#include "Core/Endpoint.h"
#include "Core/Hashing.h"
#include "Gateway/ExchangeAttempt.h"
#include "Gateway/ForwardingTiming.h"
#include "platform/CallerWire.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Number of connections to servers that may be refused before the request is forwarded. Of one
/// that takes too long, nothing is learnt by trying the next server.
constexpr unsigned MaxRefusedConnects = 2;
/// Maximum number of nodes that are asked to send a request without any of them sending it.
constexpr unsigned MaxUnsentForwards = 4;
/// Idle connections between nodes are closed by the sender after MaxForwardingIdleTime, and after
/// this share of the time after which nodes of earlier versions close them.
constexpr int IdleTimeDivisor = 2;

} // namespace

bool Exchange::prefersForwarding(Instant now) const
{
    return source_ == RequestSource::Caller
        && (state_.links.lost(now) || state_.paths.unreachable(placementRequest_.service, now)
            || overdueConnects_ > 0 || failedConnects_ >= MaxRefusedConnects);
}

std::optional<ForwardPeer> Exchange::chooseHelper(Instant now) const
{
    if (source_ == RequestSource::Peer || unsentForwards_ >= MaxUnsentForwards) {
        return std::nullopt;
    }
    return state_.forwarding.choose(placementRequest_.service, triedHelpers_,
                                    mix64(hash64(callerRequest_.id.text()), sends_), now);
}

asio::awaitable<Exchange::AttemptResult> Exchange::forwardTo(const ForwardPeer &helper)
{
    auto attempt = std::make_shared<Attempt>(state_.context);
    attempt->helper = helper.name;
    attempt->placement.address = helper.address;
    placement_ = attempt->placement;
    helper_ = helper.name;
    lastForwarded_ = true;
    helperResult_ = {};
    attempt->helperUse = state_.forwarding.begin(helper.name);
    cancelAttempt_ = [attempt] { attempt->abort(); };
    const AttemptCleanup cleanup { *attempt };
    const bool connected = co_await connectToHelper(attempt);
    co_return co_await transfer(attempt, connected);
}

asio::awaitable<bool> Exchange::connectToHelper(std::shared_ptr<Attempt> attempt)
{
    attempt->connection = state_.peerConnections.acquire(ServerId(attempt->helper),
                                                         hash64(callerRequest_.id.text()),
                                                         std::chrono::steady_clock::now());
    if (attempt->connection != nullptr) {
        attempt->connectionReused = true;
        co_return true;
    }
    const auto endpoint = parseEndpoint(attempt->placement.address);
    if (!endpoint.has_value()) {
        co_return false;
    }
    const boost::system::error_code error = co_await openConnection(attempt, *endpoint);
    co_return !error && !attempt->timedOut && !callerDisconnected_;
}

http::request_header<> Exchange::helperHeader(Instant now) const
{
    http::request_header<> header = platform::peerHeader(
        request_.base(),
        { .timeLeft = timeLeft(now), .resumeAfter = std::string(eventSplitter_.lastId()) });
    setForwardedRequest(
        header,
        { .node = state_.settings.name,
          .configurationVersion = routes_->version(),
          .softwareVersion = version_.empty() ? SoftwareVersion() : *version_.begin(),
          .repeated = dispatchRecord_.verdict() != NotRun::True,
          .tried = mayOnlyReturn() ? state_.pool.othersOf(placementRequest_.service, returnTo_)
                                   : sentServers_ });
    return header;
}

bool Exchange::readHelperHeader(Attempt &attempt, const http::response_header<> &header)
{
    const auto result = readForwardedResult(header);
    if (!result.has_value()) {
        return false;
    }
    attempt.forwardedResult = *result;
    helperResult_ = *result;
    // The helping node has judged what its server stated.
    attempt.responseFacts.notRun = false;
    attempt.responseFacts.wrongServer = false;
    if (keepsVersion() && !result->softwareVersion.empty()) {
        version_ = { result->softwareVersion };
    }
    return true;
}

Exchange::AttemptResult Exchange::noteHelperRefusal(const Attempt &attempt, GatewayResponse refusal)
{
    helperRefusal_ = std::move(refusal);
    switch (attempt.forwardedResult.outcome) {
    case ForwardedOutcome::Declined:
    case ForwardedOutcome::NotSent:
        return AttemptResult::NotSent;
    case ForwardedOutcome::NotRun:
        return AttemptResult::Rejected;
    case ForwardedOutcome::Relayed:
    case ForwardedOutcome::Unknown:
        break;
    }
    return headerDelivered_ ? AttemptResult::StreamBroken : AttemptResult::NoResponse;
}

void Exchange::finishForwarding(Attempt &attempt, AttemptResult end)
{
    const Instant now = std::chrono::steady_clock::now();
    const ForwardedResult &result = attempt.forwardedResult;
    const bool refused = end == AttemptResult::NotSent && attempt.sent;
    const bool broken = end == AttemptResult::NoResponse || end == AttemptResult::StreamBroken;
    if (refused) {
        --sends_;
        returns_ -= attempt.isReturn ? 1 : 0;
        keepPaid(attempt.paidAt);
        dispatchRecord_.noteNotRun();
    } else if (attempt.sent) {
        if (end == AttemptResult::Rejected) {
            ++rejected_;
            returns_ -= attempt.isReturn ? 1 : 0;
        }
        recordOutcome(end);
        if (!result.server.empty()) {
            triedServers_.push_back(result.server);
            sentServers_.push_back(result.server);
        }
    }
    ForwardEnd helperEnd = ForwardEnd::Handled;
    if (refused && result.outcome == ForwardedOutcome::Declined) {
        helperEnd = ForwardEnd::Declined;
    } else if ((end == AttemptResult::NotSent && !refused)
               || (broken && attempt.endedByServer && !attempt.hasResponse())) {
        // A response that breaks off may have done so at its server.
        helperEnd = ForwardEnd::Unreachable;
    }
    attempt.helperUse.reset();
    state_.forwarding.noteEnd(attempt.helper, placementRequest_.service, helperEnd, now);
    if (end == AttemptResult::NotSent) {
        ++unsentForwards_;
    }
    if (end == AttemptResult::NotSent || helperEnd == ForwardEnd::Unreachable) {
        triedHelpers_.push_back(attempt.helper);
    }
    state_.metrics.countForwarded(!attempt.sent ? "not_connected"
                                      : helperEnd == ForwardEnd::Unreachable
                                      ? "lost"
                                      : std::string(forwardedOutcomeName(result.outcome)));
    const bool open = attempt.connection != nullptr && attempt.connection->socket.is_open();
    const bool unused = attempt.connectionReused && !attempt.sent;
    if (open && (unused || attempt.reusable) && attempt.connection->buffer.size() == 0) {
        const Duration keep
            = std::min(MaxForwardingIdleTime, state_.limits().idleTimeout / IdleTimeDivisor);
        attempt.connection->usableUntil = now + keep;
        state_.peerConnections.addIdle(ServerId(attempt.helper), std::move(attempt.connection));
    } else {
        attempt.abort();
    }
}

void Exchange::setResult(http::fields &fields, ForwardedOutcome outcome,
                         std::string_view refusal) const
{
    removeForwardingFields(fields);
    if (source_ == RequestSource::Peer) {
        setForwardedResult(
            fields,
            { .outcome = outcome,
              .refusal = std::string(refusal),
              .server = sends_ > 0 ? placement_.server : ServerId(),
              .softwareVersion = version_.empty() ? SoftwareVersion() : *version_.begin() });
    }
}

bool Exchange::hasHelperRefusal() const
{
    return helperRefusal_.has_value() && !headerDelivered_
        && dispatchRecord_.verdict() == NotRun::True;
}

asio::awaitable<ExchangeResult> Exchange::passOnRefusal()
{
    response_ = std::move(*helperRefusal_);
    ExchangeResult result = co_await sendResponse();
    const auto responses = errorResponses();
    const auto known
        = std::find_if(responses.begin(), responses.end(), [this](const ErrorResponse &response) {
              return response.name == helperResult_.refusal;
          });
    if (result.responseComplete && known != responses.end()) {
        result.outcome = known->name;
    }
    co_return result;
}

} // namespace jacinthroad
