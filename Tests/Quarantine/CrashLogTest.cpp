#include "Quarantine/CrashLog.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

BOOST_AUTO_TEST_SUITE(CrashLogTest)

BOOST_AUTO_TEST_CASE(crashesWithoutTheRequestAreUnrelated)
{
    CrashLog log;
    const Instant start = Instant() + std::chrono::hours(1);
    log.noteRequestAtCrash(1, 7, start);
    log.noteRequestAtCrash(1, 8, start + milliseconds(5));
    log.noteRequestAtCrash(2, 7, start + milliseconds(900));
    BOOST_TEST(!log.hasUnrelatedCrash(7, start + milliseconds(900)));
    BOOST_TEST(log.hasUnrelatedCrash(8, start + milliseconds(900)));
    BOOST_TEST(!log.hasUnrelatedCrash(8, start + std::chrono::minutes(2)));
}

BOOST_AUTO_TEST_SUITE_END()
