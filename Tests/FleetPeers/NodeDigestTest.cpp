#include <random>

#include <boost/test/unit_test.hpp>

#include "FleetPeers/NodeDigest.h"

namespace jacinthroad {

namespace {

NodeDigest sample()
{
    return { .node = "front-1",
             .boot = 17,
             .sequence = 3,
             .configurationVersion = 9,
             .configurationAgeMs = 250,
             .servers = { { .server = ServerId("s1"),
                            .inFlight = 4,
                            .pendingPrefillTokens = 9000,
                            .model = ModelId("m"),
                            .weights = 2,
                            .cordonedForMs = 1500,
                            .sentParts = { { 0xfedcba9876543210U, 2500 }, { 2, 6300 } },
                            .confirmedParts = { { 7, 100 } },
                            .evictedKeys = { 8, 9 } } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodeDigestTest)

BOOST_AUTO_TEST_CASE(digestSurvivesTheWay)
{
    const auto digest = decodeDigest(encodeDigest(sample()));
    BOOST_REQUIRE(digest.has_value());
    BOOST_TEST(digest->node == "front-1");
    BOOST_TEST(digest->boot == 17U);
    BOOST_TEST(digest->configurationVersion == 9U);
    BOOST_REQUIRE(digest->servers.size() == 1U);
    const ServerUpdate &notice = digest->servers[0];
    BOOST_TEST(notice.pendingPrefillTokens == 9000U);
    BOOST_TEST(notice.cordonedForMs == 1500U);
    BOOST_REQUIRE(notice.sentParts.size() == 2U);
    BOOST_TEST(notice.sentParts[0].key == 0xfedcba9876543210U);
    BOOST_TEST(notice.sentParts[1].tokens == 6300U);
    BOOST_TEST(notice.confirmedParts[0].key == 7U);
    BOOST_TEST(notice.evictedKeys.size() == 2U);
}

BOOST_AUTO_TEST_CASE(cutAndSpoiltDatagramsAreNoDigests)
{
    const std::string whole = encodeDigest(sample());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!decodeDigest(whole.substr(0, length)).has_value());
    }
    std::mt19937 random(1);
    for (int round = 0; round < 20000; ++round) {
        std::string spoilt = whole;
        for (int change = 0; change < 3; ++change) {
            spoilt[random() % spoilt.size()] = static_cast<char>(random());
        }
        // Either nothing or some digest; it must not fail otherwise.
        static_cast<void>(decodeDigest(spoilt));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
