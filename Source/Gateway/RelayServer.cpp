#include "Gateway/RelayServer.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "Gateway/BootClock.h"
#include "Gateway/Listener.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without acknowledgements after which TCP closes a connection.
constexpr Duration RelayTcpTimeout = milliseconds(2500);
constexpr std::uint32_t MaxQueryHeaderBytes = 4096;

} // namespace

RelayServer::RelayServer(asio::io_context &context, GatewayMetrics &metrics)
    : context_(context)
    , metrics_(metrics)
{ }

void RelayServer::add(platform::ObjectKind kind, const RelayLog &log)
{
    logs_[kind] = &log;
}

asio::awaitable<void> RelayServer::serve(asio::ip::tcp::acceptor &acceptor)
{
    return acceptConnections(context_, acceptor, [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(context_, serveConnection(std::move(socket)), logFailure("relay"));
    });
}

void RelayServer::noteNews(platform::ObjectKind kind)
{
    for (asio::steady_timer *timer : waiting_[kind]) {
        timer->cancel();
    }
}

asio::awaitable<void> RelayServer::serveConnection(asio::ip::tcp::socket socket)
{
    setTcpTimeout(socket, RelayTcpTimeout);
    boost::beast::flat_buffer buffer;
    error_code error;
    for (;;) {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(MaxQueryHeaderBytes);
        co_await http::async_read(socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const auto &request = parser.get();
        http::response<http::string_body> response;
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        const auto query
            = parseRelayTarget(std::string_view(request.target().data(), request.target().size()));
        const auto log = query.has_value() ? logs_.find(query->kind) : logs_.end();
        if (log == logs_.end()) {
            response.result(http::status::bad_request);
            metrics_.countRelayQuery("malformed");
        } else {
            co_await waitForChanges(*query, *log->second);
            const bool filled = log->second->filled();
            response.result(filled ? http::status::ok : http::status::service_unavailable);
            if (filled) {
                response.body()
                    = encodeRelayedChanges(log->second->changesAfter(query->position, bootNow()));
            }
            metrics_.countRelayQuery(filled ? "answered" : "nothing_yet");
        }
        response.prepare_payload();
        co_await http::async_write(socket, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error || !response.keep_alive()) {
            co_return;
        }
    }
}

asio::awaitable<void> RelayServer::waitForChanges(RelayQuery query, const RelayLog &log)
{
    if (log.hasChanges(query.position)) {
        co_return;
    }
    asio::steady_timer timer(context_);
    timer.expires_after(query.wait);
    waiting_[query.kind].insert(&timer);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    waiting_[query.kind].erase(&timer);
}

} // namespace jacinthroad
