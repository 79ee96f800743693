#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/BootClock.h"
#include "Gateway/CallerSession.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Longer than the idle timeout with every margin that a session may add.
constexpr Duration Stall = milliseconds(1000);
/// How long a server that sends no response waits for the close of its connection.
constexpr milliseconds ServerWait { 1000 };

/// A session on a loopback connection whose event loop runs only while the test runs it, so that a
/// test can stall the traffic thread.
class SessionFixture
{
public:
    /// Responds to one request on behalf of the backend server.
    using Handler = std::function<void(ScriptedConnection &, const ReceivedRequest &)>;

    explicit SessionFixture(Handler handler = respondOk)
        : server([this, handler = std::move(handler)](ScriptedConnection &connection) {
            ReceivedRequest request;
            while (connection.read(request)) {
                ++requestsAtServer;
                handler(connection, request);
            }
        })
        , state(context, settings, metrics)
        , caller(callerContext)
        , accepted(context)
    {
        auto configuration = platform::readConfiguration(*parseJson(
            R"({"version":1,"routes":[{"name":"unsafe","hostname":"h","pathPrefix":"/unsafe/",
                "kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,
                "service":"plain","maxAttempts":1},
                {"name":"once","hostname":"h","pathPrefix":"/once/",
                "kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,"priority":1,
                "service":"plain","maxAttempts":1,"resumable":false}],
                "services":[{"name":"plain"}],"tenants":[],
                "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":1000,
                "idleTimeoutMs":200}})"));
        BOOST_REQUIRE(configuration.has_value());
        state.applyConfiguration(std::make_shared<const RouteTable>(std::move(*configuration)));
        state.freshness.confirm(bootNow());
        state.applyServers({ { .id = ServerId("s1"),
                               .service = ServiceId("plain"),
                               .address = server.address() } },
                           std::chrono::steady_clock::now());
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        caller.connect(acceptor.local_endpoint());
        accepted = acceptor.accept(context);
    }

    static void respondOk(ScriptedConnection &connection, const ReceivedRequest &request)
    {
        connection.write(validResponse(request));
    }

    void startSession()
    {
        auto session = std::make_shared<CallerSession>(state, std::move(accepted));
        asio::co_spawn(
            context, [session] { return session->run(); }, asio::detached);
    }

    /// Starts an exchange without a session; its result is stored in `result`.
    void startExchange(const std::string &target, std::optional<ExchangeResult> &result,
                       const std::string &deadlineMs = "3000")
    {
        HttpRequest request { boost::beast::http::verb::post, target, 11 };
        request.set("X-Deadline-Ms", deadlineMs);
        request.set(boost::beast::http::field::host, "h");
        request.set("X-Request-Id", "r1");
        exchange = std::make_unique<Exchange>(state, accepted, std::move(request),
                                              std::chrono::steady_clock::now());
        asio::co_spawn(
            context, exchange->run(),
            [&result](const std::exception_ptr &, ExchangeResult end) { result = std::move(end); });
    }

    void send()
    {
        asio::write(caller,
                    asio::buffer(std::string("POST /unsafe/a HTTP/1.1\r\nHost: h\r\n"
                                             "X-Request-Id: r1\r\nContent-Length: 2\r\n\r\nab")));
    }

    /// Runs the event loop until the exchange connects to the server, then stalls it for a while.
    void stallWhileConnecting(Duration time)
    {
        while (metrics.render().find("jacinthroad_server_connects_total 1") == std::string::npos) {
            context.poll_one();
        }
        std::this_thread::sleep_for(time);
    }

    /// Runs the event loop for a while and returns what the caller has received.
    std::string run(Duration time)
    {
        context.restart();
        context.run_for(time);
        error_code ignored;
        caller.non_blocking(true, ignored);
        std::array<char, 4096> bytes {};
        return { bytes.data(), caller.read_some(asio::buffer(bytes), ignored) };
    }

    /// Closes the caller's connection and runs the event loop for a while.
    void closeCaller(Duration time)
    {
        caller.close();
        context.restart();
        context.run_for(time);
    }

    static GatewaySettings makeSettings()
    {
        GatewaySettings made;
        made.name = "front-1";
        made.keyRevocation = std::chrono::seconds(30);
        made.weightsLimit = std::chrono::seconds(15);
        made.retryWindow = std::chrono::seconds(10);
        return made;
    }

    std::atomic<unsigned> requestsAtServer { 0 };
    GatewaySettings settings = makeSettings();
    asio::io_context context { 1 };
    asio::io_context callerContext;
    ScriptedServer server;
    GatewayMetrics metrics;
    TrafficState state;
    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket accepted;
    std::unique_ptr<Exchange> exchange;
};

/// How long the backend server of some tests takes to respond.
constexpr Duration ServerDelay = milliseconds(150);

} // namespace

BOOST_AUTO_TEST_SUITE(CallerSessionTest)

BOOST_AUTO_TEST_CASE(idleTimeoutDoesNotCloseConnectionWithRequestInProgress)
{
    SessionFixture fixture;
    fixture.startSession();
    BOOST_TEST(fixture.run(milliseconds(50)).empty());
    // Request and idle timeout become due in the same turn of the event loop.
    fixture.send();
    std::this_thread::sleep_for(Stall);
    const std::string received = fixture.run(milliseconds(500));
    BOOST_TEST(fixture.requestsAtServer == 1U);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(responseThatCannotBeWrittenIsNotLoggedAsAnswered)
{
    SessionFixture fixture([](ScriptedConnection &connection, const ReceivedRequest &request) {
        std::this_thread::sleep_for(ServerDelay);
        connection.write(validResponse(request));
    });
    std::optional<ExchangeResult> result;
    fixture.startExchange("/unsafe/a", result);
    static_cast<void>(fixture.run(milliseconds(50)));
    fixture.accepted.close();
    static_cast<void>(fixture.run(milliseconds(500)));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(fixture.requestsAtServer == 1U);
    BOOST_TEST(result->outcome == "not_delivered");
    BOOST_TEST(result->status == 0);
    BOOST_TEST(!result->connectionReusable);
    BOOST_TEST(fixture.metrics.render().find("{outcome=\"not_delivered\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refusalThatCannotBeWrittenIsNotLoggedUnderItsName)
{
    SessionFixture fixture;
    std::optional<ExchangeResult> result;
    fixture.accepted.close();
    fixture.startExchange("/nowhere/", result);
    static_cast<void>(fixture.run(milliseconds(100)));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->outcome == "not_delivered");
    BOOST_TEST(result->status == 0);
}

BOOST_AUTO_TEST_CASE(streamThatCannotBeWrittenIsNotLoggedAsLeftByCaller)
{
    SessionFixture fixture([](ScriptedConnection &connection, const ReceivedRequest &request) {
        connection.write(streamHead(request) + chunk(event(1)));
        std::this_thread::sleep_for(ServerDelay);
        connection.write(chunk(event(2)) + "0\r\n\r\n");
    });
    std::optional<ExchangeResult> result;
    fixture.startExchange("/once/a", result);
    const std::string received = fixture.run(milliseconds(50));
    BOOST_TEST(received.find("token 1") != std::string::npos);
    fixture.accepted.close();
    static_cast<void>(fixture.run(milliseconds(500)));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->outcome == "not_delivered");
}

BOOST_AUTO_TEST_CASE(connectTimeoutDoesNotEndRequestThatWasSentAfterStall)
{
    SessionFixture fixture([](ScriptedConnection &connection, const ReceivedRequest &request) {
        std::this_thread::sleep_for(ServerDelay);
        connection.write(validResponse(request));
    });
    std::optional<ExchangeResult> result;
    fixture.startExchange("/unsafe/a", result);
    fixture.stallWhileConnecting(milliseconds(600));
    const std::string received = fixture.run(milliseconds(500));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(fixture.requestsAtServer == 1U);
    BOOST_TEST(result->outcome == "answered");
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(requestIsNotSentAfterStallOverItsDeadline)
{
    SessionFixture fixture;
    std::optional<ExchangeResult> result;
    fixture.startExchange("/unsafe/a", result, "300");
    fixture.stallWhileConnecting(milliseconds(600));
    const std::string received = fixture.run(milliseconds(500));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(fixture.requestsAtServer == 0U);
    BOOST_TEST(result->outcome == "deadline_unreachable");
    BOOST_TEST(received.starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_CASE(requestOfDisconnectedCallerIsNotSent)
{
    SessionFixture fixture;
    fixture.startSession();
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(200)).starts_with("HTTP/1.1 200"));
    // The request and the close arrive while the event loop stands still.
    fixture.send();
    fixture.closeCaller(milliseconds(200));
    BOOST_TEST(fixture.requestsAtServer == 1U);
}

BOOST_AUTO_TEST_CASE(disconnectBehindPipelinedRequestEndsAttempt)
{
    std::atomic<bool> serverSawClose { false };
    SessionFixture fixture([&](ScriptedConnection &connection, const ReceivedRequest &) {
        serverSawClose = connection.waitForClose(ServerWait);
    });
    fixture.startSession();
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(100)).empty());
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(100)).empty());
    fixture.closeCaller(milliseconds(300));
    BOOST_TEST(fixture.requestsAtServer == 1U);
    BOOST_TEST(serverSawClose.load());
}

BOOST_AUTO_TEST_CASE(connectionThatWaitsForCallerToReadResponseCountsAsActive)
{
    SessionFixture fixture;
    fixture.startSession();
    fixture.state.draining = true;
    fixture.state.drainingSince = std::chrono::steady_clock::now();
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(50)).starts_with("HTTP/1.1 200"));
    BOOST_TEST(fixture.state.activeRequests() == 1U);
    fixture.caller.close();
    static_cast<void>(fixture.run(milliseconds(50)));
    BOOST_TEST(fixture.state.activeRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(requestThatIsBeingReadCountsAsActive)
{
    SessionFixture fixture;
    fixture.startSession();
    static_cast<void>(fixture.run(milliseconds(20)));
    BOOST_TEST(fixture.state.activeRequests() == 0U);
    asio::write(fixture.caller, asio::buffer(std::string("POST /unsafe/a HTTP/1.1\r\n")));
    static_cast<void>(fixture.run(milliseconds(20)));
    BOOST_TEST(fixture.state.activeRequests() == 1U);
    fixture.caller.close();
    static_cast<void>(fixture.run(milliseconds(20)));
    BOOST_TEST(fixture.state.activeRequests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
