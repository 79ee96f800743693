#include <algorithm>
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
             .configurationHash = 0xfedcba9876543214U,
             .configurationAgeMs = 250,
             .servers = { { .server = ServerId("s1"),
                            .inFlight = 4,
                            .pendingPrefillTokens = 9000,
                            .model = ModelId("m"),
                            .weights = 2,
                            .cordonedForMs = 1500,
                            .sentParts = { { 0xfedcba9876543210U, 2500 }, { 2, 6300 } },
                            .confirmedParts = { { 7, 100 } },
                            .evictedKeys = { 8, 9 } } },
             .crashes = { { .fingerprint = 0xfedcba9876543211U,
                            .depth = 2,
                            .crashes = { { .reporter = 0xfedcba9876543212U,
                                           .number = 5,
                                           .server = 0xfedcba9876543213U,
                                           .sentAgeMs = 700,
                                           .crashAgeMs = 600,
                                           .cleared = true } } } } };
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
    BOOST_TEST(digest->configurationHash == 0xfedcba9876543214U);
    BOOST_REQUIRE(digest->servers.size() == 1U);
    const ServerUpdate &update = digest->servers[0];
    BOOST_TEST(update.pendingPrefillTokens == 9000U);
    BOOST_TEST(update.cordonedForMs == 1500U);
    BOOST_REQUIRE(update.sentParts.size() == 2U);
    BOOST_TEST(update.sentParts[0].key == 0xfedcba9876543210U);
    BOOST_TEST(update.sentParts[1].tokens == 6300U);
    BOOST_TEST(update.confirmedParts[0].key == 7U);
    BOOST_TEST(update.evictedKeys.size() == 2U);
    BOOST_REQUIRE(digest->crashes.size() == 1U);
    BOOST_TEST(digest->crashes[0].fingerprint == 0xfedcba9876543211U);
    BOOST_TEST(digest->crashes[0].depth == 2U);
    BOOST_REQUIRE(digest->crashes[0].crashes.size() == 1U);
    const CrashReport &crash = digest->crashes[0].crashes[0];
    BOOST_TEST(crash.reporter == 0xfedcba9876543212U);
    BOOST_TEST(crash.number == 5U);
    BOOST_TEST(crash.server == 0xfedcba9876543213U);
    BOOST_TEST(crash.sentAgeMs == 700U);
    BOOST_TEST(crash.crashAgeMs == 600U);
    BOOST_TEST(crash.cleared);
}

BOOST_AUTO_TEST_CASE(lostLinksFollowADigestThatOlderBuildsDecode)
{
    NodeDigest digest = sample();
    const std::string usual = encodeDigest(digest);
    BOOST_TEST(!decodeDigest(usual)->linksLost);
    digest.linksLost = true;
    digest.lostServices = { ServiceId("engines") };
    const std::string datagram = encodeDigest(digest);
    // An older build decodes the array and ignores what follows.
    BOOST_TEST(datagram.substr(0, usual.size()) == usual);
    const auto decoded = decodeDigest(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->linksLost);
    BOOST_REQUIRE(decoded->lostServices.size() == 1U);
    BOOST_TEST(decoded->lostServices[0].text() == "engines");
    BOOST_TEST(decoded->node == "front-1");
    for (std::size_t size = usual.size() + 1; size < datagram.size(); ++size) {
        BOOST_TEST(!decodeDigest(std::string_view(datagram).substr(0, size)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(crashesOfManyServersAddLittleToEachDigest)
{
    constexpr std::uint64_t Servers = 13;
    constexpr std::uint64_t RequestsPerServer = 64;
    constexpr std::size_t MaxReports = 24;
    constexpr std::size_t MaxAddedBytes = 1200;
    const Instant start = Instant(std::chrono::hours(1));
    const std::size_t emptyBytes = encodeDigest({}).size();
    CrashHistory history({ .reporter = 0xfedcba9876543211U });
    for (std::uint64_t server = 0; server < Servers; ++server) {
        for (std::uint64_t request = 0; request < RequestsPerServer; ++request) {
            static_cast<void>(history.noteCrash(~(server * RequestsPerServer + request), ~server,
                                                start - milliseconds(900), start, start));
        }
    }
    std::size_t digests = 0;
    std::size_t largest = 0;
    std::size_t total = 0;
    for (Instant now = start; now < start + std::chrono::minutes(1); now += milliseconds(200)) {
        const std::size_t added
            = encodeDigest({ .crashes = history.takeRecords(now, MaxReports) }).size() - emptyBytes;
        digests += added > 0 ? 1 : 0;
        largest = std::max(largest, added);
        total += added;
    }
    BOOST_TEST_MESSAGE(digests << " digests, " << largest << " bytes at most, " << total
                               << " bytes in all");
    BOOST_TEST(largest <= MaxAddedBytes);
    BOOST_TEST(digests == Servers * RequestsPerServer * 5 / MaxReports + 1);
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

BOOST_AUTO_TEST_CASE(summaryOfAZoneIsDecodedAsEncodedAndNotTakenForADigest)
{
    NodeDigest summary;
    summary.node = "front-1";
    summary.summarizedZone = "zone-1";
    const std::string datagram = encodeDigest(summary);
    const auto decoded = decodeDigest(datagram);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->summarizedZone == "zone-1");
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        BOOST_TEST(!decodeDigest(std::string_view(datagram).substr(0, size)).has_value());
    }
    summary.summarizedZone.clear();
    const auto digest = decodeDigest(encodeDigest(summary));
    BOOST_REQUIRE(digest.has_value());
    BOOST_TEST(digest->summarizedZone.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
