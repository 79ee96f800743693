#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "StoreRelay/ReaderChoice.h"

namespace jacinthroad {

namespace {

constexpr const char *Kinds[] = { "configuration", "servers", "weights", "nodes" };

/// A fleet of equal zones whose nodes choose readers of one kind.
class Fleet
{
public:
    Fleet(std::size_t nodes, std::size_t zones, const std::string &kind)
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            const std::size_t zone = index % zones;
            const std::string name
                = "front-" + std::to_string(zone) + "-" + std::to_string(index / zones);
            zones_[zone].push_back({ .name = name, .address = "10.0.0.1:" + name });
            choices_.emplace(name, ReaderChoice({ .self = name, .kind = kind }));
        }
        for (const auto &[zone, members] : zones_) {
            hear(members, members);
        }
    }

    /// Lets nodes of one zone hear from just these.
    void hear(const std::vector<RelayNode> &listeners, const std::vector<RelayNode> &heard)
    {
        std::vector<std::string> names;
        for (const RelayNode &node : heard) {
            names.push_back(node.name);
        }
        for (const RelayNode &node : listeners) {
            ReaderChoice &choice = choices_.at(node.name);
            choice.setZone(zones_.at(zoneOf(node.name)));
            choice.setLive(names);
        }
    }

    /// The nodes that read the store themselves.
    [[nodiscard]] std::set<std::string> readers(Instant now) const
    {
        std::set<std::string> names;
        for (const auto &[name, choice] : choices_) {
            if (!choice.reader(now).has_value()) {
                names.insert(name);
            }
        }
        return names;
    }

    [[nodiscard]] static std::size_t zoneOf(const std::string &name)
    {
        return std::stoul(name.substr(name.find('-') + 1));
    }
    [[nodiscard]] const std::vector<RelayNode> &zone(std::size_t index) const
    {
        return zones_.at(index);
    }
    [[nodiscard]] ReaderChoice &choice(const std::string &name) { return choices_.at(name); }
    [[nodiscard]] std::map<std::string, ReaderChoice> &choices() { return choices_; }

private:
    std::map<std::size_t, std::vector<RelayNode>> zones_;
    std::map<std::string, ReaderChoice> choices_;
};

/// Follows the choices from a node to the one that reads the store; fails on a cycle.
std::string sourceOf(Fleet &fleet, const std::string &name, Instant now)
{
    std::string current = name;
    std::set<std::string> passed;
    while (const auto next = fleet.choice(current).reader(now)) {
        BOOST_REQUIRE_MESSAGE(passed.insert(current).second, "cycle at " + current);
        current = next->name;
    }
    return current;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReaderChoiceTest)

BOOST_DATA_TEST_CASE(storeReadersGrowWithZonesAndNotWithNodes,
                     boost::unit_test::data::make({ 61, 295, 1000 }), nodes)
{
    constexpr std::size_t Zones = 6;
    for (const char *kind : Kinds) {
        Fleet fleet(static_cast<std::size_t>(nodes), Zones, kind);
        BOOST_TEST(fleet.readers(Instant()).size() == Zones);
    }
}

BOOST_AUTO_TEST_CASE(nodeWithoutAZoneToShareWithReadsTheStore)
{
    ReaderChoice choice({ .self = "front-1", .kind = "configuration" });
    const std::vector<std::string> live = { "front-1", "front-2", "front-3" };
    choice.setLive(live);
    BOOST_TEST(!choice.reader(Instant()).has_value());
}

BOOST_AUTO_TEST_CASE(nodeThatHearsNobodyReadsTheStore)
{
    Fleet fleet(295, 6, "configuration");
    const std::vector<RelayNode> alone = { fleet.zone(2).back() };
    fleet.hear(alone, alone);
    BOOST_TEST(!fleet.choice(alone.front().name).reader(Instant()).has_value());
}

BOOST_AUTO_TEST_CASE(eachSideOfACutHasAReader)
{
    Fleet fleet(295, 6, "servers");
    const std::vector<RelayNode> &zone = fleet.zone(0);
    const std::vector<RelayNode> left(zone.begin(), zone.begin() + 20);
    const std::vector<RelayNode> right(zone.begin() + 20, zone.end());
    fleet.hear(left, left);
    fleet.hear(right, right);
    for (const std::vector<RelayNode> &side : { left, right }) {
        std::set<std::string> sources;
        for (const RelayNode &node : side) {
            sources.insert(sourceOf(fleet, node.name, Instant()));
        }
        BOOST_TEST(sources.size() == 1U);
        BOOST_TEST(std::any_of(side.begin(), side.end(), [&](const RelayNode &node) {
            return node.name == *sources.begin();
        }));
    }
}

BOOST_AUTO_TEST_CASE(readerThatStandsStillIsReplacedByOneOther)
{
    Fleet fleet(295, 6, "configuration");
    const Instant now = Instant() + std::chrono::seconds(10);
    const std::string frozen = sourceOf(fleet, fleet.zone(1).front().name, now);
    for (const RelayNode &node : fleet.zone(1)) {
        if (node.name != frozen) {
            fleet.choice(node.name).noteFailed(frozen, now);
        }
    }
    std::set<std::string> sources;
    for (const RelayNode &node : fleet.zone(1)) {
        if (node.name != frozen) {
            sources.insert(sourceOf(fleet, node.name, now));
        }
    }
    BOOST_TEST(sources.size() == 1U);
    BOOST_TEST(!sources.contains(frozen));
    // It is asked again later, as it may go on.
    const Instant later = now + std::chrono::seconds(6);
    BOOST_TEST(sourceOf(fleet, fleet.zone(1).front().name, later) == frozen);
}

BOOST_AUTO_TEST_CASE(nodesWithWideLinksReadForAZoneOfNarrowOnes)
{
    for (const char *kind : Kinds) {
        std::vector<RelayNode> zone;
        std::vector<std::string> names;
        for (int index = 0; index < 15; ++index) {
            names.push_back("front-" + std::to_string(index));
            // The last node is of an older build.
            const double link = index < 2 ? 200 : index < 14 ? 10 : 0;
            zone.push_back({ .name = names.back(), .address = "", .linkMbps = link });
        }
        const auto readerOf = [&](std::size_t index) {
            ReaderChoice choice(
                { .self = zone[index].name, .kind = kind, .linkMbps = zone[index].linkMbps });
            choice.setZone(zone);
            choice.setLive(names);
            return choice.reader(Instant());
        };
        const bool firstReads = !readerOf(0).has_value();
        const std::string expected = firstReads ? "front-0" : "front-1";
        BOOST_TEST(!readerOf(firstReads ? 0 : 1).has_value());
        for (std::size_t index = 2; index < zone.size(); ++index) {
            BOOST_REQUIRE(readerOf(index).has_value());
            BOOST_TEST(readerOf(index)->name == expected);
        }
    }
}

BOOST_AUTO_TEST_CASE(readerThatGoesOnFailingIsAskedMoreAndMoreRarely)
{
    Fleet fleet(61, 4, "nodes");
    Instant now = Instant() + std::chrono::seconds(10);
    const std::string reader = sourceOf(fleet, fleet.zone(1).front().name, now);
    const std::string last = fleet.zone(1).back().name != reader ? fleet.zone(1).back().name
                                                                 : fleet.zone(1).front().name;
    ReaderChoice &choice = fleet.choice(last);
    const auto pauseAfterFailure = [&] {
        choice.noteFailed(reader, now);
        const Instant failed = now;
        while (!choice.reader(now).has_value() || choice.reader(now)->name != reader) {
            now += std::chrono::seconds(1);
        }
        return std::chrono::duration_cast<std::chrono::seconds>(now - failed).count();
    };
    for (const int seconds : { 5, 10, 20, 40, 60, 60 }) {
        BOOST_TEST(pauseAfterFailure() == seconds);
    }
    choice.noteUsable(reader);
    BOOST_TEST(pauseAfterFailure() == 5);
}

BOOST_AUTO_TEST_CASE(nodesWithDifferentViewsNeverWaitForEachOther)
{
    Fleet fleet(295, 6, "nodes");
    const std::vector<RelayNode> &zone = fleet.zone(3);
    for (unsigned seed = 0; seed < 50; ++seed) {
        for (std::size_t self = 0; self < zone.size(); ++self) {
            std::vector<RelayNode> heard;
            for (std::size_t other = 0; other < zone.size(); ++other) {
                if (other == self || (self * 31 + other * 17 + seed * 7) % 3 != 0) {
                    heard.push_back(zone[other]);
                }
            }
            fleet.hear({ zone[self] }, heard);
        }
        for (const RelayNode &node : zone) {
            static_cast<void>(sourceOf(fleet, node.name, Instant()));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
