#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "ZoneModel.h"

namespace jacinthroad {

namespace {

constexpr std::size_t Megabyte = 1'000'000;
/// Half of the time within which a fleet of several zones must have a new configuration in force.
constexpr milliseconds InForceLimit { 1500 };
/// Age from which a configuration rejects no key for good.
constexpr milliseconds StaleAge { 2000 };

ObjectTable tableOfSize(std::size_t bytes, std::uint64_t revision)
{
    platform::StoredObject object { .name = "main", .revision = revision };
    object.spec = std::string(bytes, 'x');
    return { { object.name, object } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(LargeConfigurationTest)

BOOST_AUTO_TEST_CASE(configurationOfAMegabyteReachesEachFollowerOfANarrowReader,
                     *boost::unit_test::disabled())
{
    ZoneModel zone({ .followers = 15, .readerMbps = 10, .readerShare = 0.12 },
                   { { .at = milliseconds(0), .table = tableOfSize(Megabyte, 2) } });
    zone.run(std::chrono::seconds(20));
    BOOST_REQUIRE_MESSAGE(zone.inForceAfter().has_value(),
                          "followers never had it; " << zone.cuts() << " transfers were cut");
    BOOST_TEST(zone.inForceAfter()->count() <= InForceLimit.count());
    BOOST_TEST(zone.longestUnproven().count() < StaleAge.count());
    BOOST_TEST(zone.cuts() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
