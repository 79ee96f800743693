#include <string>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(PacedResponsesTest)

// The allowance of a kept connection was used up by ten short responses a second.
BOOST_AUTO_TEST_CASE(soundResponsesOnAKeptConnectionWaitBehindOtherWork)
{
    constexpr int Calls = 300;
    GatewayFixture fixture;
    fixture.addServer("s1", "plain",
                      [](ScriptedConnection &connection, const ReceivedRequest &request) {
                          connection.write(validResponse(request, 200, std::string(800, 'x')));
                          return true;
                      });
    fixture.configure(1, { "k1" });
    fixture.start();
    for (int number = 0; number < Calls; ++number) {
        const auto response = fixture.call("POST", "/unsafe/a", "x");
        BOOST_REQUIRE(response != nullptr);
        BOOST_REQUIRE(response->result_int() == 200U);
    }
    BOOST_TEST(fixture.metricValue("jacinthroad_paced_reads").value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
