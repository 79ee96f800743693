#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include <unistd.h>

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
    const std::unique_ptr<std::FILE, decltype(&std::fclose)> file(std::tmpfile(), &std::fclose);
    const int usual = dup(STDERR_FILENO);
    dup2(fileno(file.get()), STDERR_FILENO);
    configureLog({ .minimumLevel = LogLevel::Warning });
    fixture.gateway.reset();
    dup2(usual, STDERR_FILENO);
    close(usual);
    configureLog({ .minimumLevel = LogLevel::Error });
    std::rewind(file.get());
    std::array<char, 65536> text {};
    const std::size_t size = std::fread(text.data(), 1, text.size(), file.get());
    const std::string log(text.data(), size);
    BOOST_TEST_CONTEXT(log)
    {
        BOOST_TEST(log.find("\"event\":\"request_cut\"") != std::string::npos);
        BOOST_TEST(log.find("\"request_id\":\"cut\"") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
