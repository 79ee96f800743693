#include <array>
#include <chrono>
#include <utility>

#include <sys/socket.h>

#include "Gateway/ExchangeAttempt.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Time after a request was sent to another server after which one of the two is given up. Shorter
/// than the 400 ms for which two servers may run it according to the platform's pages.
constexpr Duration OverlapLimit = milliseconds(300);
/// Bytes of a response in which its header is looked for.
constexpr std::size_t MaxPeekedBytes = 8 * 1024;

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
    retryReserved_ = false;
    silentAttempt_ = attempt;
}

void Exchange::limitOverlap(const std::shared_ptr<Attempt> &current)
{
    if (silentAttempt_ == nullptr) {
        return;
    }
    silentAttempt_->livenessTimer.expireAfter(
        OverlapLimit, [this, silent = silentAttempt_, current] {
            asio::ip::tcp::socket &socket = silent->connection->socket;
            // A refusal is no reason to take the request from the other server.
            const bool responded = hasUnreadData(socket)
                && (silent->hasResponse()
                    || hasUnreadSuccess(socket, silent->placement.server, callerRequest_.id));
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

bool Exchange::mayReturnToSilentServer() const
{
    return silentAttempt_ != nullptr && !silentAttempt_->connection->socket.is_open()
        && sends_ - rejected_ < route_->maximumAttempts;
}

void Exchange::returnToSilentServer()
{
    const std::shared_ptr<Attempt> attempt = std::exchange(silentAttempt_, nullptr);
    attempt->waiting = false;
    const AttemptCleanup cleanup { *attempt };
    finishAttempt(*attempt, AttemptResult::Superseded);
    if (attempt->isForwarded()) {
        std::erase(triedHelpers_, attempt->helper);
    } else {
        std::erase(triedServers_, attempt->placement.server);
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
