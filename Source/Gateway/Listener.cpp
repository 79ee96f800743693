#include "Gateway/Listener.h"

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Endpoint.h"
#include "Core/Log.h"
#include "Core/MemoryReserve.h"
#include "Gateway/CallerSession.h"
#include "Gateway/Pause.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, for example when no file descriptors are left.
constexpr Duration AcceptRetryDelay = milliseconds(20);
constexpr int ListenBacklog = 1024;
/// Pause between two attempts to listen on an address that is in use.
constexpr Duration ListenRetryInterval = milliseconds(100);
/// Interval at which such an address is logged again.
constexpr Duration ListenLogInterval = std::chrono::seconds(10);

void logNotListening(const ListenAddress &address, const error_code &error)
{
    logLine(LogLevel::Error, "not_listening",
            { { "field", address.field },
              { "address", address.address },
              { "reason", error.message() },
              { "remedy", "Free the address or write another one; the node goes on trying." } });
}

} // namespace

error_code listenOn(asio::ip::tcp::acceptor &acceptor, const std::string &address,
                    std::size_t receiveBufferBytes)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.has_value()) {
        return asio::error::invalid_argument;
    }
    error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        setReceiveBuffer(acceptor.native_handle(), receiveBufferBytes);
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(ListenBacklog, error);
    }
    if (error) {
        error_code ignored;
        acceptor.close(ignored);
    }
    return error;
}

bool mayListenLater(const error_code &error)
{
    namespace errc = boost::system::errc;
    constexpr std::array Passing { errc::address_in_use,      errc::address_not_available,
                                   errc::too_many_files_open, errc::too_many_files_open_in_system,
                                   errc::no_buffer_space,     errc::not_enough_memory };
    return std::any_of(Passing.begin(), Passing.end(),
                       [&](errc::errc_t passing) { return error == passing; });
}

Result<bool> checkListening(const ListenAddress &address, const error_code &error)
{
    if (error && !mayListenLater(error)) {
        return makeError(ErrorKind::InvalidSettings,
                         address.field + ": cannot listen on '" + address.address
                             + "': " + error.message(),
                         "Write IP:port with an address of this VM and a port that the process may "
                         "use, such as 127.0.0.1:8080.");
    }
    if (error) {
        logNotListening(address, error);
    }
    return !error;
}

asio::awaitable<bool> listenLater(asio::io_context &context, ListenAddress address,
                                  std::function<error_code()> listen, std::function<bool()> wanted)
{
    Instant loggedAt = std::chrono::steady_clock::now();
    for (;;) {
        co_await pauseFor(context, ListenRetryInterval);
        if (!wanted()) {
            co_return false;
        }
        const error_code error = listen();
        if (!error) {
            logLine(LogLevel::Info, "listening",
                    { { "field", address.field }, { "address", address.address } });
            co_return true;
        }
        if (std::chrono::steady_clock::now() - loggedAt >= ListenLogInterval) {
            loggedAt = std::chrono::steady_clock::now();
            logNotListening(address, error);
        }
    }
}

asio::awaitable<void> acceptConnections(asio::io_context &context,
                                        asio::ip::tcp::acceptor &acceptor,
                                        std::function<void(asio::ip::tcp::socket)> onAccept)
{
    while (acceptor.is_open()) {
        if (refillMemoryReserve() == MemoryLevel::Critical) {
            co_await pauseFor(context, AcceptRetryDelay);
            continue;
        }
        error_code error;
        asio::ip::tcp::socket socket(context);
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            logLine(LogLevel::Warning, "accept_failed", { { "reason", error.message() } });
            co_await pauseFor(context, AcceptRetryDelay);
            continue;
        }
        try {
            onAccept(std::move(socket));
        } catch (const std::exception &failure) {
            logLine(LogLevel::Error, "connection_failed",
                    { { "reason", failure.what() },
                      { "remedy", "The connection is closed; report it if it repeats." } });
        }
    }
}

asio::awaitable<void> acceptCallers(TrafficState &state, asio::ip::tcp::acceptor &acceptor,
                                    RequestSource source)
{
    return acceptConnections(state.context, acceptor,
                             [&state, source](asio::ip::tcp::socket socket) {
                                 CallerSession::start(state, std::move(socket), source);
                             });
}

void acceptLastCallers(TrafficState &state, asio::ip::tcp::acceptor &acceptor, RequestSource source)
{
    error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(state.context);
        acceptor.accept(socket, error);
        if (!error) {
            CallerSession::start(state, std::move(socket), source);
        }
    }
    acceptor.close(error);
}

} // namespace jacinthroad
