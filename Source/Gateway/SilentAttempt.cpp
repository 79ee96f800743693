#include <chrono>
#include <utility>

#include "Gateway/ExchangeAttempt.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Time after a request was sent to another server after which one of the two is given up. Shorter
/// than the 400 ms for which two servers may run it according to the platform's pages.
constexpr Duration OverlapLimit = milliseconds(300);

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
    triedServers_.push_back(attempt->placement.server);
    retryReserved_ = false;
    silentAttempt_ = attempt;
}

void Exchange::limitOverlap(const std::shared_ptr<Attempt> &current)
{
    if (silentAttempt_ == nullptr) {
        return;
    }
    silentAttempt_->livenessTimer.expireAfter(OverlapLimit, [silent = silentAttempt_, current] {
        asio::ip::tcp::socket &socket = silent->connection->socket;
        const bool responded = socket.is_open() && peek(socket) == PeekResult::Data;
        if (responded && !current->hasResponse()) {
            current->superseded = true;
            current->abort();
        } else {
            silent->abort();
        }
    });
}

void Exchange::endOverlap()
{
    if (silentAttempt_ != nullptr) {
        silentAttempt_->livenessTimer.cancel();
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
    const AttemptResult end = co_await receive(*attempt);
    cancelAttempt_ = nullptr;
    finishAttempt(*attempt, end);
    noteBrokenStream(end);
    co_return end;
}

void Exchange::dropSilentAttempt()
{
    if (silentAttempt_ == nullptr) {
        return;
    }
    const std::shared_ptr<Attempt> attempt = std::exchange(silentAttempt_, nullptr);
    attempt->waiting = false;
    const AttemptCleanup cleanup { *attempt };
    // Only a server that another one has replaced counts as failed.
    finishAttempt(*attempt,
                  callerDisconnected_ || outOfTime(std::chrono::steady_clock::now())
                      ? AttemptResult::CallerDisconnected
                      : AttemptResult::NoResponse);
}

bool Exchange::mayResumeSilentAttempt(AttemptResult end) const
{
    switch (end) {
    case AttemptResult::NotSent:
    case AttemptResult::Rejected:
    case AttemptResult::NoResponse:
    case AttemptResult::StreamBroken:
    case AttemptResult::Superseded:
        return silentAttempt_ != nullptr;
    case AttemptResult::ResponseReceived:
        return silentAttempt_ != nullptr && (headerDelivered_ || response_->result_int() >= 500);
    default:
        return false;
    }
}

void Exchange::noteBrokenStream(AttemptResult end)
{
    if (end == AttemptResult::NoResponse || end == AttemptResult::StreamBroken) {
        eventSplitter_.startResumedStream();
    }
}

} // namespace jacinthroad
