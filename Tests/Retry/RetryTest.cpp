#include <boost/test/unit_test.hpp>

#include "Retry/RetryBudget.h"
#include "Retry/ServerHealth.h"

using namespace jacinthroad;

namespace {

Instant at(int ms)
{
    return Instant() + milliseconds(ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

BOOST_AUTO_TEST_CASE(retriesStayAShareOfFirstAttempts)
{
    RetryBudget budget(0.1, 5);
    const TeamId team("t");
    int spent = 0;
    for (int index = 0; index < 1000; ++index) {
        budget.earn(team);
        spent += budget.spend(team) ? 1 : 0;
    }
    BOOST_TEST(spent >= 100);
    BOOST_TEST(spent <= 106);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServerHealthTest)

BOOST_AUTO_TEST_CASE(ejectedServerReturnsAfterOneProbe)
{
    ServerHealth health({ .failuresToEject = 2, .firstEjection = milliseconds(100) });
    health.noteFailure(at(0));
    BOOST_TEST(health.available(at(0)));
    health.noteFailure(at(1));
    BOOST_TEST(!health.available(at(50)));
    BOOST_TEST((health.state(at(101)) == ServerHealth::State::HalfOpen));
    BOOST_TEST(health.available(at(101)));
    health.noteProbeSent();
    BOOST_TEST(!health.available(at(102)));
    health.noteSuccess();
    BOOST_TEST(health.available(at(103)));
}

BOOST_AUTO_TEST_CASE(failedProbeEjectsForLonger)
{
    ServerHealth health({ .failuresToEject = 1, .firstEjection = milliseconds(100) });
    health.noteFailure(at(0));
    health.noteProbeSent();
    health.noteFailure(at(150));
    BOOST_TEST(!health.available(at(300)));
    BOOST_TEST(health.available(at(360)));
}

BOOST_AUTO_TEST_CASE(slowdownIsMeasuredAndDecays)
{
    ServerHealth health({ .slowdownHalfLife = std::chrono::seconds(1) });
    for (int index = 0; index < 20; ++index) {
        health.noteRelativeGap(4, at(index));
    }
    BOOST_TEST(health.slowdown(at(20)) > 3.5);
    BOOST_TEST(health.slowdown(at(10020)) < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()
