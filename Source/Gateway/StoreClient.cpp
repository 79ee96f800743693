#include "Gateway/StoreClient.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "Gateway/BootClock.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Silence after which TCP gives a connection to the store up.
constexpr Duration StoreSilence = milliseconds(2500);
/// A page of a list is about a megabyte; twice that is never sent.
constexpr std::uint64_t MostAnswerBytes = 8 * 1024 * 1024;

std::string_view statusName(platform::StoreStatus status)
{
    switch (status) {
    case platform::StoreStatus::Done:
        return "done";
    case platform::StoreStatus::Missing:
        return "missing";
    case platform::StoreStatus::Conflict:
        return "conflict";
    case platform::StoreStatus::HistoryGone:
        return "history_gone";
    case platform::StoreStatus::TurnedAway:
        return "turned_away";
    case platform::StoreStatus::Faulty:
        break;
    }
    return "faulty";
}

tl::unexpected<Error> unavailable(const std::string &reason)
{
    return makeError(ErrorKind::PlatformUnavailable, "the store did not answer: " + reason);
}

} // namespace

struct StoreClient::Connection
{
    explicit Connection(asio::io_context &context)
        : socket(context)
        , timer(context)
    { }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
};

StoreClient::StoreClient(asio::io_context &context, const std::string &address,
                         GatewayMetrics &metrics)
    : context_(context)
    , address_(address)
    , metrics_(metrics)
{ }

StoreClient::~StoreClient() = default;

asio::awaitable<Result<StoreReply>> StoreClient::call(platform::Call call, Duration timeout)
{
    std::shared_ptr<Connection> connection;
    while (connection == nullptr && !idle_.empty()) {
        connection = std::move(idle_.back());
        idle_.pop_back();
        if (peek(connection->socket) != PeekResult::Nothing) {
            connection = nullptr;
        }
    }
    if (connection == nullptr) {
        connection = std::make_shared<Connection>(context_);
    }
    auto reply = co_await converse(connection, std::move(call), timeout);
    connection->timer.cancel();
    metrics_.countStoreCall(reply.has_value() ? std::string(statusName(reply->status))
                                              : std::string("unanswered"));
    co_return reply;
}

asio::awaitable<Result<StoreReply>> StoreClient::converse(std::shared_ptr<Connection> connection,
                                                          platform::Call call, Duration timeout)
{
    connection->timer.expires_after(timeout);
    connection->timer.async_wait([connection](error_code error) {
        if (!error) {
            error_code ignored;
            connection->socket.close(ignored);
        }
    });
    error_code error;
    if (!connection->socket.is_open()) {
        const auto endpoint = parseEndpoint(address_);
        if (!endpoint.has_value()) {
            co_return unavailable("address '" + address_ + "' is not IP:port");
        }
        co_await connection->socket.async_connect(
            *endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return unavailable(error.message());
        }
        watchForSilence(connection->socket, StoreSilence);
    }
    http::request<http::string_body> request(call.method, call.target, 11);
    request.set(http::field::host, address_);
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(call.body);
        request.prepare_payload();
    }
    const BootInstant sentAt = bootNow();
    co_await http::async_write(connection->socket, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable(error.message());
    }
    http::response_parser<http::string_body> answer;
    answer.body_limit(MostAnswerBytes);
    co_await http::async_read(connection->socket, connection->buffer, answer,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable(error.message());
    }
    if (answer.keep_alive() && connection->buffer.size() == 0) {
        idle_.push_back(connection);
    }
    co_return StoreReply { .status = platform::readStatus(answer.get().result_int()),
                           .body = std::move(answer.get().body()),
                           .sentAt = sentAt };
}

} // namespace jacinthroad
