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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
