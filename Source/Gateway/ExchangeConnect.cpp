#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Endpoint.h"
#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Gateway/BodyMemory.h"
#include "Gateway/BootClock.h"
#include "Gateway/ExchangeAttempt.h"
#include "Gateway/HeaderReader.h"
#include "Gateway/SocketOptions.h"
#include "platform/Orders.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Backend servers in the same region accept a connection within a few milliseconds; a longer time
/// means that the server is unreachable or its VM no longer exists.
constexpr Duration ConnectTimeout = milliseconds(400);
/// Time without acknowledgements after which TCP closes a connection to a backend server.
constexpr Duration ServerTcpTimeout = ShortestTcpTimeout;
/// Maximum size of a server's report.
constexpr std::uint64_t MaxReportBytes = 256 * 1024;
constexpr std::uint32_t MaxReportHeaderBytes = 8 * 1024;

} // namespace

asio::awaitable<bool> Exchange::connect(std::shared_ptr<Attempt> attempt)
{
    const Instant now = std::chrono::steady_clock::now();
    attempt->connection = state_.connections.acquire(attempt->placement.server,
                                                     hash64(callerRequest_.id.text()), now);
    if (attempt->connection != nullptr) {
        attempt->connectionReused = true;
        co_return true;
    }
    const auto endpoint = parseEndpoint(attempt->placement.address);
    if (!endpoint.has_value()) {
        co_return false;
    }
    state_.metrics.countConnect();
    state_.links.noteConnecting(attempt->placement.server, now);
    const error_code error = co_await openConnection(attempt, *endpoint);
    noteConnectEnd(*attempt, now, error);
    if (error || attempt->timedOut || callerDisconnected_) {
        co_return false;
    }
    const bool severalVersions = state_.streamVersions.recordsNeeded(placementRequest_.service);
    const bool processKnown = !severalVersions
        && !state_.connections.hasLost(attempt->placement.server)
        && !state_.streamVersions.listOutdated(bootNow());
    if (!keepsVersion() || processKnown) {
        co_return true;
    }
    const bool confirmed = co_await confirmProcess(*attempt, severalVersions);
    co_return confirmed && !attempt->timedOut && !callerDisconnected_;
}

asio::awaitable<error_code> Exchange::openConnection(std::shared_ptr<Attempt> attempt,
                                                     asio::ip::tcp::endpoint endpoint)
{
    const Instant now = std::chrono::steady_clock::now();
    attempt->connection = std::make_unique<ServerConnection>(state_.context.get_executor(),
                                                             state_.bodyMemory, state_.readTurns);
    asio::ip::tcp::socket &socket = attempt->connection->socket;
    abortAt(attempt, now + std::min(ConnectTimeout, timeLeft(now)));
    error_code error;
    socket.open(endpoint.protocol(), error);
    if (error) {
        co_return error;
    }
    setReceiveBuffer(socket.native_handle(),
                     receiveBufferBytes(*state_.bodyMemory, ConnectionRole::Server));
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        attempt->connection->openedAt = std::chrono::steady_clock::now();
        setTcpTimeout(socket, ServerTcpTimeout);
    }
    co_return error;
}

void Exchange::noteConnectEnd(const Attempt &attempt, Instant began, const error_code &error)
{
    const ServerId &server = attempt.placement.server;
    const Instant now = std::chrono::steady_clock::now();
    // The caller left, or the request had less time.
    const bool givenUp = error == asio::error::operation_aborted && now - began < ConnectTimeout;
    if (!error) {
        state_.noteConnected(server, now);
    } else if (givenUp) {
        state_.links.noteConnectAbandoned(server);
    } else {
        state_.noteConnectFailed(server, now);
    }
}

void Exchange::noteConnectionLost(const Attempt &attempt, AttemptResult end, bool sameStart)
{
    const bool lost = end == AttemptResult::NoResponse || end == AttemptResult::StreamBroken
        || end == AttemptResult::NotSent || end == AttemptResult::TimedOut;
    if (lost && !attempt.memoryFull && sameStart) {
        state_.connections.noteLost(attempt.placement.server);
    }
}

asio::awaitable<bool> Exchange::confirmProcess(Attempt &attempt, bool severalVersions)
{
    ServerConnection &connection = *attempt.connection;
    const platform::Call call = platform::reportCall();
    http::request<http::empty_body> request(call.method, call.target, 11);
    request.set(http::field::host, attempt.placement.address);
    error_code error;
    co_await http::async_write(connection.socket, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    ResponseParser<http::string_body> parser;
    parser.body_limit(MaxReportBytes);
    MemoryReservation memory(state_.bodyMemory, BodyKind::Response);
    MemoryReservation headerMemory(state_.bodyMemory, BodyKind::Response);
    error = co_await readHeader(connection.reader, connection.buffer, parser, parser.get().base(),
                                MaxReportHeaderBytes, headerMemory);
    while (!error && !parser.is_done()) {
        if (reserveForRead(memory, parser.get().body(), parser.content_length(), connection.buffer,
                           MaxReportBytes)) {
            co_await http::async_read_some(connection.reader, connection.buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
        } else {
            error = http::error::buffer_overflow;
        }
    }
    attempt.memoryFull = isMemoryFull(error, connection.buffer);
    logReadLimit("report of " + attempt.placement.server.text(), error, connection.buffer,
                 connection.socket);
    if (error || !parser.keep_alive()) {
        co_return false;
    }
    attempt.reportRead = true;
    const std::optional<std::int64_t> boot = platform::readReportedBoot(parser.get().body());
    if (!boot.has_value()) {
        // A server that doesn't tell its boot can't be told from its successor.
        co_return !severalVersions;
    }
    if (*boot != attempt.placement.bootedAt) {
        logLine(LogLevel::Warning, "server_started_again",
                { { "server", attempt.placement.server.text() },
                  { "boot", *boot },
                  { "listed_boot", attempt.placement.bootedAt },
                  { "reason", "the list of servers names an earlier start" },
                  { "remedy", "No stream is sent to it until the list names this start." } });
        co_return false;
    }
    state_.connections.forgetLost(attempt.placement.server);
    co_return true;
}

} // namespace jacinthroad
