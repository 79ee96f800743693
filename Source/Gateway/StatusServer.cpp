#include "Gateway/StatusServer.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "Core/Time.h"
#include "Gateway/Listener.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without data after which a status connection is closed.
constexpr Duration StatusIdleTimeout = std::chrono::seconds(6);

struct StatusSource
{
    std::string path;
    std::function<StatusPage()> page;
};

asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket,
                                      std::shared_ptr<const StatusSource> source)
{
    setTcpTimeout(socket, StatusIdleTimeout);
    boost::beast::flat_buffer buffer;
    error_code error;
    for (;;) {
        http::request<http::string_body> request;
        co_await http::async_read(socket, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        http::response<http::string_body> reply;
        reply.version(request.version());
        reply.keep_alive(request.keep_alive());
        reply.set(http::field::content_type, "text/plain; charset=utf-8");
        if (request.target().substr(0, request.target().find('?')) == source->path) {
            auto [status, text] = source->page();
            reply.result(status);
            reply.body() = std::move(text);
        } else {
            reply.result(http::status::not_found);
        }
        reply.prepare_payload();
        if (request.method() == http::verb::head) {
            reply.body().clear();
        }
        co_await http::async_write(socket, reply, asio::redirect_error(asio::use_awaitable, error));
        if (error || !reply.keep_alive()) {
            co_return;
        }
    }
}

} // namespace

asio::awaitable<void> serveStatus(asio::io_context &context, asio::ip::tcp::acceptor &acceptor,
                                  std::string path, std::function<StatusPage()> page)
{
    const auto source = std::make_shared<const StatusSource>(
        StatusSource { .path = std::move(path), .page = std::move(page) });
    return acceptConnections(context, acceptor, [&context, source](asio::ip::tcp::socket socket) {
        asio::co_spawn(context, serveConnection(std::move(socket), source),
                       logFailure("status_connection"));
    });
}

} // namespace jacinthroad
