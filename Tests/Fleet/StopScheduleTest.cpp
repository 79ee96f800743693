#include <array>

#include <boost/test/unit_test.hpp>

#include "Fleet/StopSchedule.h"
#include "Fleet/UsualDuration.h"

namespace jacinthroad {

namespace {

constexpr Duration LongestGrace = std::chrono::seconds(60);
constexpr Duration ArrivalStep = milliseconds(50);
constexpr std::array Graces { milliseconds(500),  milliseconds(1000), milliseconds(1700),
                              milliseconds(2000), milliseconds(3000), milliseconds(3300),
                              milliseconds(5000), milliseconds(8000), milliseconds(30000),
                              milliseconds(60000) };
constexpr std::array Limits { milliseconds(5),    milliseconds(100),  milliseconds(1000),
                              milliseconds(1500), milliseconds(5000), milliseconds(15000),
                              milliseconds(60000) };

/// Calls `check` with many graces, limits and times of arrival.
template <typename Check> void forAllArrivals(const Check &check)
{
    for (const Duration grace : Graces) {
        for (const Duration limit : Limits) {
            for (Duration since {}; since <= LongestGrace; since += ArrivalStep) {
                check(grace, StopArrival { .sinceSignal = since, .limit = limit });
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(StopScheduleTest)

BOOST_AUTO_TEST_CASE(noAcceptedRequestCanEndAfterTheLastResponses)
{
    unsigned accepted = 0;
    forAllArrivals([&](Duration grace, StopArrival arrival) {
        const StopSchedule schedule(grace);
        for (const bool mayBeEnded : { false, true }) {
            for (const Duration usual : Limits) {
                arrival.mayBeEnded = mayBeEnded;
                arrival.usualDuration = usual;
                const auto limit = schedule.serviceLimit(arrival);
                if (limit.has_value()) {
                    ++accepted;
                    BOOST_TEST_REQUIRE((*limit > Duration::zero()));
                    BOOST_TEST_REQUIRE((*limit <= arrival.limit));
                    BOOST_TEST_REQUIRE((arrival.sinceSignal + *limit <= schedule.answerEnd()));
                }
            }
        }
    });
    BOOST_TEST(accepted > 0U);
}

BOOST_AUTO_TEST_CASE(unsafeRequestIsNeverGivenLessTimeThanItsLimit)
{
    forAllArrivals([](Duration grace, StopArrival arrival) {
        arrival.usualDuration = milliseconds(1);
        const auto limit = StopSchedule(grace).serviceLimit(arrival);
        BOOST_TEST_REQUIRE((!limit.has_value() || *limit == arrival.limit));
    });
}

BOOST_AUTO_TEST_CASE(requestsThatCertainlyEndAreAcceptedUntilTheBalancerHasLeft)
{
    forAllArrivals([](Duration grace, const StopArrival &arrival) {
        const StopSchedule schedule(grace);
        const bool endsInTime = arrival.sinceSignal < milliseconds(2800)
            && arrival.sinceSignal + arrival.limit <= schedule.answerEnd();
        if (endsInTime) {
            BOOST_TEST_REQUIRE(schedule.serviceLimit(arrival).has_value());
        }
    });
}

BOOST_AUTO_TEST_CASE(eventsAreSentUntilTheLastSixthOfTheGrace)
{
    for (const Duration grace : Graces) {
        const StopSchedule schedule(grace);
        BOOST_TEST((schedule.answerEnd() >= grace - grace / 6));
        BOOST_TEST((schedule.answerEnd() + schedule.releaseTime() < grace));
        BOOST_TEST((schedule.acceptEnd() <= schedule.listenerEnd()));
        BOOST_TEST((schedule.listenerEnd() <= schedule.answerEnd()));
    }
}

BOOST_AUTO_TEST_CASE(streamThatUsuallyEndsInTimeIsAcceptedWithLessTime)
{
    const StopSchedule schedule(std::chrono::seconds(8));
    StopArrival arrival { .sinceSignal = milliseconds(2000),
                          .limit = std::chrono::seconds(12),
                          .mayBeEnded = true };
    BOOST_TEST(!schedule.serviceLimit(arrival).has_value());
    arrival.usualDuration = milliseconds(3000);
    BOOST_TEST((schedule.serviceLimit(arrival) == Duration(milliseconds(5550))));
    arrival.usualDuration = milliseconds(6000);
    BOOST_TEST(!schedule.serviceLimit(arrival).has_value());
}

BOOST_AUTO_TEST_CASE(usualDurationFollowsTheMean)
{
    UsualDuration usual;
    BOOST_TEST(!usual.estimate().has_value());
    usual.note(milliseconds(3000));
    BOOST_TEST((usual.estimate() == Duration(milliseconds(3000))));
    for (int sample = 0; sample < 100; ++sample) {
        usual.note(milliseconds(sample % 2 == 0 ? 900 : 1100));
    }
    BOOST_TEST((*usual.estimate() > milliseconds(950)));
    BOOST_TEST((*usual.estimate() < milliseconds(1050)));
}

BOOST_AUTO_TEST_CASE(finalResponsesAndReleaseEndWithinTheGracePeriod)
{
    for (const auto grace : { milliseconds(0), milliseconds(500), milliseconds(2000),
                              milliseconds(3500), milliseconds(8000), milliseconds(60000) }) {
        const StopSchedule schedule(grace);
        const Duration end = schedule.waitEnd(schedule.answerEnd());
        BOOST_TEST((schedule.answerEnd() + schedule.releaseTime() <= end));
        BOOST_TEST((end <= grace));
        BOOST_TEST((schedule.waitEnd(grace + milliseconds(100)) == grace + milliseconds(100)));
    }
}

BOOST_AUTO_TEST_CASE(waitsOfANodeWithAQuarterOfACoreLeaveTimeForTheEndOfItsProcess)
{
    // The node is kept from running before, during and after its wait.
    constexpr Duration Stopped = milliseconds(75);
    for (const auto grace : { milliseconds(3600), milliseconds(5000), milliseconds(60000) }) {
        const StopSchedule schedule(grace);
        const Duration begin = schedule.answerEnd() + Stopped;
        BOOST_TEST((begin < schedule.waitEnd(begin)));
        BOOST_TEST((schedule.waitEnd(begin) + 2 * Stopped <= grace));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
