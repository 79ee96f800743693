#include <atomic>
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
    SessionFixture()
        : server([this](ScriptedConnection &connection) {
            ReceivedRequest request;
            while (connection.read(request)) {
                ++requestsAtServer;
                if (!serverResponds) {
                    serverSawClose = connection.waitForClose(ServerWait);
                    return;
                }
                connection.write(validResponse(request));
            }
        })
        , state(context, settings, metrics)
        , caller(callerContext)
    {
        auto configuration = platform::readConfiguration(*parseJson(
            R"({"version":1,"routes":[{"name":"unsafe","hostname":"h","pathPrefix":"/unsafe/",
                "kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,
                "service":"plain","maxAttempts":1}],
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
        auto session = std::make_shared<CallerSession>(state, acceptor.accept(context));
        asio::co_spawn(
            context, [session] { return session->run(); }, asio::detached);
    }

    void send()
    {
        asio::write(caller,
                    asio::buffer(std::string("POST /unsafe/a HTTP/1.1\r\nHost: h\r\n"
                                             "X-Request-Id: r1\r\nContent-Length: 2\r\n\r\nab")));
    }

    /// Runs the event loop for a while and returns what the caller has received.
    std::string run(Duration time)
    {
        context.restart();
        context.run_for(time);
        caller.non_blocking(true);
        std::array<char, 4096> bytes {};
        error_code ignored;
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
    std::atomic<bool> serverResponds { true };
    std::atomic<bool> serverSawClose { false };
    GatewaySettings settings = makeSettings();
    asio::io_context context { 1 };
    asio::io_context callerContext;
    ScriptedServer server;
    GatewayMetrics metrics;
    TrafficState state;
    asio::ip::tcp::socket caller;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerSessionTest)

BOOST_AUTO_TEST_CASE(idleTimeoutDoesNotCloseConnectionWithRequestInProgress)
{
    SessionFixture fixture;
    BOOST_TEST(fixture.run(milliseconds(50)).empty());
    // Request and idle timeout become due in the same turn of the event loop.
    fixture.send();
    std::this_thread::sleep_for(Stall);
    const std::string received = fixture.run(milliseconds(500));
    BOOST_TEST(fixture.requestsAtServer == 1U);
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(requestOfDisconnectedCallerIsNotSent)
{
    SessionFixture fixture;
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(200)).starts_with("HTTP/1.1 200"));
    // The request and the close arrive while the event loop stands still.
    fixture.send();
    fixture.closeCaller(milliseconds(200));
    BOOST_TEST(fixture.requestsAtServer == 1U);
}

BOOST_AUTO_TEST_CASE(disconnectBehindPipelinedRequestEndsAttempt)
{
    SessionFixture fixture;
    fixture.serverResponds = false;
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(100)).empty());
    fixture.send();
    BOOST_TEST(fixture.run(milliseconds(100)).empty());
    fixture.closeCaller(milliseconds(300));
    BOOST_TEST(fixture.requestsAtServer == 1U);
    BOOST_TEST(fixture.serverSawClose.load());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
