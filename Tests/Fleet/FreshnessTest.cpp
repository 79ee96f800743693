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
    return Freshness({ .agedAfter = milliseconds(2000), .expiredAfter = milliseconds(4000) });
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessTest)

BOOST_AUTO_TEST_CASE(nothingIsTrustedBeforeTheFirstRead)
{
    const Freshness freshness = sampleFreshness();
    BOOST_TEST(!freshness.age(at(1)).has_value());
    BOOST_TEST((freshness.trust(at(1)) == Trust::Expired));
}

BOOST_AUTO_TEST_CASE(trustFallsWithTheAgeOfTheRead)
{
    Freshness freshness = sampleFreshness();
    freshness.confirm(at(1000));
    BOOST_TEST((freshness.trust(at(2999)) == Trust::Current));
    BOOST_TEST((freshness.trust(at(3000)) == Trust::Aged));
    BOOST_TEST((freshness.trust(at(4999)) == Trust::Aged));
    BOOST_TEST((freshness.trust(at(5000)) == Trust::Expired));
}

BOOST_AUTO_TEST_CASE(aReadThatWasSentEarlierProvesNothingNewer)
{
    Freshness freshness = sampleFreshness();
    freshness.confirm(at(3000));
    freshness.confirm(at(1000));
    BOOST_TEST((*freshness.age(at(3500)) == milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(aSuspendedVmWakesWithoutTrust)
{
    Freshness freshness = sampleFreshness();
    freshness.confirm(at(1000));
    // The clock goes on while the VM is suspended.
    BOOST_TEST((freshness.trust(at(9000)) == Trust::Expired));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
