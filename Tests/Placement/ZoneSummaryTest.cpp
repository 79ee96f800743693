#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/ServerPool.h"

namespace jacinthroad {

namespace {

constexpr Instant Start { std::chrono::seconds(1000) };

ListedServer server(const std::string &id)
{
    return { .id = ServerId(id),
             .service = ServiceId("engines"),
             .address = "10.0.0.1:1",
             .zone = ZoneId("z1"),
             .slots = 16,
             .models = { { ModelId("m"), 1 } },
             .bootedAt = 1 };
}

ServerPool poolWith(unsigned servers)
{
    ServerPool pool({ .zone = ZoneId("z1") });
    for (unsigned index = 0; index < servers; ++index) {
        pool.applyServer(server("s" + std::to_string(index)), Start);
    }
    return pool;
}

ServerUpdate load(const std::string &id, std::uint32_t inFlight, std::uint32_t tokens)
{
    return { .server = ServerId(id), .inFlight = inFlight, .pendingPrefillTokens = tokens };
}

std::string chosen(const ServerPool &pool, Instant now)
{
    const auto result
        = pool.choose({ .service = ServiceId("engines"), .model = ModelId("m") }, now);
    return std::get<Placement>(result).server.text();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneSummaryTest)

BOOST_AUTO_TEST_CASE(loadsOfNodesAreSummedAndThoseOfOtherZonesAreNot)
{
    ServerPool pool = poolWith(1);
    pool.applyPeer("front-1", std::vector { load("s0", 2, 100) }, Start);
    pool.applyPeer("front-2", std::vector { load("s0", 3, 200) }, Start);
    pool.applyPeer(zonePeerName("z2"), std::vector { load("s0", 40, 4000) }, Start,
                   PeerScope::Zone);
    const std::vector<ServerUpdate> summary = pool.takeZoneSummary(Start, 1400);
    BOOST_REQUIRE(summary.size() == 1U);
    BOOST_TEST(summary.front().inFlight == 5U);
    BOOST_TEST(summary.front().pendingPrefillTokens == 300U);
}

BOOST_AUTO_TEST_CASE(endOfALoadIsReportedOnce)
{
    ServerPool pool = poolWith(1);
    pool.applyPeer("front-1", std::vector { load("s0", 2, 100) }, Start);
    BOOST_TEST(pool.takeZoneSummary(Start, 1400).size() == 1U);
    pool.applyPeer("front-1", std::vector { load("s0", 0, 0) }, Start);
    const std::vector<ServerUpdate> summary = pool.takeZoneSummary(Start, 1400);
    BOOST_REQUIRE(summary.size() == 1U);
    BOOST_TEST(summary.front().inFlight == 0U);
    BOOST_TEST(pool.takeZoneSummary(Start, 1400).empty());
}

BOOST_AUTO_TEST_CASE(allServersFollowInTurnWhenOneSummaryIsTooSmall)
{
    constexpr unsigned Servers = 252;
    ServerPool pool = poolWith(Servers);
    std::vector<ServerUpdate> loads;
    for (unsigned index = 0; index < Servers; ++index) {
        loads.push_back(load("s" + std::to_string(index), 1, 10));
    }
    std::set<std::string> reported;
    unsigned rounds = 0;
    for (Instant now = Start; reported.size() < Servers && rounds < 20;
         now += milliseconds(300), ++rounds) {
        pool.applyPeer("front-1", loads, now);
        for (const ServerUpdate &update : pool.takeZoneSummary(now, 1400)) {
            reported.insert(update.server.text());
        }
    }
    BOOST_TEST(reported.size() == Servers);
    BOOST_TEST(rounds <= 6U);
}

BOOST_AUTO_TEST_CASE(limitOfAServerWithoutLoadIsReported)
{
    ServerPool pool = poolWith(2);
    ServerUpdate limited = load("s0", 0, 0);
    limited.limitPerThousandSeconds = 2000;
    limited.limitAgeMs = 50;
    const Instant now = Start + milliseconds(100);
    pool.applyPeer("front-1", std::vector { limited }, now);
    const std::vector<ServerUpdate> summary = pool.takeZoneSummary(now, 1400);
    BOOST_REQUIRE(summary.size() == 1U);
    BOOST_TEST(summary.front().limitPerThousandSeconds == 2000U);
    BOOST_TEST(summary.front().limitAgeMs != NoLimitReport);
}

BOOST_AUTO_TEST_CASE(summaryOfAnotherZoneKeepsWorkOffALoadedServer)
{
    ServerPool pool = poolWith(2);
    pool.applyPeer(zonePeerName("z2"), std::vector { load("s0", 16, 60'000) }, Start,
                   PeerScope::Zone);
    BOOST_TEST(chosen(pool, Start + milliseconds(300)) == "s1");
    pool.applyPeer(zonePeerName("z2"), std::vector { load("s0", 0, 0), load("s1", 16, 60'000) },
                   Start + milliseconds(300), PeerScope::Zone);
    BOOST_TEST(chosen(pool, Start + milliseconds(400)) == "s0");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
