#include "Gateway/ControlClient.h"

#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "Core/Endpoint.h"
#include "Gateway/BodyMemory.h"
#include "Gateway/BootClock.h"
#include "Gateway/DeadlineTimer.h"
#include "Gateway/HeaderReader.h"
#include "Gateway/MessageParser.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without acknowledgements after which TCP closes a connection.
constexpr Duration CallTcpTimeout = ShortestTcpTimeout;
/// Time for reading what had arrived at the end of the limit for a call.
constexpr Duration ReadAfterLimit = milliseconds(50);
constexpr std::uint32_t MaxCallHeaderBytes = 8 * 1024;
/// Maximum number of bytes that a connection holds.
constexpr std::size_t MaxReadBytes = MaxCallHeaderBytes + 4096;

tl::unexpected<Error> unavailableError(const std::string &reason)
{
    return makeError(ErrorKind::PlatformUnavailable, "no response: " + reason);
}

} // namespace

struct ControlClient::Connection
{
    Connection(asio::io_context &context, std::shared_ptr<MemoryBudget> memory, BodyKind kind)
        : socket(context)
        , timer(context)
        , buffer(std::move(memory), kind, MaxReadBytes)
    { }

    /// Describes why a call on this connection failed.
    [[nodiscard]] std::string reason(const error_code &error) const
    {
        return timedOut ? "nothing arrived in time" : error.message();
    }

    asio::ip::tcp::socket socket;
    DeadlineTimer timer;
    bool timedOut = false;
    /// When the last response on it was complete.
    Instant lastUsed;
    ReadBuffer buffer;
};

ControlClient::ControlClient(asio::io_context &context, std::string address, ConnectionUse use,
                             std::shared_ptr<MemoryBudget> memory, BodyKind kind,
                             std::uint64_t maxResponseBytes)
    : context_(context)
    , address_(std::move(address))
    , use_(use)
    , memory_(std::move(memory))
    , kind_(kind)
    , maxResponseBytes_(maxResponseBytes)
{ }

ControlClient::~ControlClient() = default;

asio::awaitable<Result<CallResponse>> ControlClient::call(platform::Call call, http::fields headers,
                                                          Duration timeout)
{
    return this->call(std::move(call), std::move(headers),
                      TransferLimits { .progress = timeout, .whole = timeout });
}

asio::awaitable<Result<CallResponse>> ControlClient::call(platform::Call call, http::fields headers,
                                                          TransferLimits limits,
                                                          TransferProgress *progress)
{
    std::shared_ptr<Connection> connection;
    while (connection == nullptr && !idle_.empty()) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        if (peek(connection->socket) != PeekResult::NoData) {
            connection = nullptr;
        }
    }
    if (connection == nullptr) {
        connection = std::make_shared<Connection>(context_, memory_, kind_);
    }
    const Instant began = std::chrono::steady_clock::now();
    auto response
        = co_await performCall(connection, std::move(call), std::move(headers), limits, progress);
    connection->timer.cancel();
    if (connection->timedOut) {
        // Whatever silenced this connection may have silenced the others without a reset; only
        // those that have carried a response since are known to work.
        std::erase_if(idle_, [&](const auto &idle) { return idle->lastUsed < began; });
    }
    co_return response;
}

asio::awaitable<Result<CallResponse>>
ControlClient::performCall(std::shared_ptr<Connection> connection, platform::Call call,
                           http::fields headers, TransferLimits limits, TransferProgress *progress)
{
    const Instant began = std::chrono::steady_clock::now();
    const auto noteProgress = [connection, limits, began] {
        connection->timer.expireAt(
            transferDeadline(limits, began, std::chrono::steady_clock::now()), [connection] {
                connection->timedOut = true;
                error_code ignored;
                connection->socket.close(ignored);
            });
    };
    noteProgress();
    error_code error;
    MemoryReservation unread(memory_, kind_);
    if (!unread.resize(unreadBytes(*memory_, ConnectionRole::Control))) {
        co_return unavailableError("the node's memory for received data is used up");
    }
    if (!connection->socket.is_open()) {
        const auto endpoint = parseEndpoint(address_);
        if (!endpoint.has_value()) {
            co_return unavailableError("address '" + address_ + "' is not IP:port");
        }
        connection->socket.open(endpoint->protocol(), error);
        if (error) {
            co_return unavailableError(error.message());
        }
        setReceiveBuffer(connection->socket.native_handle(),
                         receiveBufferBytes(*memory_, ConnectionRole::Control));
        co_await connection->socket.async_connect(*endpoint,
                                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return unavailableError(connection->reason(error));
        }
        noteProgress();
        setTcpTimeout(connection->socket, CallTcpTimeout);
    }
    http::request<http::string_body> request(call.method, call.target, 11);
    for (const auto &field : headers) {
        request.insert(field.name(), field.name_string(), field.value());
    }
    request.set(http::field::host, address_);
    request.keep_alive(use_ == ConnectionUse::Kept);
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(call.body);
        request.prepare_payload();
    }
    const BootInstant sentAt = bootNow();
    co_await http::async_write(connection->socket, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailableError(connection->reason(error));
    }
    noteProgress();
    ResponseParser<http::string_body> responseParser;
    responseParser.body_limit(maxResponseBytes_);
    const auto bodyMemory = std::make_shared<MemoryReservation>(memory_, kind_);
    MemoryReservation headerMemory(memory_, kind_);
    error = co_await readHeader(connection->socket, connection->buffer, responseParser,
                                responseParser.get().base(), MaxCallHeaderBytes, headerMemory);
    if (!error && progress != nullptr) {
        progress->ofBytes = responseParser.content_length().value_or(0);
        progress->onSizeKnown();
    }
    if (!error) {
        // Reading would reserve it where a refusal ends the process.
        responseParser.get().body().reserve(responseParser.content_length().value_or(0));
    }
    std::optional<Instant> overdueSince;
    while (!error && !responseParser.is_done()) {
        // Bytes that arrive all the while arm the timer again before its end is noticed. What had
        // arrived by then is read after a stall.
        const Instant now = std::chrono::steady_clock::now();
        if (now >= began + limits.whole && !overdueSince.has_value()) {
            overdueSince = now;
        }
        if (overdueSince.has_value() && now - *overdueSince >= ReadAfterLimit) {
            connection->timedOut = true;
            error = asio::error::timed_out;
            break;
        }
        noteProgress();
        if (!reserveForRead(*bodyMemory, responseParser.get().body(),
                            responseParser.content_length(), connection->buffer,
                            maxResponseBytes_)) {
            error = http::error::body_limit;
            break;
        }
        co_await http::async_read_some(connection->socket, connection->buffer, responseParser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (progress != nullptr) {
            progress->bytes = responseParser.get().body().size();
        }
    }
    if (error) {
        logReadLimit("response to " + call.target, error, connection->buffer, connection->socket);
        co_return unavailableError(connection->reason(error));
    }
    connection->buffer.releaseIfEmpty();
    if (use_ == ConnectionUse::Kept && responseParser.keep_alive()
        && connection->buffer.size() == 0) {
        connection->lastUsed = std::chrono::steady_clock::now();
        idle_.push_back(connection);
    }
    co_return CallResponse { .status = responseParser.get().result_int(),
                             .headers = responseParser.get().base(),
                             .body = std::move(responseParser.get().body()),
                             .sentAt = sentAt,
                             .memory = bodyMemory };
}

} // namespace jacinthroad
