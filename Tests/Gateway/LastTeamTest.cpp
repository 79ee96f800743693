#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

/// Covers the reading of a changed configuration.
constexpr auto ConfigurationTime = milliseconds(1000);

struct LastTeamFixture : GatewayFixture
{
    LastTeamFixture()
    {
        addServer("s1", "plain",
                  [](ScriptedConnection &connection, const ReceivedRequest &request) {
                      connection.write(validResponse(request));
                      return true;
                  });
        configure(1, { "k1" });
    }

    /// Stores a configuration whose list of teams is empty.
    void removeAllTeams(int version)
    {
        Json::Value spec = store.spec("config", "main");
        spec["version"] = version;
        spec["tenants"] = Json::Value(Json::arrayValue);
        store.put("config", "main", spec);
    }

    unsigned status(const std::string &headers)
    {
        const auto response = call("POST", "/unsafe/a", "x", headers);
        return response == nullptr ? 0 : response->result_int();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LastTeamTest)

// Taking away the last team opened all routes to everybody.
BOOST_FIXTURE_TEST_CASE(keysStayRequiredWhenTheLastTeamIsRemoved, LastTeamFixture)
{
    start();
    BOOST_TEST(status("Authorization: Bearer k1\r\n") == 200U);
    removeAllTeams(2);
    std::this_thread::sleep_for(ConfigurationTime);
    const auto checkAllRefused = [this] {
        for (const char *headers :
             { "Authorization: Bearer k1\r\n", "Authorization: Bearer never\r\n", "" }) {
            BOOST_TEST(status(headers) == 401U);
        }
    };
    checkAllRefused();
    // A node that starts knows only the present configuration.
    gateway.reset();
    start();
    checkAllRefused();
    removeAllTeams(3);
    std::this_thread::sleep_for(ConfigurationTime);
    checkAllRefused();
    BOOST_TEST(receivedRequests("s1").size() == 1U);
    configure(4, { "k2" });
    std::this_thread::sleep_for(ConfigurationTime);
    BOOST_TEST(status("Authorization: Bearer k2\r\n") == 200U);
    BOOST_TEST(status("Authorization: Bearer k1\r\n") == 401U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
