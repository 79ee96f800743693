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

BOOST_AUTO_TEST_CASE(encodedDigestIsDecodedUnchanged)
{
    const auto digest = decodeDigest(encodeDigest(sample()));
    BOOST_REQUIRE(digest.has_value());
    BOOST_TEST(digest->node == "front-1");
    BOOST_TEST(digest->boot == 17U);
    BOOST_TEST(digest->configurationVersion == 9U);
    BOOST_REQUIRE(digest->servers.size() == 1U);
    const ServerUpdate &update = digest->servers[0];
    BOOST_TEST(update.pendingPrefillTokens == 9000U);
    BOOST_TEST(update.cordonedForMs == 1500U);
    BOOST_REQUIRE(update.sentParts.size() == 2U);
    BOOST_TEST(update.sentParts[0].key == 0xfedcba9876543210U);
    BOOST_TEST(update.sentParts[1].tokens == 6300U);
    BOOST_TEST(update.confirmedParts[0].key == 7U);
    BOOST_TEST(update.evictedKeys.size() == 2U);
}

BOOST_AUTO_TEST_CASE(truncatedAndCorruptedDatagramsAreHandled)
{
    const std::string encoded = encodeDigest(sample());
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_TEST(!decodeDigest(encoded.substr(0, length)).has_value());
    }
    std::mt19937 random(1);
    for (int round = 0; round < 20000; ++round) {
        std::string corrupted = encoded;
        for (int change = 0; change < 3; ++change) {
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        }
        // May yield nullopt or some digest, but must not crash or throw.
        static_cast<void>(decodeDigest(corrupted));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
