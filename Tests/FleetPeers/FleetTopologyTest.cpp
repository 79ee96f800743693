#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "FleetPeers/DigestPacing.h"
#include "FleetPeers/FleetTopology.h"

namespace jacinthroad {

namespace {

constexpr std::size_t Zones = 6;

std::vector<FleetNode> fleetOf(std::size_t count, std::size_t zones = Zones)
{
    std::vector<FleetNode> nodes;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string zone = "zone-" + std::to_string(index % zones);
        nodes.push_back({ .name = "front-" + std::to_string(index),
                          .zone = zone,
                          .address = "10.0.0.1:" + std::to_string(7000 + index) });
    }
    return nodes;
}

std::vector<std::string> namesOf(const std::vector<FleetNode> &nodes, const std::string &zone)
{
    std::vector<std::string> names;
    for (const FleetNode &node : nodes) {
        if (node.zone == zone) {
            names.push_back(node.name);
        }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetTopologyTest)

BOOST_AUTO_TEST_CASE(smallFleetsTellEachNodeEverything)
{
    const std::vector<FleetNode> nodes = fleetOf(8, 3);
    const FleetTopology topology(nodes[0].name, nodes[0].zone, nodes);
    BOOST_TEST(!topology.zoned());
    BOOST_TEST(topology.neighbours().size() == 7U);
    BOOST_TEST(topology.summaryReceivers(namesOf(nodes, nodes[0].zone)).empty());
}

BOOST_DATA_TEST_CASE(neighboursGrowWithTheZoneAndNotWithTheFleet,
                     boost::unit_test::data::make({ 61, 295, 1000 }), count)
{
    const std::vector<FleetNode> nodes = fleetOf(static_cast<std::size_t>(count));
    for (const FleetNode &node : nodes) {
        const FleetTopology topology(node.name, node.zone, nodes);
        BOOST_TEST(topology.neighbours().size() == namesOf(nodes, node.zone).size() - 1);
    }
}

BOOST_DATA_TEST_CASE(eachNodeGetsOneSummaryOfEachOtherZone,
                     boost::unit_test::data::make({ 61, 295, 1000 }), count)
{
    const std::vector<FleetNode> nodes = fleetOf(static_cast<std::size_t>(count));
    std::map<std::string, std::multiset<std::string>> zonesHeard;
    for (const FleetNode &node : nodes) {
        const FleetTopology topology(node.name, node.zone, nodes);
        for (const FleetNode &receiver : topology.summaryReceivers(namesOf(nodes, node.zone))) {
            zonesHeard[receiver.name].insert(node.zone);
        }
    }
    for (const FleetNode &node : nodes) {
        const std::multiset<std::string> &heard = zonesHeard[node.name];
        BOOST_TEST(heard.size() == Zones - 1);
        BOOST_TEST(std::set<std::string>(heard.begin(), heard.end()).size() == Zones - 1);
        BOOST_TEST(!heard.contains(node.zone));
    }
}

BOOST_AUTO_TEST_CASE(relayThatIsNotHeardIsReplaced)
{
    const std::vector<FleetNode> nodes = fleetOf(295);
    const auto relays = [&](const std::vector<std::string> &live) {
        std::set<std::string> names;
        for (const FleetNode &node : nodes) {
            if (std::find(live.begin(), live.end(), node.name) == live.end()) {
                continue;
            }
            const FleetTopology topology(node.name, node.zone, nodes);
            for (const FleetNode &receiver : topology.summaryReceivers(live)) {
                if (receiver.zone == "zone-1") {
                    names.insert(node.name);
                }
            }
        }
        return names;
    };
    std::vector<std::string> live = namesOf(nodes, "zone-0");
    const std::set<std::string> before = relays(live);
    BOOST_REQUIRE(before.size() == 1U);
    std::erase(live, *before.begin());
    const std::set<std::string> after = relays(live);
    BOOST_TEST(after.size() == 1U);
    BOOST_TEST(!after.contains(*before.begin()));
}

BOOST_AUTO_TEST_CASE(nodesOfOlderBuildsGetDigestsOfEveryNode)
{
    std::vector<FleetNode> nodes = fleetOf(61);
    nodes[7].zone.clear();
    for (const FleetNode &node : nodes) {
        if (node.name == nodes[7].name) {
            continue;
        }
        const FleetTopology topology(node.name, node.zone, nodes);
        BOOST_TEST(std::any_of(topology.neighbours().begin(), topology.neighbours().end(),
                               [&](const FleetNode &other) { return other == nodes[7]; }));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
