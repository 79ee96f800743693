#include <boost/test/unit_test.hpp>

#include "Fleet/Freshness.h"

namespace jacinthroad {

namespace {

BootInstant at(int milli)
{
    return { milliseconds(milli) };
}

Freshness sampleFreshness()
{
    return Freshness({ .staleAfter = milliseconds(2000), .expiredAfter = milliseconds(4000) });
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessTest)

BOOST_AUTO_TEST_CASE(isExpiredBeforeTheFirstRead)
{
    const Freshness freshness = sampleFreshness();
    BOOST_TEST(!freshness.age(at(1)).has_value());
    BOOST_TEST((freshness.level(at(1)) == FreshnessLevel::Expired));
}

BOOST_AUTO_TEST_CASE(levelFallsWithTheAgeOfTheRead)
{
    Freshness freshness = sampleFreshness();
    freshness.confirm(at(1000));
    BOOST_TEST((freshness.level(at(2999)) == FreshnessLevel::Current));
    BOOST_TEST((freshness.level(at(3000)) == FreshnessLevel::Stale));
    BOOST_TEST((freshness.level(at(4999)) == FreshnessLevel::Stale));
    BOOST_TEST((freshness.level(at(5000)) == FreshnessLevel::Expired));
}

BOOST_AUTO_TEST_CASE(earlierReadDoesNotMoveTheTimeBack)
{
    Freshness freshness = sampleFreshness();
    freshness.confirm(at(3000));
    freshness.confirm(at(1000));
    BOOST_TEST((*freshness.age(at(3500)) == milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(isExpiredAfterVmSuspension)
{
    Freshness freshness = sampleFreshness();
    freshness.confirm(at(1000));
    // CLOCK_BOOTTIME keeps counting while the VM is suspended.
    BOOST_TEST((freshness.level(at(9000)) == FreshnessLevel::Expired));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
