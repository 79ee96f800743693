#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include "UnreachableServer.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Longer than the time after which a node takes a server for unresponsive, shorter than the time
/// after which callers abandon a stream.
constexpr milliseconds Silence { 1500 };
constexpr const char *Headers = "Authorization: Bearer k1\r\nX-Model: m\r\n";

/// Two engines. The first request runs on one of them, which falls silent and goes on; each later
/// one gets what `respondToLater` writes.
class SilentServerFixture
{
public:
    using Script = std::function<void(ScriptedConnection &, const ReceivedRequest &)>;

    SilentServerFixture(Script serveFirst, Script respondToLater)
    {
        for (const char *name : { "e1", "e2" }) {
            gateway.addServer(name, "engines",
                              [this, serveFirst, respondToLater](ScriptedConnection &connection,
                                                                 const ReceivedRequest &request) {
                                  if (request.target().starts_with("/-/")) {
                                      connection.write(responseText(404, "", ""));
                                      return true;
                                  }
                                  if (sends++ == 0) {
                                      serveFirst(connection, request);
                                  } else {
                                      respondToLater(connection, request);
                                  }
                                  return true;
                              });
        }
        gateway.configure(1, { "k1" });
        gateway.start();
    }

    std::atomic<unsigned> sends { 0 };
    GatewayFixture gateway;
};

void pauseInsideStream(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(streamHead(request) + chunk(event(1)));
    std::this_thread::sleep_for(Silence);
    connection.write(chunk(event(2)) + "0\r\n\r\n");
}

void pauseBeforeResponse(ScriptedConnection &connection, const ReceivedRequest &request)
{
    std::this_thread::sleep_for(Silence);
    connection.write(streamHead(request) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
}

void reject(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(responseText(
        503, "X-Not-Run: 1\r\nX-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n", ""));
}

void breakOff(ScriptedConnection &connection, const ReceivedRequest &)
{
    connection.reset();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SilentServerTest)

BOOST_AUTO_TEST_CASE(streamOfSilentServerIsNotCutWhenOtherServersRejectIt)
{
    SilentServerFixture fixture(pauseInsideStream, reject);
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_TEST(fixture.sends > 1U);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(streamOfSilentServerIsNotCutWhenOtherServerBreaksOff)
{
    SilentServerFixture fixture(pauseInsideStream, breakOff);
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(requestOfSilentServerIsNotRefusedWhenOtherServersRejectIt)
{
    SilentServerFixture fixture(pauseBeforeResponse, reject);
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_TEST(fixture.sends > 1U);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(response->body() == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(streamIsNotCutWhenItsServerGoesOnBeforeSlowOtherRejects)
{
    constexpr milliseconds PollInterval { 5 };
    constexpr int MaxPolls = 600;
    SilentServerFixture *servers = nullptr;
    SilentServerFixture fixture(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(streamHead(request) + chunk(event(1)));
            for (int polls = 0; polls < MaxPolls && servers->sends < 2; ++polls) {
                std::this_thread::sleep_for(PollInterval);
            }
            std::this_thread::sleep_for(milliseconds(50));
            connection.write(chunk(event(2)));
            std::this_thread::sleep_for(milliseconds(800));
            connection.write(chunk(event(3)) + "0\r\n\r\n");
        },
        [](ScriptedConnection &connection, const ReceivedRequest &request) {
            std::this_thread::sleep_for(milliseconds(600));
            reject(connection, request);
        });
    servers = &fixture;
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2) + event(3));
}

BOOST_AUTO_TEST_CASE(requestIsNotTakenFromSecondServerWhenSilentOneRejectsIt)
{
    constexpr milliseconds PollInterval { 5 };
    constexpr int MaxPolls = 600;
    SilentServerFixture *servers = nullptr;
    SilentServerFixture fixture(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            for (int polls = 0; polls < MaxPolls && servers->sends < 2; ++polls) {
                std::this_thread::sleep_for(PollInterval);
            }
            std::this_thread::sleep_for(milliseconds(50));
            reject(connection, request);
        },
        [](ScriptedConnection &connection, const ReceivedRequest &request) {
            std::this_thread::sleep_for(milliseconds(600));
            connection.write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
        });
    servers = &fixture;
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(response->body() == event(1));
}

BOOST_AUTO_TEST_CASE(requestReturnsToSilentServerThatWasGivenUpForOneThatRejectsIt)
{
    SilentServerFixture fixture(
        [](ScriptedConnection &connection, const ReceivedRequest &) {
            static_cast<void>(connection.waitForClose(milliseconds(5000)));
        },
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (fixture.sends == 2) {
                std::this_thread::sleep_for(milliseconds(600));
                reject(connection, request);
            } else {
                connection.write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
            }
        });
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_TEST(fixture.sends == 3U);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(response->body() == event(1));
}

BOOST_AUTO_TEST_CASE(streamIsNotCutWhileThirdServerIsConnectedToAfterSecondRejected)
{
    UnreachableServer third;
    SilentServerFixture *servers = nullptr;
    SilentServerFixture fixture(
        pauseInsideStream, [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            StoreStandIn &store = servers->gateway.store;
            Json::Value entry = store.spec("servers", "e1");
            entry["address"] = third.address();
            store.put("servers", "e3", entry);
            std::this_thread::sleep_for(milliseconds(200));
            reject(connection, request);
        });
    servers = &fixture;
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_TEST(fixture.sends == 2U);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(streamDoesNotRunAtSilentServerAndAtAnotherForLong)
{
    constexpr milliseconds OverlapLimit { 400 };
    using Clock = std::chrono::steady_clock;
    std::atomic<Clock::rep> closedAt { 0 };
    std::atomic<Clock::rep> sentAgainAt { 0 };
    SilentServerFixture fixture(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(streamHead(request) + chunk(event(1)));
            if (connection.waitForClose(milliseconds(5000))) {
                closedAt = Clock::now().time_since_epoch().count();
            }
        },
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            sentAgainAt = Clock::now().time_since_epoch().count();
            std::this_thread::sleep_for(2 * OverlapLimit);
            connection.write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
        });
    const auto response = fixture.gateway.call("POST", "/stream/a", "prompt", Headers);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
    BOOST_REQUIRE(closedAt != 0);
    const Clock::duration overlap(closedAt - sentAgainAt);
    BOOST_TEST(overlap < OverlapLimit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
