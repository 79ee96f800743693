#include "PeerLink/PeerMessage.h"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

namespace {

const std::string Key = "a key of sixteen or more";

PeerMessage sample()
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

BOOST_AUTO_TEST_CASE(comesBackAsSent)
{
    const auto message = openPeerMessage(sealPeerMessage(sample(), Key), Key);
    BOOST_TEST_REQUIRE(message.has_value());
    BOOST_TEST(message->identity.node.text() == "n");
    BOOST_TEST(message->identity.configurationVersion == 12U);
    BOOST_TEST(message->sequence == 44U);
    BOOST_TEST(message->quarantine.front().exclusiveCrashes == 1);
    BOOST_TEST(message->loads.front().waitingPrefill == 900U);
    BOOST_TEST(message->teams.front().inFlight == 2U);
    BOOST_TEST(message->stored.front().keys.size() == 3U);
}

BOOST_AUTO_TEST_CASE(otherKeysTruncationAndChangedBytesAreRefused)
{
    const std::string sealed = sealPeerMessage(sample(), Key);
    BOOST_TEST(!openPeerMessage(sealed, "another key of 16 bytes").has_value());
    std::mt19937_64 random(3);
    for (std::size_t length = 0; length < sealed.size(); ++length) {
        BOOST_TEST_REQUIRE(!openPeerMessage(sealed.substr(0, length), Key).has_value());
        std::string changed = sealed;
        changed[length] = static_cast<char>(changed[length] ^ (1 << (random() % 8)));
        BOOST_TEST_REQUIRE(!openPeerMessage(changed, Key).has_value());
    }
    BOOST_TEST(!openPeerMessage(std::string(3000, 'x'), Key).has_value());
}

BOOST_AUTO_TEST_CASE(tooMuchIsCutToOneDatagramAndIdentityStays)
{
    PeerMessage message = sample();
    for (std::uint32_t index = 0; index < 400; ++index) {
        message.loads.push_back({ .server = index * 99999, .inFlight = 100000 });
        message.stored.push_back({ .server = index, .keys = { 1ULL << 60, 1ULL << 61 } });
    }
    const std::string sealed = sealPeerMessage(message, Key);
    BOOST_TEST(sealed.size() <= MaximumDatagramBytes);
    const auto opened = openPeerMessage(sealed, Key);
    BOOST_TEST_REQUIRE(opened.has_value());
    BOOST_TEST(opened->identity.node.text() == "n");
    BOOST_TEST(opened->quarantine.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
