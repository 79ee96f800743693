#include <boost/test/unit_test.hpp>

#include "Fleet/RouteTable.h"

namespace jacinthroad {

namespace {

Route routeTo(std::string host, std::string prefix, std::string service)
{
    return { .name = prefix,
             .host = std::move(host),
             .prefix = std::move(prefix),
             .services = { { .service = ServiceId(std::move(service)) } } };
}

RouteTable sampleTable()
{
    return RouteTable(
        { .version = 7,
          .routes
          = { routeTo("a.example", "/v1/", "engines"), routeTo("a.example", "/v1/stock/", "stock"),
              routeTo("b.example", "/", "other") },
          .teams = { { .name = TeamId("north"), .keys = { "k1", "k2" } },
                     { .name = TeamId("south"), .keys = { "k3" }, .isolated = true } } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteTableTest)

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    const RouteTable table = sampleTable();
    BOOST_TEST(table.route("a.example", "/v1/stock/3")->prefix == "/v1/stock/");
    BOOST_TEST(table.route("a.example", "/v1/stocks")->prefix == "/v1/");
    BOOST_TEST(table.route("b.example", "/v1/stock/3")->prefix == "/");
    BOOST_TEST(table.route("a.example", "/v2/") == nullptr);
    BOOST_TEST(table.route("c.example", "/v1/") == nullptr);
}

BOOST_AUTO_TEST_CASE(keyMapsToItsTeam)
{
    const RouteTable table = sampleTable();
    BOOST_TEST(table.team("k2")->name.text() == "north");
    BOOST_TEST(table.team("k3")->isolated);
    BOOST_TEST(table.team("k") == nullptr);
    BOOST_TEST(table.team("") == nullptr);
}

// Parts in the shared scope may come from any team that wasn't isolated when they were made.
BOOST_AUTO_TEST_CASE(sharedScopeIsUsedOnlyByTeamsOutsideTheSameIsolatedOnes)
{
    const auto scope = [](const std::vector<FleetTeam> &teams, const char *team) {
        return RouteTable(FleetConfiguration { .teams = teams }).cacheScope(TeamId(team));
    };
    const FleetTeam north { .name = TeamId("north"), .isolated = true };
    const FleetTeam south { .name = TeamId("south"), .isolated = true };
    BOOST_TEST(scope({}, "east") == "");
    BOOST_TEST(scope({ north }, "east") != "");
    BOOST_TEST(scope({ north }, "east") == scope({ north }, ""));
    BOOST_TEST(scope({ north }, "east") != scope({ south }, "east"));
    BOOST_TEST(scope({ north, south }, "east") == scope({ south, north }, "east"));
    BOOST_TEST(scope({ north }, "north") == scope({ north, south }, "north"));
    // The name of a team can't lead into the shared scope.
    const std::string shared = scope({ north }, "east");
    const FleetTeam imitator { .name = TeamId(shared), .isolated = true };
    BOOST_TEST(scope({ imitator }, shared.c_str()) != shared);
}

BOOST_AUTO_TEST_CASE(splitFollowsTheWeights)
{
    const Route route { .services = { { .service = ServiceId("a"), .weight = 90 },
                                      { .service = ServiceId("b"), .weight = 10 },
                                      { .service = ServiceId("never"), .weight = 0 } } };
    constexpr std::uint64_t Draws = 1000;
    constexpr std::uint64_t Step = UINT64_MAX / Draws;
    unsigned toB = 0;
    for (std::uint64_t draw = 0; draw < Draws; ++draw) {
        const ServiceId *service = RouteTable::target(route, draw * Step);
        BOOST_REQUIRE(service != nullptr);
        BOOST_TEST(service->text() != "never");
        toB += service->text() == "b" ? 1 : 0;
    }
    BOOST_TEST(toB >= 95);
    BOOST_TEST(toB <= 105);
    const Route none { .services = { { .service = ServiceId("a"), .weight = 0 } } };
    BOOST_TEST(RouteTable::target(none, 5) == nullptr);
}

BOOST_AUTO_TEST_CASE(onlySafeAndResumableRoutesAreRetryable)
{
    BOOST_TEST((Route { .kind = RouteKind::Safe }).retryable());
    BOOST_TEST(!(Route { .kind = RouteKind::Unsafe }).retryable());
    BOOST_TEST(!(Route { .kind = RouteKind::Streaming }).retryable());
    BOOST_TEST((Route { .kind = RouteKind::Streaming, .resumable = true }).retryable());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
