#include <boost/test/unit_test.hpp>

#include "FleetPeers/DigestPacing.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(DigestPacingTest)

BOOST_AUTO_TEST_CASE(digestsStayWithinTheirShareOfTheLink)
{
    for (const std::size_t peers : { 1, 6, 60, 300 }) {
        for (const std::size_t bytes : { 100, 1200, 8000 }) {
            const double seconds = toMilliseconds(digestPause(peers, bytes)) / 1000;
            const double rate = static_cast<double>(peers * bytes) / seconds;
            BOOST_TEST(rate <= 1.001 * MaxDigestBytesPerSecond);
        }
    }
}

BOOST_AUTO_TEST_CASE(batchesOfSmallDigestsAreNotDelayed)
{
    for (const std::size_t peers : { 1, 6, 60 }) {
        BOOST_TEST((digestPause(peers, 100) < digestBatchDelay(peers)));
    }
}

BOOST_AUTO_TEST_CASE(nodesOfAFleetOfAnySizeDoNotBelieveThatTheyAreAlone)
{
    for (const std::size_t peers : { 1, 6, 60, 150, 294, 1000 }) {
        const Duration between = std::max(digestPeriod(peers), digestPause(peers, MaxDigestBytes));
        BOOST_TEST((nodeTimeout(peers) >= 3 * between), peers);
    }
}

BOOST_AUTO_TEST_CASE(smallFleetsNoticeALostNodeAsSoonAsBefore)
{
    BOOST_CHECK(nodeTimeout(7) == milliseconds(1500));
}

BOOST_AUTO_TEST_CASE(summariesStayWithinTheirShareOfTheLink)
{
    for (const std::size_t receivers : { 1, 49, 245, 1000 }) {
        const double seconds = toMilliseconds(summaryPeriod(receivers)) / 1000;
        const double rate = static_cast<double>(receivers * MaxDigestBytes) / seconds;
        BOOST_TEST(rate <= 1.001 * MaxDigestBytesPerSecond);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
