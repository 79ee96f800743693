#include "ScriptedServer.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

ScriptedConnection::ScriptedConnection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{ }

bool ScriptedConnection::read(http::request<http::string_body> &request)
{
    return read(request, [](const http::request_header<> &) {});
}

bool ScriptedConnection::read(
    http::request<http::string_body> &request,
    const std::function<void(const http::request_header<> &)> &behindHeader)
{
    error_code error;
    http::request_parser<http::string_body> parser;
    constexpr std::uint64_t MaxBodyBytes = 64 * 1024 * 1024;
    parser.body_limit(MaxBodyBytes);
    http::read_header(socket_, buffer_, parser, error);
    if (!error) {
        behindHeader(parser.get().base());
        http::read(socket_, buffer_, parser, error);
    }
    request = parser.release();
    return !error;
}

bool ScriptedConnection::readHeader(http::request<http::string_body> &request)
{
    error_code error;
    http::request_parser<http::string_body> parser;
    http::read_header(socket_, buffer_, parser, error);
    request = parser.get();
    return !error;
}

void ScriptedConnection::write(const std::string &bytes)
{
    error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
}

bool ScriptedConnection::waitForClose(std::chrono::milliseconds limit)
{
    pollfd state { .fd = socket_.native_handle(), .events = POLLIN, .revents = 0 };
    if (poll(&state, 1, static_cast<int>(limit.count())) != 1) {
        return false;
    }
    char byte = 0;
    return recv(socket_.native_handle(), &byte, 1, MSG_PEEK) <= 0;
}

void ScriptedConnection::endWriting()
{
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void ScriptedConnection::skip(std::chrono::milliseconds limit)
{
    std::vector<char> bytes(65536);
    pollfd state { .fd = socket_.native_handle(), .events = POLLIN, .revents = 0 };
    while (poll(&state, 1, static_cast<int>(limit.count())) == 1
           && recv(socket_.native_handle(), bytes.data(), bytes.size(), 0) > 0) { }
}

void ScriptedConnection::reset()
{
    const std::lock_guard lock(mutex_);
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void ScriptedConnection::close()
{
    const std::lock_guard lock(mutex_);
    error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void ScriptedConnection::interrupt()
{
    const std::lock_guard lock(mutex_);
    if (socket_.is_open()) {
        shutdown(socket_.native_handle(), SHUT_RDWR);
    }
}

asio::ip::tcp::acceptor listenOnReservedPort(asio::io_context &context)
{
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    for (;;) {
        const auto chosen = asio::ip::tcp::acceptor(context, any).local_endpoint();
        asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
        error_code taken;
        acceptor.bind(chosen, taken);
        if (!taken) {
            acceptor.listen();
            return acceptor;
        }
    }
}

ScriptedServer::ScriptedServer(Script script)
    : acceptor_(listenOnReservedPort(context_))
    , script_(std::move(script))
    , acceptThread_([this] { accept(); })
{ }

ScriptedServer::~ScriptedServer()
{
    stopping_ = true;
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptThread_.join();
    {
        const std::lock_guard lock(mutex_);
        for (const auto &connection : connections_) {
            connection->interrupt();
        }
    }
    for (const auto &worker : workers_) {
        worker->thread.join();
    }
}

void ScriptedServer::crash()
{
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    const std::lock_guard lock(mutex_);
    crashed_ = true;
    for (const auto &connection : connections_) {
        connection->interrupt();
    }
}

void ScriptedServer::endConnections()
{
    const std::lock_guard lock(mutex_);
    for (const auto &connection : connections_) {
        connection->interrupt();
    }
}

std::string ScriptedServer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void ScriptedServer::accept()
{
    while (!stopping_) {
        error_code error;
        asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        if (error) {
            return;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        auto connection = std::make_shared<ScriptedConnection>(std::move(socket));
        const std::lock_guard lock(mutex_);
        if (crashed_) {
            return;
        }
        connections_.push_back(connection);
        joinEnded();
        workers_.push_back(std::make_unique<Worker>());
        workers_.back()->thread = std::thread([this, connection, worker = workers_.back().get()] {
            script_(*connection);
            connection->close();
            worker->ended = true;
        });
    }
}

void ScriptedServer::joinEnded()
{
    std::erase_if(workers_, [](const std::unique_ptr<Worker> &worker) {
        if (!worker->ended) {
            return false;
        }
        worker->thread.join();
        return true;
    });
}

std::string responseText(unsigned status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace jacinthroad
