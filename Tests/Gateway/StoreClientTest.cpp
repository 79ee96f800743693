#include <atomic>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/StoreClient.h"
#include "ScriptedServer.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(StoreClientTest)

BOOST_AUTO_TEST_CASE(lateResponseOfAnEarlierEraIsDiscarded)
{
    std::atomic<unsigned> served { 0 };
    ScriptedServer server([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            connection.write(
                responseText(200, ++served == 2 ? "Store-Era: 1\r\n" : "Store-Era: 2\r\n", "{}"));
        }
    });
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, server.address(), metrics, unlimitedMemory());
    std::vector<bool> received;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int call = 0; call < 3; ++call) {
                const auto reply = co_await client.call(
                    platform::listCall(platform::ObjectKind::Nodes, ""), milliseconds(500));
                received.push_back(reply.has_value());
            }
        },
        asio::detached);
    context.run_for(milliseconds(2000));
    BOOST_TEST((received == std::vector<bool> { true, false, true }));
    BOOST_TEST((client.era() == 2U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
