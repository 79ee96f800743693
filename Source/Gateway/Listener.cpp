#include "Gateway/Listener.h"

#include <exception>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Endpoint.h"
#include "Core/Log.h"
#include "Gateway/CallerSession.h"
#include "Gateway/Pause.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, for example when no file descriptors are left.
constexpr Duration AcceptRetryDelay = milliseconds(20);
constexpr int ListenBacklog = 1024;

} // namespace

Result<asio::ip::tcp::acceptor> openAcceptor(asio::io_context &context, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.has_value()) {
        return makeError(ErrorKind::InvalidSettings,
                         "listen address '" + address + "' is not IP:port",
                         "Write an address such as 127.0.0.1:8080.");
    }
    asio::ip::tcp::acceptor acceptor(context);
    error_code error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(ListenBacklog, error);
    }
    if (error) {
        return makeError(ErrorKind::InvalidSettings,
                         "cannot listen on " + address + ": " + error.message(),
                         "Check that the address is this VM's and that the port is free.");
    }
    return acceptor;
}

asio::awaitable<void> acceptConnections(asio::io_context &context,
                                        asio::ip::tcp::acceptor &acceptor,
                                        std::function<void(asio::ip::tcp::socket)> onAccept)
{
    while (acceptor.is_open()) {
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

asio::awaitable<void> acceptCallers(TrafficState &state, asio::ip::tcp::acceptor &acceptor)
{
    return acceptConnections(state.context, acceptor, [&state](asio::ip::tcp::socket socket) {
        CallerSession::start(state, std::move(socket));
    });
}

} // namespace jacinthroad
