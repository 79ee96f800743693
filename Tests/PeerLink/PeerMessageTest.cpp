#include "PeerLink/PeerMessage.h"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

namespace {

const std::string Key = "a key of sixteen or more";

PeerMessage sampleMessage()
{
    PeerMessage message { .identity = { .node = NodeId("n"),
                                        .zone = ZoneId("z"),
                                        .incarnation = 3,
                                        .address = "127.0.0.1:9",
                                        .operatorUrl = "http://127.0.0.1:8",
                                        .configurationVersion = 12 },
                          .sequence = 44 };
    message.quarantine.push_back({ .fingerprint = 77, .crashes = 2, .exclusiveCrashes = 1 });
    message.loads.push_back({ .server = 5, .inFlight = 3, .longJobs = 1, .waitingPrefill = 900 });
    message.teams.push_back({ .team = 6, .inFlight = 2 });
    message.stored.push_back({ .server = 5, .keys = { 1, 2, 3 } });
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerMessageTest)

BOOST_AUTO_TEST_CASE(messageRoundTrips)
{
    const auto message = decodePeerMessage(encodePeerMessage(sampleMessage(), Key), Key);
    BOOST_TEST_REQUIRE(message.has_value());
    BOOST_TEST(message->identity.node.text() == "n");
    BOOST_TEST(message->identity.configurationVersion == 12U);
    BOOST_TEST(message->sequence == 44U);
    BOOST_TEST(message->quarantine.front().exclusiveCrashes == 1);
    BOOST_TEST(message->loads.front().waitingPrefill == 900U);
    BOOST_TEST(message->teams.front().inFlight == 2U);
    BOOST_TEST(message->stored.front().keys.size() == 3U);
}

BOOST_AUTO_TEST_CASE(wrongKeyTruncationAndModifiedBytesAreRejected)
{
    const std::string encoded = encodePeerMessage(sampleMessage(), Key);
    BOOST_TEST(!decodePeerMessage(encoded, "another key of 16 bytes").has_value());
    std::mt19937_64 random(3);
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_TEST_REQUIRE(!decodePeerMessage(encoded.substr(0, length), Key).has_value());
        std::string modified = encoded;
        modified[length] = static_cast<char>(modified[length] ^ (1 << (random() % 8)));
        BOOST_TEST_REQUIRE(!decodePeerMessage(modified, Key).has_value());
    }
    BOOST_TEST(!decodePeerMessage(std::string(3000, 'x'), Key).has_value());
}

BOOST_AUTO_TEST_CASE(oversizedMessageIsTrimmedToOneDatagramAndKeepsIdentity)
{
    PeerMessage message = sampleMessage();
    for (std::uint32_t index = 0; index < 400; ++index) {
        message.loads.push_back({ .server = index * 99999, .inFlight = 100000 });
        message.stored.push_back({ .server = index, .keys = { 1ULL << 60, 1ULL << 61 } });
    }
    const std::string encoded = encodePeerMessage(message, Key);
    BOOST_TEST(encoded.size() <= MaximumDatagramBytes);
    const auto decoded = decodePeerMessage(encoded, Key);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->identity.node.text() == "n");
    BOOST_TEST(decoded->quarantine.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
