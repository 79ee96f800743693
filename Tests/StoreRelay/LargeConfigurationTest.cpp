#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Hashing.h"
#include "ZoneModel.h"

namespace jacinthroad {

namespace {

constexpr std::size_t Kilobyte = 1000;
constexpr std::size_t Megabyte = 1'000'000;
constexpr std::size_t PartBytes = 700;
/// Half of the time within which a fleet of several zones must have a new configuration in force.
constexpr milliseconds InForceLimit { 1500 };
/// Age from which a configuration rejects no key for good.
constexpr milliseconds StaleAge { 2000 };

/// A configuration whose parts differ from those of another version.
ObjectTable partsOfSize(std::size_t bytes, char version)
{
    ObjectTable table;
    for (std::size_t index = 0; index * PartBytes < bytes; ++index) {
        platform::StoredObject part { .name = "route-" + std::to_string(index) };
        part.text = std::string(PartBytes, version);
        part.revision = hash64(part.text);
        table[part.name] = part;
    }
    return table;
}

/// A configuration in one piece.
ObjectTable pieceOfSize(std::size_t bytes)
{
    platform::StoredObject object { .name = "main", .revision = 2 };
    object.text = std::string(bytes, 'x');
    return { { object.name, object } };
}

void checkInTime(const ZoneModel &zone)
{
    BOOST_REQUIRE_MESSAGE(zone.inForceAfter().has_value(),
                          "followers never had it; " << zone.cuts() << " transfers were cut");
    BOOST_TEST(zone.inForceAfter()->count() <= InForceLimit.count());
    BOOST_TEST(zone.longestUnproven().count() < StaleAge.count());
    BOOST_TEST(zone.cuts() == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargeConfigurationTest)

BOOST_AUTO_TEST_CASE(configurationOfAMegabyteReachesEachFollowerOfANarrowReader)
{
    ZoneModel zone({ .followers = 15, .readerMbps = 10, .readerShare = 0.12 },
                   { { .at = milliseconds(0), .table = pieceOfSize(Megabyte) } });
    zone.run(std::chrono::seconds(20));
    checkInTime(zone);
}

BOOST_AUTO_TEST_CASE(wideReaderPassesAMegabyteOnWithoutStoreReads)
{
    ZoneModel zone({ .followers = 15, .readerMbps = 200, .readerShare = 0.5 },
                   { { .at = milliseconds(0), .table = partsOfSize(Megabyte, 'a') } });
    zone.run(std::chrono::seconds(20));
    checkInTime(zone);
    BOOST_TEST(zone.storeReads() == 0);
}

BOOST_DATA_TEST_CASE(largeChangeInASeriesDelaysNoOther,
                     boost::unit_test::data::make({ 10.0, 200.0 }), readerMbps)
{
    // Each later configuration keeps the routes of the large one and changes a few.
    std::vector<ZoneModel::Write> writes;
    ObjectTable table = partsOfSize(20 * Kilobyte, 'a');
    for (int index = 0; index < 4; ++index) {
        if (index == 1) {
            table = partsOfSize(Megabyte, 'b');
        }
        table["route-" + std::to_string(index)].text = "changed";
        table["route-" + std::to_string(index)].revision = static_cast<std::uint64_t>(index + 1);
        writes.push_back({ .at = milliseconds(1000 + 400 * index), .table = table });
    }
    ZoneModel zone(
        { .followers = 15, .readerMbps = readerMbps, .readerShare = readerMbps > 100 ? 0.5 : 0.12 },
        writes);
    zone.run(std::chrono::seconds(20));
    checkInTime(zone);
}

BOOST_AUTO_TEST_CASE(smallChangeOfALargeConfigurationIsNotReadByAllNodes)
{
    const ObjectTable large = partsOfSize(Megabyte, 'a');
    ObjectTable changed = large;
    changed.begin()->second.text = "changed";
    changed.begin()->second.revision = 1;
    ZoneModel zone({ .followers = 49, .readerMbps = 200, .followerMbps = 20, .readerShare = 0.5 },
                   { { .at = milliseconds(0), .table = large },
                     { .at = milliseconds(3000), .table = changed } });
    zone.run(std::chrono::seconds(20));
    checkInTime(zone);
    BOOST_TEST(zone.storeReads() == 49);
    BOOST_TEST(zone.megabytesPassedOn() < 0.1);
}

BOOST_AUTO_TEST_CASE(timesAndBytesBySizeOfFleet)
{
    struct Zone
    {
        std::size_t followers;
        double mbps;
    };
    BOOST_TEST_MESSAGE(
        "| size | followers | reader | in force after | unproven | passed on | store "
        "reads |");
    for (const std::size_t bytes : { 20 * Kilobyte, 300 * Kilobyte, 3 * Megabyte }) {
        for (const Zone &fleet : { Zone { 2, 10 }, Zone { 15, 10 }, Zone { 49, 20 } }) {
            for (const double readerMbps : { fleet.mbps, 200.0 }) {
                ZoneModel zone({ .followers = fleet.followers,
                                 .readerMbps = readerMbps,
                                 .followerMbps = fleet.mbps,
                                 .readerShare = readerMbps > 100 ? 0.5 : 0.12 },
                               { { .at = milliseconds(0), .table = partsOfSize(bytes, 'a') } });
                zone.run(std::chrono::seconds(60));
                BOOST_REQUIRE(zone.inForceAfter().has_value());
                BOOST_TEST(zone.cuts() == 0);
                BOOST_TEST_MESSAGE(
                    "| " << bytes / Kilobyte << " KB | " << fleet.followers << " | " << readerMbps
                         << " Mbit/s | " << zone.inForceAfter()->count() << " ms | "
                         << zone.longestUnproven().count() << " ms | " << zone.megabytesPassedOn()
                         << " MB | " << zone.storeReads() << " |");
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
