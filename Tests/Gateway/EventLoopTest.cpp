#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/BootClock.h"
#include "Gateway/CallerSession.h"
#include "Gateway/EventLoop.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include "platform/StoreObjects.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

GatewaySettings nodeSettings()
{
    GatewaySettings settings;
    settings.name = "front-1";
    settings.keyRevocation = std::chrono::seconds(30);
    settings.weightsLimit = std::chrono::seconds(15);
    settings.retryWindow = std::chrono::seconds(10);
    settings.stopGrace = std::chrono::seconds(8);
    return settings;
}

/// Applies a configuration with one route to a server.
void configure(TrafficState &state, const std::string &serverAddress)
{
    auto configuration = platform::readConfiguration(*parseJson(
        R"({"version":1,"routes":[{"name":"unsafe","hostname":"h","pathPrefix":"/unsafe/",
            "kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"priority":1,
            "service":"plain","maxAttempts":1}],
            "services":[{"name":"plain"}],
            "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":1000,
            "idleTimeoutMs":3000}})"));
    BOOST_REQUIRE(configuration.has_value());
    state.applyConfiguration({ .version = 1 },
                             std::make_shared<const RouteTable>(std::move(*configuration)));
    state.freshness.confirm(bootNow());
    state.applyServers(
        { { .id = ServerId("s1"), .service = ServiceId("plain"), .address = serverAddress } },
        std::chrono::steady_clock::now());
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventLoopTest)

BOOST_AUTO_TEST_CASE(handlersAfterOneThatThrowsAreRun)
{
    asio::io_context context;
    GatewayMetrics metrics;
    int run = 0;
    asio::post(context, [] { throw std::runtime_error("first"); });
    asio::post(context, [&run] { ++run; });
    asio::post(context, [] { throw 1; });
    asio::post(context, [&run] { ++run; });
    runEventLoop(context, "traffic", metrics);
    BOOST_TEST(run == 2);
    BOOST_TEST(metrics.render().find("jacinthroad_handlers_failed_total{thread=\"traffic\"} 2")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(seriesGoesOnAfterATaskThrows)
{
    asio::io_context context;
    GatewayMetrics metrics;
    int runs = 0;
    std::function<void()> schedule = [&] {
        asio::post(context, [&] {
            runThen(
                [&runs] {
                    if (++runs == 1) {
                        throw std::runtime_error("first");
                    }
                },
                [&] {
                    if (runs < 3) {
                        schedule();
                    }
                });
        });
    };
    schedule();
    runEventLoop(context, "traffic", metrics);
    BOOST_TEST(runs == 3);
    BOOST_TEST(metrics.render().find("jacinthroad_handlers_failed_total{thread=\"traffic\"} 1")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(openRequestIsAnsweredAfterAHandlerThrows)
{
    std::promise<void> arrived;
    std::promise<void> thrown;
    ScriptedServer server([&](ScriptedConnection &connection) {
        ReceivedRequest request;
        if (connection.read(request)) {
            arrived.set_value();
            thrown.get_future().wait();
            connection.write(validResponse(request));
        }
    });
    const GatewaySettings settings = nodeSettings();
    asio::io_context context { 1 };
    asio::io_context callerContext;
    GatewayMetrics metrics;
    TrafficState state(context, settings, metrics);
    configure(state, server.address());
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket caller(callerContext);
    caller.connect(acceptor.local_endpoint());
    CallerSession::start(state, acceptor.accept(context));
    const auto work = asio::make_work_guard(context);
    std::thread traffic([&] { runEventLoop(context, "traffic", metrics); });
    asio::write(caller,
                asio::buffer(std::string("POST /unsafe/a HTTP/1.1\r\nHost: h\r\n"
                                         "X-Request-Id: r1\r\nContent-Length: 2\r\n\r\nab")));
    arrived.get_future().wait();
    asio::post(context, [] { throw std::runtime_error("a change that fails"); });
    asio::post(context, [&thrown] { thrown.set_value(); });
    boost::beast::flat_buffer buffer;
    CallerResponse response;
    error_code error;
    http::read(caller, buffer, response, error);
    context.stop();
    traffic.join();
    BOOST_TEST(!error);
    BOOST_TEST(response.result_int() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
