#include "Gateway/StatusServer.h"

#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "Core/Time.h"
#include "Gateway/Listener.h"
#include "Gateway/MessageParser.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/RequestReader.h"
#include "Gateway/ResponseSender.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without acknowledgements after which TCP closes a connection, and time for receiving a
/// request and for writing its response.
constexpr Duration StatusTimeout = std::chrono::seconds(6);
constexpr std::uint32_t MaxStatusHeaderBytes = 8 * 1024;
/// Maximum number of bytes that a connection holds.
constexpr std::size_t MaxReadBytes = MaxStatusHeaderBytes + 512;
/// The memory that responses take which aren't read is the node's divided by this.
constexpr std::size_t ResponseShareDivisor = 16;

struct StatusSource
{
    std::string path;
    std::function<StatusPage()> page;
    std::shared_ptr<MemoryBudget> memory;
    std::unique_ptr<ResponseSender> sender;
};

asio::awaitable<void> serveConnection(asio::io_context &context, asio::ip::tcp::socket socket,
                                      std::shared_ptr<const StatusSource> source)
{
    setTcpTimeout(socket, StatusTimeout);
    ReadBuffer buffer(source->memory, BodyKind::Control, MaxReadBytes);
    error_code error;
    for (;;) {
        RequestParser<http::empty_body> parser;
        MemoryReservation memory(source->memory, BodyKind::Control);
        error = co_await readRequestWithin(context, socket, buffer, parser, MaxStatusHeaderBytes,
                                           memory, StatusTimeout);
        if (error) {
            logReadLimit("request for " + source->path, error, buffer, socket);
            co_return;
        }
        const auto &request = parser.get();
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
        const bool goesOn = co_await source->sender->send(socket, std::move(reply));
        if (!goesOn) {
            co_return;
        }
    }
}

} // namespace

asio::awaitable<void> serveStatus(asio::io_context &context, asio::ip::tcp::acceptor &acceptor,
                                  std::shared_ptr<MemoryBudget> memory, std::string path,
                                  std::function<StatusPage()> page)
{
    auto sender = std::make_unique<ResponseSender>(
        context, memory,
        ResponseSender::Options { .object = "response for " + path,
                                  .limits = { .progress = StatusTimeout, .whole = StatusTimeout },
                                  .shareDivisor = ResponseShareDivisor });
    const auto source
        = std::make_shared<const StatusSource>(StatusSource { .path = std::move(path),
                                                              .page = std::move(page),
                                                              .memory = std::move(memory),
                                                              .sender = std::move(sender) });
    return acceptConnections(context, acceptor, [&context, source](asio::ip::tcp::socket socket) {
        asio::co_spawn(context, serveConnection(context, std::move(socket), source),
                       logFailure("status_connection"));
    });
}

} // namespace jacinthroad
