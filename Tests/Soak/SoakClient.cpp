#include "SoakClient.h"

#include <array>
#include <thread>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Longer than the route's timeout and the longest stop of a process together.
constexpr Duration ResponseTimeout = std::chrono::seconds(10);
constexpr Duration ReconnectPause = milliseconds(20);

struct SoakRoute
{
    const char *method;
    const char *path;
    bool repeatable;
};
constexpr std::array<SoakRoute, 3> SoakRoutes {
    { { "GET", "/safe/a", true }, { "POST", "/unsafe/a", false }, { "POST", "/once/a", false } }
};

} // namespace

std::string soakResponseBody(const std::string &requestId)
{
    return "data: " + requestId + "\n\n";
}

SoakClient::SoakClient(std::string name, std::vector<std::shared_ptr<NodeProcess>> nodes,
                       Duration longestPause, std::uint64_t seed)
    : name_(std::move(name))
    , nodes_(std::move(nodes))
    , longestPause_(longestPause)
    , random_(seed)
{ }

bool SoakClient::connect()
{
    buffer_.clear();
    node_ = nodes_[random_() % nodes_.size()];
    socket_ = std::make_unique<asio::ip::tcp::socket>(context_);
    error_code error;
    socket_->connect(*parseEndpoint(node_->callerAddress()), error);
    if (error) {
        socket_ = nullptr;
        return false;
    }
    socket_->set_option(asio::ip::tcp::no_delay(true), error);
    return true;
}

void SoakClient::run(const std::atomic<bool> &stopping)
{
    while (!stopping) {
        if (socket_ == nullptr && !connect()) {
            std::this_thread::sleep_for(ReconnectPause);
            continue;
        }
        sendRequest();
        const auto pause = std::chrono::duration_cast<milliseconds>(longestPause_).count();
        // Short pauses are more frequent than long ones.
        const auto part = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(pause));
        std::this_thread::sleep_for(milliseconds(part * part / pause));
    }
}

void SoakClient::sendRequest()
{
    const SoakRoute &route = SoakRoutes[random_() % SoakRoutes.size()];
    const std::string id = name_ + "-" + std::to_string(records_.size());
    std::string text = std::string(route.method) + " " + route.path
        + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\n";
    text += route.repeatable ? "\r\n" : "Content-Length: 2\r\n\r\nab";
    const unsigned killsBefore = node_->kills();
    CallerRecord record { .id = id,
                          .node = node_->name(),
                          .sentAt = std::chrono::steady_clock::now(),
                          .repeatable = route.repeatable };
    error_code error;
    asio::write(*socket_, asio::buffer(text), error);
    if (error) {
        record.outcome = CallerOutcome::ConnectionClosed;
        socket_ = nullptr;
    } else {
        receive(record);
    }
    record.nodeKilled = node_->kills() != killsBefore;
    records_.push_back(record);
}

void SoakClient::receive(CallerRecord &record)
{
    http::response_parser<http::string_body> parser;
    error_code result = asio::error::would_block;
    http::async_read(*socket_, buffer_, parser,
                     [&](error_code error, std::size_t) { result = error; });
    context_.restart();
    context_.run_for(ResponseTimeout);
    if (result == asio::error::would_block) {
        record.outcome = CallerOutcome::TimedOut;
        socket_->close(result);
        context_.run();
        socket_ = nullptr;
        return;
    }
    if (result) {
        record.outcome = CallerOutcome::ConnectionClosed;
        socket_ = nullptr;
        return;
    }
    record.outcome = CallerOutcome::Answered;
    record.status = static_cast<int>(parser.get().result_int());
    record.matches = parser.get()["X-Request-Id"] == record.id
        && parser.get().body() == soakResponseBody(record.id);
    if (!parser.keep_alive()) {
        socket_ = nullptr;
    }
}

} // namespace jacinthroad
