#include "Core/TimerService.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

namespace {

Instant at(int ms)
{
    return Instant() + milliseconds(ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimerServiceTest)

BOOST_AUTO_TEST_CASE(firesInOrderOfDueTime)
{
    TimerService timers;
    std::string order;
    timers.once(at(20), [&](Instant) { order += "b"; });
    timers.once(at(10), [&](Instant) { order += "a"; });
    timers.once(at(30), [&](Instant) { order += "c"; });
    timers.fire(at(25));
    BOOST_TEST(order == "ab");
    BOOST_TEST((timers.nextDue() == at(30)));
}

BOOST_AUTO_TEST_CASE(skipsMissedPeriods)
{
    TimerService timers;
    int calls = 0;
    timers.every(at(10), milliseconds(10), [&](Instant) { ++calls; });
    timers.fire(at(1000));
    BOOST_TEST(calls == 1);
    BOOST_TEST((timers.nextDue() == at(1010)));
}

BOOST_AUTO_TEST_CASE(cancelledSubscriptionNeverFires)
{
    TimerService timers;
    int calls = 0;
    TimerService::Subscription second = 0;
    timers.once(at(10), [&](Instant) { timers.cancel(second); });
    second = timers.once(at(10), [&](Instant) { ++calls; });
    timers.fire(at(10));
    BOOST_TEST(calls == 0);
    BOOST_TEST(!timers.nextDue().has_value());
}

BOOST_AUTO_TEST_CASE(callbackMayCancelItself)
{
    TimerService timers;
    int calls = 0;
    TimerService::Subscription self = 0;
    self = timers.every(at(10), milliseconds(10), [&](Instant) {
        ++calls;
        timers.cancel(self);
    });
    timers.fire(at(10));
    timers.fire(at(50));
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
