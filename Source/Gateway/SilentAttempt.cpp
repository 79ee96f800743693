#include <chrono>
#include <utility>

#include "Gateway/ExchangeAttempt.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Time after which another server counts as having accepted a request that it has not rejected.
/// Longer than the timeout of a connection.
constexpr Duration AcceptanceTime = milliseconds(500);

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
    if (!headerDelivered_) {
        // Two servers that run a request to its first byte would add load where servers are slow.
        attempt->livenessTimer.expireAfter(AcceptanceTime, [attempt] { attempt->abort(); });
    }
    attempt->eventSplitter = eventSplitter_;
    attempt->delimiter = delimiter_;
    eventSplitter_.startResumedStream();
    triedServers_.push_back(attempt->placement.server);
    retryReserved_ = false;
    silentAttempt_ = attempt;
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
    finishAttempt(*attempt, AttemptResult::NoResponse);
}

bool Exchange::mayResumeSilentAttempt(AttemptResult end) const
{
    switch (end) {
    case AttemptResult::NotSent:
    case AttemptResult::Rejected:
    case AttemptResult::NoResponse:
    case AttemptResult::StreamBroken:
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
