#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <variant>

#include <sys/socket.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/ExchangeAttempt.h"
#include "Gateway/SocketOptions.h"
#include "Retry/SilentServerRule.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Time after a request was sent to another server after which one of the two is given up. Shorter
/// than the 400 ms for which two servers may run it according to the platform's pages.
constexpr Duration OverlapLimit = milliseconds(300);
/// Bytes of a response in which its header is looked for.
constexpr std::size_t MaxPeekedBytes = 8 * 1024;
/// Time after which a request that servers have rejected is sent again; it doubles each time up to
/// LongestWait.
constexpr Duration FirstWait = milliseconds(100);
constexpr unsigned MaxWaitDoublings = 3;
constexpr Duration LongestWait = FirstWait * (1U << MaxWaitDoublings);
/// Time after a server fell silent until which it is likely to go on.
constexpr Duration LongestReturn = milliseconds(2600);

/// True if what a connection has received is data that waits to be read.
bool hasUnreadData(asio::ip::tcp::socket &socket)
{
    return socket.is_open() && peek(socket) == PeekResult::Data;
}

/// True if what a connection has received begins with a success of `server` to this request.
bool hasUnreadSuccess(asio::ip::tcp::socket &socket, const ServerId &server,
                      const RequestId &request)
{
    std::array<char, MaxPeekedBytes> bytes {};
    const ssize_t size
        = recv(socket.native_handle(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (size <= 0) {
        return false;
    }
    http::response_parser<http::empty_body> parser;
    boost::system::error_code ignored;
    parser.put(asio::buffer(bytes.data(), static_cast<std::size_t>(size)), ignored);
    if (!parser.is_header_done()
        || http::to_status_class(parser.get().result_int()) != http::status_class::successful) {
        return false;
    }
    const platform::ResponseInfo facts = platform::readResponseInfo(parser.get().base(), server);
    return facts.request == request && facts.hasResponseStamp;
}

} // namespace

asio::awaitable<Exchange::AttemptResult> Exchange::receive(Attempt &attempt)
{
    if (attempt.streamParser != nullptr) {
        co_return co_await relayStream(attempt);
    }
    if (attempt.bodyParser != nullptr) {
        co_return co_await readCompleteResponse(attempt);
    }
    co_return co_await receiveResponse(attempt);
}

void Exchange::setAside(const std::shared_ptr<Attempt> &attempt)
{
    dropSilentAttempt();
    attempt->silent = false;
    attempt->waiting = true;
    attempt->livenessTimer.cancel();
    attempt->eventSplitter = eventSplitter_;
    attempt->delimiter = delimiter_;
    eventSplitter_.startResumedStream();
    if (attempt->isForwarded()) {
        // Which server the helping node has sent the request to isn't known without a response.
        triedHelpers_.push_back(attempt->helper);
    } else {
        triedServers_.push_back(attempt->placement.server);
        sentServers_.push_back(attempt->placement.server);
    }
    keepPaid(std::exchange(retryReserved_, std::nullopt));
    silentAttempt_ = attempt;
}

void Exchange::limitOverlap(const std::shared_ptr<Attempt> &current)
{
    if (silentAttempt_ == nullptr) {
        return;
    }
    if (silentAttempt_->overlapsSince == Instant()) {
        silentAttempt_->overlapsSince = std::chrono::steady_clock::now();
    }
    silentAttempt_->livenessTimer.expireAt(
        silentAttempt_->overlapsSince + OverlapLimit,
        [this, silent = silentAttempt_, current] { giveUpOne(*silent, *current); });
}

void Exchange::giveUpOne(Attempt &silent, Attempt &current)
{
    asio::ip::tcp::socket &socket = silent.connection->socket;
    const bool responded = hasUnreadData(socket);
    const bool goesOn = responded
        && (silent.hasResponse()
            || hasUnreadSuccess(socket, silent.placement.server, callerRequest_.id));
    const bool accepted = (current.hasResponse() && !current.hasRefusal())
        || hasUnreadSuccess(current.connection->socket, current.placement.server,
                            callerRequest_.id);
    const OverlapServer loser = serverToGiveUp(
        { .silentResponded = goesOn,
          .silentEnded = !goesOn && (responded || peek(socket) != PeekResult::NoData),
          .otherAccepted = accepted,
          .otherRejected = current.hasRefusal() });
    if (loser == OverlapServer::Other) {
        current.superseded = true;
        current.abort();
    } else {
        silentGivenUp_ = true;
        serverBrokeOff_ = false;
        responseTooLong_ = false;
        memoryFull_ = false;
        silent.abort();
    }
}

bool Exchange::reserveReturn(Instant now)
{
    if (!returnReserved_.has_value() && state_.retryBudget.spend(placementRequest_.service, now)) {
        returnReserved_ = now;
    }
    return returnReserved_.has_value();
}

bool Exchange::payForSend(Instant now)
{
    if (!nextSendPaid_.has_value()) {
        nextSendPaid_ = std::exchange(returnReserved_, std::nullopt);
    }
    if (!nextSendPaid_.has_value() && state_.retryBudget.spend(placementRequest_.service, now)) {
        nextSendPaid_ = now;
    }
    return nextSendPaid_.has_value();
}

void Exchange::keepPaid(std::optional<Instant> paidAt)
{
    if (nextSendPaid_.has_value()) {
        giveBackRetry(paidAt);
    } else {
        nextSendPaid_ = paidAt;
    }
}

void Exchange::giveBackRetry(std::optional<Instant> paidAt)
{
    if (paidAt.has_value()) {
        state_.retryBudget.giveBack(placementRequest_.service, *paidAt,
                                    std::chrono::steady_clock::now());
    }
}

void Exchange::giveBackReturn()
{
    giveBackRetry(std::exchange(returnReserved_, std::nullopt));
}

void Exchange::giveBackRetries()
{
    giveBackReturn();
    giveBackRetry(std::exchange(retryReserved_, std::nullopt));
    giveBackRetry(std::exchange(nextSendPaid_, std::nullopt));
}

void Exchange::endOverlap(AttemptResult end)
{
    if (silentAttempt_ == nullptr) {
        return;
    }
    silentAttempt_->livenessTimer.cancel();
    if (end == AttemptResult::Rejected || end == AttemptResult::NotSent) {
        silentAttempt_->overlapsSince = Instant();
    }
}

asio::awaitable<Exchange::AttemptResult> Exchange::resumeSilentAttempt()
{
    const std::shared_ptr<Attempt> attempt = std::exchange(silentAttempt_, nullptr);
    attempt->waiting = false;
    attempt->livenessTimer.cancel();
    const AttemptCleanup cleanup { *attempt };
    cancelAttempt_ = [attempt] { attempt->abort(); };
    placement_ = attempt->placement;
    eventSplitter_ = attempt->eventSplitter;
    delimiter_ = attempt->delimiter;
    if (route_->retryable() && rejected_ <= MaxRejections) {
        monitorServer(attempt);
    }
    const AttemptResult end = co_await receive(*attempt);
    cancelAttempt_ = nullptr;
    if (end == AttemptResult::Silent) {
        setAside(attempt);
        co_return end;
    }
    finishAttempt(*attempt, end);
    noteBrokenStream(end);
    co_return end;
}

void Exchange::returnToSilentServer()
{
    if (silentAttempt_ == nullptr || silentAttempt_->connection->socket.is_open()) {
        return;
    }
    const std::shared_ptr<Attempt> attempt = std::exchange(silentAttempt_, nullptr);
    attempt->waiting = false;
    const AttemptCleanup cleanup { *attempt };
    finishAttempt(*attempt, AttemptResult::Superseded);
    std::erase(triedHelpers_, attempt->helper);
    if (attempt->isReturn) {
        // It was silent again.
        returnTo_ = {};
    } else if (!serverOf(*attempt).empty()) {
        std::erase(triedServers_, serverOf(*attempt));
        returnTo_ = serverOf(*attempt);
        returnBefore_ = attempt->lastReceivedAt + LongestReturn;
    }
}

void Exchange::forgetServerThatLeft()
{
    if (returnTo_.empty()) {
        return;
    }
    const ListedServer *server = state_.pool.listed(returnTo_);
    if (server == nullptr || server->leaving) {
        returnTo_ = {};
    }
}

void Exchange::dropSilentAttempt()
{
    if (silentAttempt_ == nullptr) {
        return;
    }
    const std::shared_ptr<Attempt> attempt = std::exchange(silentAttempt_, nullptr);
    attempt->waiting = false;
    const AttemptCleanup cleanup { *attempt };
    // Only a server that another one has replaced counts as silent.
    attempt->replaced = !callerDisconnected_ && !outOfTime(std::chrono::steady_clock::now());
    finishAttempt(*attempt,
                  attempt->replaced ? AttemptResult::NoResponse
                                    : AttemptResult::CallerDisconnected);
}

bool Exchange::mayResumeSilentAttempt(AttemptResult end) const
{
    if (silentAttempt_ == nullptr || !silentAttempt_->connection->socket.is_open()) {
        return false;
    }
    switch (end) {
    case AttemptResult::NotSent:
    case AttemptResult::Rejected:
    case AttemptResult::NoResponse:
    case AttemptResult::StreamBroken:
    case AttemptResult::Superseded:
        return true;
    case AttemptResult::ResponseReceived:
        return headerDelivered_ || response_->result_int() >= 500;
    default:
        return false;
    }
}

bool Exchange::mayWait() const
{
    return source_ == RequestSource::Caller && route_->retryable() && !response_.has_value()
        && (headerDelivered_ || (silentGivenUp_ && dispatchRecord_.verdict() != NotRun::True))
        && (!attemptsUsed() || !returnTo_.empty());
}

bool Exchange::attemptsUsed() const
{
    return sends_ - rejected_ - returns_ >= route_->maximumAttempts;
}

bool Exchange::mayReturn() const
{
    const bool givenUp = silentAttempt_ != nullptr && !silentAttempt_->connection->socket.is_open();
    const ServerId &server = givenUp ? serverOf(*silentAttempt_) : returnTo_;
    return !server.empty() && server != (lastForwarded_ ? helperResult_.server : placement_.server);
}

const ServerId &Exchange::serverOf(const Attempt &attempt)
{
    return attempt.isForwarded() ? attempt.forwardedResult.server : attempt.placement.server;
}

bool Exchange::mustGoOn() const
{
    return (headerDelivered_ || silentGivenUp_)
        && (!serverBrokeOff_
            || (!returnTo_.empty() && std::chrono::steady_clock::now() < returnBefore_));
}

bool Exchange::mayFindServerLater(const NoPlacement &none) const
{
    if (!headerDelivered_ && none.listed == 0) {
        return false;
    }
    if (mustGoOn()) {
        return true;
    }
    return none.withheld.allowed() ? rejected_ > 0 || unsentForwards_ > 0 || failedConnects_ > 0
                                   : none.withheld.after.has_value();
}

asio::awaitable<bool> Exchange::waitForServers(std::optional<Duration> time)
{
    returnToSilentServer();
    const Duration left = timeLeft(std::chrono::steady_clock::now());
    // A caller that has part of a stream can't be told to send the request again.
    if (!mayWait() || (!headerDelivered_ && time.value_or(FirstWait) >= left)) {
        co_return false;
    }
    const unsigned doublings = std::min(waits_++, MaxWaitDoublings);
    const Duration longest = FirstWait * (1U << doublings);
    const Duration wait = std::max(FirstWait, std::min(time.value_or(longest), LongestWait));
    co_await pause(std::min(wait, left));
    triedServers_.clear();
    // Another server needs the rest of the time.
    const Duration longestReturn = std::min(LongestWait, left / 2);
    for (Duration waited = wait; waited < longestReturn && awaitsReturn(); waited += FirstWait) {
        co_await pause(FirstWait);
    }
    while (!callerDisconnected_ && !outOfTime(std::chrono::steady_clock::now())
           && !payForSend(std::chrono::steady_clock::now())) {
        co_await pause(FirstWait);
    }
    sentServers_.clear();
    triedHelpers_.clear();
    if (!time.has_value() && lastForwarded_) {
        // Another node is asked before the one that has just refused.
        triedHelpers_.push_back(helper_);
    }
    unsentForwards_ = 0;
    failedConnects_ = 0;
    overdueConnects_ = 0;
    co_return true;
}

bool Exchange::awaitsReturn() const
{
    const Instant now = std::chrono::steady_clock::now();
    const ListedServer *server = state_.pool.listed(returnTo_);
    if (server == nullptr || server->leaving || callerDisconnected_ || outOfTime(now)
        || prefersForwarding(now)) {
        return false;
    }
    PlacementRequest request = placementRequest_;
    request.tried = {};
    request.preferred = &returnTo_;
    const auto chosen = state_.pool.choose(request, now);
    const auto *placement = std::get_if<Placement>(&chosen);
    return placement == nullptr || placement->server != returnTo_;
}

asio::awaitable<void> Exchange::pause(Duration time)
{
    const auto timer = std::make_shared<asio::steady_timer>(state_.context, time);
    cancelAttempt_ = [timer] { timer->cancel(); };
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancelAttempt_ = nullptr;
}

void Exchange::noteBrokenStream(AttemptResult end)
{
    if (end == AttemptResult::NoResponse || end == AttemptResult::StreamBroken) {
        eventSplitter_.startResumedStream();
    }
}

} // namespace jacinthroad
