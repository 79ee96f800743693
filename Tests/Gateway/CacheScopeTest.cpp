#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

/// Covers the reading of a changed configuration.
constexpr auto ConfigurationTime = milliseconds(1000);

/// A gateway with one engine and the teams north (key k1) and south (key k2).
struct CacheScopeFixture : GatewayFixture
{
    CacheScopeFixture()
    {
        addServer("e1", "engines",
                  [](ScriptedConnection &connection, const ReceivedRequest &request) {
                      if (request.target().starts_with("/-/")) {
                          connection.write(responseText(404, "", ""));
                          return true;
                      }
                      connection.write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
                      return true;
                  });
        configure(1, { "k1" });
        setTeams(2, {});
    }

    /// Stores a configuration in which these teams are isolated.
    void setTeams(int version, const std::vector<std::string> &isolated)
    {
        Json::Value spec = store.spec("config", "main");
        spec["version"] = version;
        spec["tenants"] = Json::Value(Json::arrayValue);
        for (const char *name : { "north", "south" }) {
            Json::Value team;
            team["name"] = name;
            team["apiKeys"].append(name == std::string("north") ? "k1" : "k2");
            team["isolated"] = std::find(isolated.begin(), isolated.end(), name) != isolated.end();
            spec["tenants"].append(team);
        }
        store.put("config", "main", spec);
    }

    /// Returns the salt under which the engine caches the parts of a request with this key.
    std::string salt(const std::string &key)
    {
        const auto response = call("POST", "/stream/a", "prompt",
                                   "Authorization: Bearer " + key
                                       + "\r\nX-Model: m\r\nX-Prompt-Prefix: aa:100,bb:50\r\n");
        BOOST_REQUIRE(response != nullptr);
        BOOST_REQUIRE(response->result_int() == 200U);
        return std::string(receivedRequests("e1").back()["X-Cache-Salt"]);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CacheScopeTest)

// Other teams went on using the parts that a team had made before it became isolated.
BOOST_FIXTURE_TEST_CASE(partsOfATeamThatBecomesIsolatedAreOutOfReachOfOthers, CacheScopeFixture)
{
    start();
    const std::string shared = salt("k1");
    BOOST_TEST(salt("k2") == shared);
    setTeams(3, { "north" });
    std::this_thread::sleep_for(ConfigurationTime);
    BOOST_TEST(salt("k1") != shared);
    const std::string others = salt("k2");
    BOOST_TEST(others != shared);
    BOOST_TEST(others != salt("k1"));
    gateway.reset();
    start();
    BOOST_TEST(salt("k2") == others);
}

// A second change must not lead back to parts that a team isolated by then has made.
BOOST_FIXTURE_TEST_CASE(partsStayApartThroughSeveralChangesOfIsolation, CacheScopeFixture)
{
    start();
    const std::string none = salt("k2");
    setTeams(3, { "north" });
    setTeams(4, { "south" });
    std::this_thread::sleep_for(ConfigurationTime);
    const std::string southIsolated = salt("k1");
    BOOST_TEST(southIsolated != none);
    setTeams(5, { "north", "south" });
    std::this_thread::sleep_for(ConfigurationTime);
    for (const std::string &earlier : { none, southIsolated }) {
        BOOST_TEST(salt("k1") != earlier);
    }
    BOOST_TEST(salt("k1") != salt("k2"));
    // South made no part under this salt while it was isolated.
    setTeams(6, { "south" });
    std::this_thread::sleep_for(ConfigurationTime);
    BOOST_TEST(salt("k1") == southIsolated);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
