#include <boost/test/unit_test.hpp>

#include "Fleet/Freshness.h"
#include "StoreRelay/ReadPacing.h"

namespace jacinthroad {

namespace {

/// Time of one call to a store that responds slowly, and of an unanswered one.
constexpr Duration CallTime = milliseconds(900);
/// Shortest times within which a fleet of several zones must have a leaving server out of use and
/// a new configuration in force, according to the platform's pages for such fleets.
constexpr Duration LeavingLimit = milliseconds(3000);
constexpr Duration ConfigurationLimit = milliseconds(3000);
/// Age from which a configuration rejects no key for good.
constexpr Duration StaleAge = milliseconds(2000);

ReadPacing passedOnPacing()
{
    return configurationPacing({ .passesOn = true, .staleAfter = StaleAge });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReadPacingTest)

BOOST_AUTO_TEST_CASE(readerThatLosesTheStoreIsLeftBeforeALeavingServerIsDue)
{
    const Duration limit = relayAgeLimit(serversPacing({ .passesOn = true })) + CallTime;
    BOOST_TEST((limit + RelayedServersWait < LeavingLimit));
}

BOOST_AUTO_TEST_CASE(readerThatLosesTheStoreIsLeftBeforeAConfigurationIsDue)
{
    const Duration limit = relayAgeLimit(passedOnPacing()) + CallTime;
    BOOST_TEST((limit + RelayedConfigurationWait < ConfigurationLimit));
}

BOOST_AUTO_TEST_CASE(configurationThatIsPassedOnDoesNotBecomeStale)
{
    const Duration age = relayAgeLimit(passedOnPacing()) + RelayedConfigurationWait;
    BOOST_TEST((age < StaleAge));
}

BOOST_AUTO_TEST_CASE(configurationDoesNotBecomeStaleWhileTheStoreAnswersLate)
{
    for (const int keyRevocationMs : { 1000, 2500, 5000, 20000 }) {
        const Duration stale = Freshness::limitsFor(milliseconds(keyRevocationMs)).staleAfter;
        const Duration answer = stale / 20;
        const Duration wait = configurationPacing({ .staleAfter = stale }).wait;
        BOOST_TEST((2 * (wait + answer) < stale));
        const Duration passedOnWait
            = configurationPacing({ .passesOn = true, .staleAfter = stale }).wait;
        BOOST_TEST((3 * passedOnWait + 2 * answer < stale));
    }
}

BOOST_AUTO_TEST_CASE(objectsThatRarelyChangeAreNotTooOldForTheirFollowers)
{
    const ReadPacing pacing { .wait = std::chrono::seconds(10), .pause = milliseconds(500) };
    BOOST_TEST((relayAgeLimit(pacing) >= std::chrono::seconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
