#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/ReportingPeers.h"

namespace jacinthroad {

namespace {

constexpr Instant Start { std::chrono::seconds(1000) };

/// Notes reports of `count` names and returns how many are kept.
std::size_t noteMany(ReportingPeers &peers, const std::string &prefix, std::size_t count,
                     Instant now)
{
    std::size_t kept = 0;
    for (std::size_t number = 0; number < count; ++number) {
        kept += peers.note(prefix + std::to_string(number), now) ? 1 : 0;
    }
    return kept;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReportingPeersTest)

BOOST_AUTO_TEST_CASE(registeredPeersAreRefusedBesideEndlessNames)
{
    ReportingPeers peers;
    std::vector<std::string> names;
    for (int number = 0; number < 200; ++number) {
        names.push_back("front-" + std::to_string(number));
    }
    peers.setRegistered(names);
    BOOST_TEST(noteMany(peers, "any-", 2000, Start) == ReportingPeers::MaxUnregistered);
    BOOST_TEST(noteMany(peers, "front-", 200, Start) == 200U);
    // The same ones go on.
    BOOST_TEST(noteMany(peers, "any-", 2000, Start + milliseconds(100))
               == ReportingPeers::MaxUnregistered);
}

BOOST_AUTO_TEST_CASE(startedPeerIsRefusedUntilItIsListed)
{
    ReportingPeers peers;
    peers.setRegistered(std::vector<std::string> { "front-1" });
    BOOST_TEST(peers.note("front-2", Start));
    peers.setRegistered(std::vector<std::string> { "front-1", "front-2" });
    BOOST_TEST(peers.note("front-2", Start));
    // It leaves its place to another.
    BOOST_TEST(noteMany(peers, "any-", 2000, Start) == ReportingPeers::MaxUnregistered);
}

BOOST_AUTO_TEST_CASE(startedPeerIsRefusedForThoseThatNoLongerReport)
{
    ReportingPeers peers;
    BOOST_TEST(noteMany(peers, "any-", ReportingPeers::MaxUnregistered, Start)
               == ReportingPeers::MaxUnregistered);
    BOOST_TEST(!peers.note("front-1", Start + milliseconds(100)));
    BOOST_TEST(peers.note("any-0", Start + milliseconds(100)));
    BOOST_TEST(peers.note("front-1", Start + ReportingPeers::UnregisteredLifetime));
    BOOST_TEST(peers.note("any-0", Start + ReportingPeers::UnregisteredLifetime));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
