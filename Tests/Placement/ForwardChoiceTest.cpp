#include <map>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/ForwardChoice.h"

namespace jacinthroad {

namespace {

const ServiceId Service("s");

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(milli));
}

ForwardPeer peer(const std::string &name, const std::string &zone, bool reportsLinks = true)
{
    return { .name = name, .zone = zone, .address = name + ":1", .reportsLinks = reportsLinks };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardChoiceTest)

BOOST_AUTO_TEST_CASE(ownZoneComesFirstUntilItsNodesAreBusy)
{
    ForwardChoice choice({ .zone = "a", .zoneInFlight = 2 });
    choice.setPeers({ peer("near", "a"), peer("far", "b") });
    std::vector<ForwardUse> uses;
    for (std::uint64_t seed = 0; seed < 2; ++seed) {
        const auto chosen = choice.choose(Service, {}, seed, at(0));
        BOOST_REQUIRE(chosen.has_value());
        BOOST_TEST(chosen->name == "near");
        uses.push_back(choice.begin("near"));
    }
    uses.push_back(choice.begin("near"));
    std::map<std::string, int> counts;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        ++counts[choice.choose(Service, {}, seed, at(0))->name];
    }
    BOOST_TEST(counts["far"] > counts["near"]);
}

BOOST_AUTO_TEST_CASE(requestsSpreadOverNodes)
{
    constexpr std::uint64_t Requests = 300;
    ForwardChoice choice({ .zone = "a" });
    choice.setPeers({ peer("n1", "b"), peer("n2", "b"), peer("n3", "b") });
    std::map<std::string, unsigned> counts;
    std::vector<ForwardUse> uses;
    for (std::uint64_t seed = 0; seed < Requests; ++seed) {
        const auto chosen = choice.choose(Service, {}, seed, at(0));
        BOOST_REQUIRE(chosen.has_value());
        uses.push_back(choice.begin(chosen->name));
        ++counts[chosen->name];
    }
    for (const auto &[name, count] : counts) {
        BOOST_TEST(count < Requests / 3 * 1.3, name);
    }
}

BOOST_AUTO_TEST_CASE(requestsAtOneNodeAreBounded)
{
    ForwardChoice choice({ .zone = "a", .maxInFlight = 2 });
    choice.setPeers({ peer("n", "a") });
    const ForwardUse first = choice.begin("n");
    BOOST_TEST(choice.choose(Service, {}, 0, at(0)).has_value());
    ForwardUse second = choice.begin("n");
    BOOST_TEST(!choice.choose(Service, {}, 0, at(0)).has_value());
    second.reset();
    BOOST_TEST(choice.choose(Service, {}, 0, at(0)).has_value());
}

BOOST_AUTO_TEST_CASE(nodesThatDeclineOrAreUnreachableAreLeftOutForAWhile)
{
    ForwardChoice choice({ .zone = "a" });
    choice.setPeers({ peer("n", "a") });
    choice.noteEnd("n", Service, ForwardEnd::Declined, at(0));
    BOOST_TEST(!choice.choose(Service, {}, 0, at(499)).has_value());
    BOOST_TEST(choice.choose(Service, {}, 0, at(500)).has_value());
    BOOST_TEST(choice.choose(ServiceId("other"), {}, 0, at(1)).has_value());
    choice.noteEnd("n", Service, ForwardEnd::Unreachable, at(1000));
    BOOST_TEST(!choice.choose(Service, {}, 0, at(1999)).has_value());
    BOOST_TEST(choice.choose(Service, {}, 0, at(2000)).has_value());
}

BOOST_AUTO_TEST_CASE(nodesOfUnknownLinksAndTriedNodesComeLastOrNotAtAll)
{
    ForwardChoice choice({ .zone = "a" });
    choice.setPeers({ peer("unknown", "a", false), peer("known", "b") });
    const std::vector<std::string> tried { "known" };
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        BOOST_TEST(choice.choose(Service, {}, seed, at(0))->name == "known");
        BOOST_TEST(choice.choose(Service, tried, seed, at(0))->name == "unknown");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
