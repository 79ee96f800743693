#include "Membership/PeerTable.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

namespace {

Instant at(int ms)
{
    return Instant() + milliseconds(ms);
}

PeerIdentity peer(const std::string &name, std::uint64_t incarnation, std::uint64_t version = 1)
{
    return { .node = NodeId(name),
             .incarnation = incarnation,
             .address = "127.0.0.1:1",
             .configurationVersion = version };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTableTest)

BOOST_AUTO_TEST_CASE(replaysAndEarlierIncarnationsAreRejected)
{
    PeerTable table(NodeId("self"), {});
    BOOST_TEST(table.acceptDatagram(peer("a", 5), 10, at(0)));
    BOOST_TEST(!table.acceptDatagram(peer("a", 5), 10, at(1)));
    BOOST_TEST(!table.acceptDatagram(peer("a", 5), 9, at(1)));
    BOOST_TEST(!table.acceptDatagram(peer("a", 4), 99, at(1)));
    BOOST_TEST(table.acceptDatagram(peer("a", 6), 1, at(1)));
    BOOST_TEST(!table.acceptDatagram(peer("self", 6), 1, at(1)));
}

BOOST_AUTO_TEST_CASE(silentPeerIsSuspectedThenRemoved)
{
    PeerTable table(NodeId("self"),
                    { .suspectAfter = milliseconds(100), .removeAfter = milliseconds(500) });
    BOOST_TEST(table.acceptDatagram(peer("a", 1), 1, at(0)));
    BOOST_TEST(table.liveNodes(at(50)) == 2U);
    BOOST_TEST(table.liveNodes(at(200)) == 1U);
    BOOST_TEST(table.removeSilentPeers(at(400)).empty());
    BOOST_TEST(table.removeSilentPeers(at(600)).size() == 1U);
    BOOST_TEST(table.peers().empty());
}

BOOST_AUTO_TEST_CASE(peerWithTheNewestConfigurationIsSelected)
{
    PeerTable table(NodeId("self"), {});
    BOOST_TEST(table.acceptDatagram(peer("a", 1, 7), 1, at(0)));
    BOOST_TEST(table.acceptDatagram(peer("b", 1, 9), 1, at(0)));
    BOOST_TEST_REQUIRE(table.peerWithNewerConfiguration(7, at(1)).has_value());
    BOOST_TEST(table.peerWithNewerConfiguration(7, at(1))->node.text() == "b");
    BOOST_TEST(!table.peerWithNewerConfiguration(9, at(1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
