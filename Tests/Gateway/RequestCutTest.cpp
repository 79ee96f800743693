#include <chrono>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Log.h"
#include "GatewayFixture.h"

namespace jacinthroad {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(RequestCutTest)

BOOST_AUTO_TEST_CASE(requestInProgressAtTheEndOfTheProcessIsLogged)
{
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", [](ScriptedConnection &connection, const ReceivedRequest &) {
        static_cast<void>(connection.waitForClose(std::chrono::seconds(10)));
        return false;
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    asio::ip::tcp::socket caller = fixture.connect();
    asio::write(
        caller,
        asio::buffer(std::string("GET /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: cut\r\n"
                                 "Authorization: Bearer k1\r\n\r\n")));
    for (int tries = 0; tries < 500 && fixture.receivedRequests("s1").empty(); ++tries) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    BOOST_REQUIRE(fixture.receivedRequests("s1").size() == 1U);
    std::ostringstream log;
    std::streambuf *const usual = std::clog.rdbuf(log.rdbuf());
    configureLog({ .minimumLevel = LogLevel::Warning });
    fixture.gateway.reset();
    std::clog.rdbuf(usual);
    configureLog({ .minimumLevel = LogLevel::Error });
    BOOST_TEST_CONTEXT(log.str())
    {
        BOOST_TEST(log.str().find("\"event\":\"request_cut\"") != std::string::npos);
        BOOST_TEST(log.str().find("\"request_id\":\"cut\"") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
