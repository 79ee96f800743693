#include <string>
#include <string_view>

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include "../HexBytes.h"
#include "FleetPeers/NodeDigest.h"

namespace jacinthroad {

namespace {

/// Messages as earlier builds have encoded content(). The digest is the same in the builds 15f9e51,
/// 0c54f76 and ab1a2b7, which differ in what follows it.
constexpr std::string_view Digest
    = "9b05a766726f6e742d31110309ccfacffedcba9876543214929da2733104cd2328a16d02cd05dc94cffedc"
      "ba9876543210cd09c402cd189c920764cd04b0cd076c920809cd30d4289da273320000a000009090000090"
      "00009193a16d03cd1f409193a766726f6e742d3212ce000111709193cffedcba9876543211029196cffedc"
      "ba987654321205cffedcba9876543213cd02bccd0258c3";
constexpr std::string_view Summary
    = "9c06a766726f6e742d31110309ccfacffedcba9876543214929da2733104cd2328a16d02cd05dc94cffedc"
      "ba9876543210cd09c402cd189c920764cd04b0cd076c920809cd30d4289da273320000a000009090000090"
      "00009193a16d03cd1f409193a766726f6e742d3212ce000111709193cffedcba9876543211029196cffedc"
      "ba987654321205cffedcba9876543213cd02bccd0258c3a67a6f6e652d31";
constexpr std::string_view LostLinksOf0c54f76 = "81aa6c696e6b735f6c6f7374c3";
constexpr std::string_view LostLinksOfAb1a2b7
    = "82aa6c696e6b735f6c6f7374c3ad6c6f73745f736572766963657392a7656e67696e6573a5706c61696e";

NodeDigest content()
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
                            .unresponsiveMs = 1200,
                            .avoidMs = 1900,
                            .cordonedForMs = 1500,
                            .limitPerThousandSeconds = 12500,
                            .limitAgeMs = 40,
                            .sentParts = { { 0xfedcba9876543210U, 2500 }, { 2, 6300 } },
                            .confirmedParts = { { 7, 100 } },
                            .evictedKeys = { 8, 9 } },
                          { .server = ServerId("s2") } },
             .desiredWeights = { { .model = ModelId("m"), .version = 3, .ageMs = 8000 } },
             .echoes = { { .node = "front-2", .boot = 18, .sequence = 70000 } },
             .crashes = { { .fingerprint = 0xfedcba9876543211U,
                            .depth = 2,
                            .crashes = { { .reporter = 0xfedcba9876543212U,
                                           .number = 5,
                                           .server = 0xfedcba9876543213U,
                                           .sentAgeMs = 700,
                                           .crashAgeMs = 600,
                                           .cleared = true } } } } };
}

NodeDigest decoded(std::string_view message)
{
    const auto digest = decodeDigest(message);
    BOOST_REQUIRE(digest.has_value());
    return *digest;
}

void checkContent(const NodeDigest &digest)
{
    BOOST_TEST(digest.node == "front-1");
    BOOST_TEST(digest.boot == 17U);
    BOOST_TEST(digest.sequence == 3U);
    BOOST_TEST(digest.configurationVersion == 9U);
    BOOST_TEST(digest.configurationHash == 0xfedcba9876543214U);
    BOOST_TEST(digest.configurationAgeMs == 250U);
    BOOST_REQUIRE(digest.servers.size() == 2U);
    const ServerUpdate &update = digest.servers[0];
    BOOST_TEST(update.server.text() == "s1");
    BOOST_TEST(update.inFlight == 4U);
    BOOST_TEST(update.pendingPrefillTokens == 9000U);
    BOOST_TEST(update.model.text() == "m");
    BOOST_TEST(update.weights == 2U);
    BOOST_TEST(update.unresponsiveMs == 1200U);
    BOOST_TEST(update.avoidMs == 1900U);
    BOOST_TEST(update.cordonedForMs == 1500U);
    BOOST_TEST(update.limitPerThousandSeconds == 12500U);
    BOOST_TEST(update.limitAgeMs == 40U);
    BOOST_REQUIRE(update.sentParts.size() == 2U);
    BOOST_TEST(update.sentParts[0].key == 0xfedcba9876543210U);
    BOOST_TEST(update.sentParts[1].tokens == 6300U);
    BOOST_REQUIRE(update.confirmedParts.size() == 1U);
    BOOST_TEST(update.confirmedParts[0].tokens == 100U);
    BOOST_REQUIRE(update.evictedKeys.size() == 2U);
    BOOST_TEST(update.evictedKeys[1] == 9U);
    BOOST_TEST(digest.servers[1].server.text() == "s2");
    BOOST_REQUIRE(digest.desiredWeights.size() == 1U);
    BOOST_TEST(digest.desiredWeights[0].model.text() == "m");
    BOOST_TEST(digest.desiredWeights[0].version == 3U);
    BOOST_TEST(digest.desiredWeights[0].ageMs == 8000U);
    BOOST_REQUIRE(digest.echoes.size() == 1U);
    BOOST_TEST(digest.echoes[0].node == "front-2");
    BOOST_TEST(digest.echoes[0].boot == 18U);
    BOOST_TEST(digest.echoes[0].sequence == 70000U);
    BOOST_REQUIRE(digest.crashes.size() == 1U);
    BOOST_TEST(digest.crashes[0].fingerprint == 0xfedcba9876543211U);
    BOOST_TEST(digest.crashes[0].depth == 2U);
    BOOST_REQUIRE(digest.crashes[0].crashes.size() == 1U);
    const CrashReport &crash = digest.crashes[0].crashes[0];
    BOOST_TEST(crash.reporter == 0xfedcba9876543212U);
    BOOST_TEST(crash.number == 5U);
    BOOST_TEST(crash.server == 0xfedcba9876543213U);
    BOOST_TEST(crash.sentAgeMs == 700U);
    BOOST_TEST(crash.crashAgeMs == 600U);
    BOOST_TEST(crash.cleared);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Packs an array of a message. Lists and the arrays of fields in them alternate; the latter get
/// `fields` more, and lists of arrays `items` more that are none.
void packExtended(Packer &packer, const msgpack::object &object, int level, std::uint32_t fields,
                  std::uint32_t items)
{
    if (object.type != msgpack::type::ARRAY) {
        packer.pack(object);
        return;
    }
    const msgpack::object_array &array = object.via.array;
    const bool isList = level % 2 == 1;
    const bool holdsArrays = array.size > 0 && array.ptr[0].type == msgpack::type::ARRAY;
    const std::uint32_t added = !isList ? fields : holdsArrays ? items : 0;
    packer.pack_array(array.size + added);
    // The item comes first, so that it would take all others with it.
    for (std::uint32_t index = 0; isList && index < added; ++index) {
        packer.pack(std::string("later"));
    }
    for (std::uint32_t index = 0; index < array.size; ++index) {
        packExtended(packer, array.ptr[index], level + 1, fields, items);
    }
    for (std::uint32_t index = 0; !isList && index < added; ++index) {
        packer.pack(std::string("later"));
    }
}

std::string extended(std::string_view message, std::uint32_t fields, std::uint32_t items)
{
    const msgpack::object_handle handle = msgpack::unpack(message.data(), message.size());
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packExtended(packer, handle.get(), 0, fields, items);
    return { buffer.data(), buffer.size() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecordedMessagesTest)

BOOST_AUTO_TEST_CASE(digestsOfEarlierBuildsAreReadInFull)
{
    const std::string digest = bytesOfHex(Digest);
    checkContent(decoded(digest));
    BOOST_TEST(!decoded(digest).linksLost);
    const NodeDigest one = decoded(digest + bytesOfHex(LostLinksOf0c54f76));
    checkContent(one);
    BOOST_TEST(one.linksLost);
    BOOST_TEST(one.lostServices.empty());
    const NodeDigest two = decoded(digest + bytesOfHex(LostLinksOfAb1a2b7));
    checkContent(two);
    BOOST_TEST(two.linksLost);
    BOOST_REQUIRE(two.lostServices.size() == 2U);
    BOOST_TEST(two.lostServices[0].text() == "engines");
    BOOST_TEST(two.lostServices[1].text() == "plain");
}

BOOST_AUTO_TEST_CASE(summariesOfEarlierBuildsAreReadInFull)
{
    for (const std::string_view links :
         { std::string_view(), LostLinksOf0c54f76, LostLinksOfAb1a2b7 }) {
        const NodeDigest summary = decoded(bytesOfHex(Summary) + bytesOfHex(links));
        checkContent(summary);
        BOOST_TEST(summary.summarizedZone == "zone-1");
        BOOST_TEST(summary.linksLost == !links.empty());
    }
}

BOOST_AUTO_TEST_CASE(earlierBuildsReadDigestsAndSummariesOfThisOne)
{
    NodeDigest digest = content();
    BOOST_TEST(encodeDigest(digest) == bytesOfHex(Digest));
    digest.linksLost = true;
    digest.lostServices = { ServiceId("engines"), ServiceId("plain") };
    BOOST_TEST(encodeDigest(digest) == bytesOfHex(Digest) + bytesOfHex(LostLinksOfAb1a2b7));
    digest.summarizedZone = "zone-1";
    BOOST_TEST(encodeDigest(digest) == bytesOfHex(Summary) + bytesOfHex(LostLinksOfAb1a2b7));
}

BOOST_AUTO_TEST_CASE(fieldsOfANewerBuildCostTheDigest)
{
    checkContent(decoded(extended(bytesOfHex(Digest), 2, 0)));
    const NodeDigest summary = decoded(extended(bytesOfHex(Summary), 1, 0));
    checkContent(summary);
    BOOST_TEST(summary.summarizedZone == "zone-1");
}

BOOST_AUTO_TEST_CASE(itemOfANewerBuildCostsTheDigestOrItsSiblings)
{
    checkContent(decoded(extended(bytesOfHex(Digest), 0, 1)));
    checkContent(decoded(extended(bytesOfHex(Summary), 1, 2)));
}

BOOST_AUTO_TEST_CASE(keysAndServicesOfANewerBuildCostTheDigest)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_map(4);
    packer.pack(7);
    packer.pack(std::string("later"));
    packer.pack(std::string("later"));
    packer.pack_array(1);
    packer.pack_map(0);
    packer.pack(std::string("lost_services"));
    packer.pack_array(2);
    packer.pack_array(0);
    packer.pack(std::string("engines"));
    packer.pack(std::string("links_lost"));
    packer.pack(true);
    const NodeDigest digest
        = decoded(bytesOfHex(Digest) + std::string(buffer.data(), buffer.size()));
    checkContent(digest);
    BOOST_TEST(digest.linksLost);
    BOOST_REQUIRE(digest.lostServices.size() == 1U);
    BOOST_TEST(digest.lostServices[0].text() == "engines");
}

BOOST_AUTO_TEST_CASE(digestsWithFewerFieldsOrOfAnotherFormatAreRejected)
{
    for (const std::string_view hex : { Digest, Summary }) {
        const std::string message = bytesOfHex(hex);
        const std::string otherFormat = message.substr(0, 1) + "\x07" + message.substr(2);
        BOOST_TEST(!decodeDigest(otherFormat).has_value());
        const msgpack::object_handle handle = msgpack::unpack(message.data(), message.size());
        const msgpack::object_array &array = handle.get().via.array;
        for (std::uint32_t size = 0; size < array.size; ++size) {
            msgpack::sbuffer buffer;
            Packer packer(buffer);
            packer.pack_array(size);
            for (std::uint32_t index = 0; index < size; ++index) {
                packer.pack(array.ptr[index]);
            }
            BOOST_TEST(!decodeDigest({ buffer.data(), buffer.size() }).has_value());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
