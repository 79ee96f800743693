#include "Gateway/RelayServer.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "Gateway/BootClock.h"
#include "Gateway/Listener.h"
#include "Gateway/MessageParser.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/RequestReader.h"
#include "Gateway/RestartingTask.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without acknowledgements after which TCP closes a connection.
constexpr Duration RelayTcpTimeout = ShortestTcpTimeout;
constexpr std::uint32_t MaxQueryHeaderBytes = 4096;
/// Maximum number of bytes that a connection holds.
constexpr std::size_t MaxReadBytes = MaxQueryHeaderBytes + 512;
/// Time for receiving a query that has begun to arrive.
constexpr Duration QueryTimeout = std::chrono::seconds(6);
/// Time without progress after which a response is given up.
constexpr Duration ResponseTimeout = std::chrono::seconds(6);
/// The memory that responses take which aren't read is the node's divided by this.
constexpr std::size_t ResponseShareDivisor = 4;

} // namespace

RelayServer::RelayServer(asio::io_context &context, GatewayMetrics &metrics,
                         std::shared_ptr<MemoryBudget> memory)
    : context_(context)
    , metrics_(metrics)
    , memory_(std::move(memory))
    , sender_(context, memory_,
              { .object = "response to another node",
                .limits = readLimits(ResponseTimeout),
                .shareDivisor = ResponseShareDivisor })
{ }

void RelayServer::add(platform::ObjectKind kind, const RelayLog &log,
                      const RelayResponder::Options &options)
{
    passed_.emplace(kind, Passed { .responder = RelayResponder(log, options) });
}

asio::awaitable<void> RelayServer::serve(asio::ip::tcp::acceptor &acceptor)
{
    return acceptConnections(context_, acceptor, [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(context_, serveConnection(std::move(socket)), logFailure("relay"));
    });
}

void RelayServer::noteNews(platform::ObjectKind kind)
{
    for (asio::steady_timer *timer : passed_.at(kind).waiting) {
        timer->cancel();
    }
}

void RelayServer::noteExpected(platform::ObjectKind kind, std::uint64_t bytes)
{
    if (passed_.at(kind).responder.noteExpected(bytes)) {
        noteNews(kind);
    }
}

asio::awaitable<void> RelayServer::serveConnection(asio::ip::tcp::socket socket)
{
    setTcpTimeout(socket, RelayTcpTimeout);
    ReadBuffer buffer(memory_, BodyKind::Control, MaxReadBytes);
    error_code error;
    // Counts this connection among those that asked.
    std::shared_ptr<const char> presence;
    for (;;) {
        RequestParser<http::empty_body> parser;
        MemoryReservation headerMemory(memory_, BodyKind::Control);
        error = co_await readRequestWithin(context_, socket, buffer, parser, MaxQueryHeaderBytes,
                                           headerMemory, QueryTimeout);
        if (error) {
            logReadLimit("query of another node", error, buffer, socket);
            co_return;
        }
        const auto &request = parser.get();
        http::response<http::string_body> response;
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        const auto query
            = parseRelayTarget(std::string_view(request.target().data(), request.target().size()));
        const auto found = query.has_value() ? passed_.find(query->kind) : passed_.end();
        if (found == passed_.end()) {
            response.result(http::status::bad_request);
            metrics_.countRelayQuery("malformed");
        } else {
            Passed &passed = found->second;
            presence = passed.presence;
            co_await waitForNews(*query, passed);
            const BootInstant now = bootNow();
            const RelayLog &log = passed.responder.log();
            if (!log.filled()) {
                response.result(http::status::service_unavailable);
                response.body() = "it has read none yet";
                metrics_.countRelayQuery("nothing_yet");
            } else if (log.age(now) > query->maxAge) {
                response.result(http::status::service_unavailable);
                response.body() = "its objects are "
                    + std::to_string(wholeMilliseconds(log.age(now))) + " ms old";
                metrics_.countRelayQuery("too_old");
            } else {
                response.result(http::status::ok);
                response.body()
                    = encodeRelayPage(passed.responder.answer(*query, passed.followers(), now));
                metrics_.countRelayQuery("answered");
            }
        }
        response.prepare_payload();
        const bool goesOn = co_await sender_.send(socket, std::move(response));
        if (!goesOn) {
            co_return;
        }
    }
}

asio::awaitable<void> RelayServer::waitForNews(RelayQuery query, Passed &passed)
{
    if (passed.responder.hasNews(query, passed.followers())) {
        co_return;
    }
    asio::steady_timer timer(context_);
    timer.expires_after(query.wait);
    passed.waiting.insert(&timer);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    passed.waiting.erase(&timer);
}

} // namespace jacinthroad
