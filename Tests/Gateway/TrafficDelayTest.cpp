#include <atomic>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Gateway/TrafficDelay.h"

namespace jacinthroad {

namespace {

DelaySample delayed(int late)
{
    return { .late = milliseconds(late),
             .trafficTime = milliseconds(1),
             .controlTime = milliseconds(2) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TrafficDelayTest)

BOOST_AUTO_TEST_CASE(delayIsBlamedOnTheThreadThatUsedTheProcessor)
{
    const auto cause = [](int traffic, int control) {
        return delayCauseName(classifyDelay({ .late = milliseconds(85),
                                              .trafficTime = milliseconds(traffic),
                                              .controlTime = milliseconds(control) }));
    };
    BOOST_TEST(cause(5, 80) == "control_thread");
    BOOST_TEST(cause(80, 5) == "traffic_thread");
    BOOST_TEST(cause(3, 4) == "neither");
    BOOST_TEST(delayCauseName(classifyDelay({ .late = milliseconds(85) })) == "unknown");
}

BOOST_AUTO_TEST_CASE(delaysUnderFiftyMillisecondsAreNotLogged)
{
    DelayLog log;
    BOOST_TEST(!log.note(delayed(49), Instant()).has_value());
    BOOST_TEST(log.note(delayed(50), Instant()).has_value());
}

BOOST_AUTO_TEST_CASE(delaysOfABusyNodeAreCountedInTheNextLine)
{
    DelayLog log;
    const Instant start;
    BOOST_TEST(log.note(delayed(60), start).has_value());
    BOOST_TEST(!log.note(delayed(70), start + milliseconds(300)).has_value());
    BOOST_TEST(!log.note(delayed(90), start + milliseconds(600)).has_value());
    BOOST_TEST(!log.note(delayed(55), start + milliseconds(999)).has_value());
    const auto next = log.note(delayed(60), start + milliseconds(1000));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(!next->severe);
    BOOST_TEST(next->leftOut == 3U);
    BOOST_TEST((next->longestLeftOut == milliseconds(90)));
    const auto later = log.note(delayed(60), start + milliseconds(2000));
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->leftOut == 0U);
}

BOOST_AUTO_TEST_CASE(severeDelayIsNeverLeftOut)
{
    DelayLog log;
    const Instant start;
    BOOST_TEST(log.note(delayed(60), start).has_value());
    const auto severe = log.note(delayed(250), start + milliseconds(300));
    BOOST_REQUIRE(severe.has_value());
    BOOST_TEST(severe->severe);
}

BOOST_AUTO_TEST_CASE(processorTimeOfAnotherThreadIsMeasured)
{
    std::atomic<bool> done { false };
    std::thread busy([&done] {
        while (!done) { }
    });
    ThreadClock busyClock;
    ThreadClock waitingClock;
    BOOST_TEST(!busyClock.elapsed(busy.native_handle()).has_value());
    BOOST_TEST(!waitingClock.elapsed(pthread_self()).has_value());
    Duration used {};
    const Instant limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (used < milliseconds(20) && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(milliseconds(10));
        used += busyClock.elapsed(busy.native_handle()).value_or(Duration::zero());
    }
    const auto waited = waitingClock.elapsed(pthread_self());
    done = true;
    busy.join();
    BOOST_TEST((used >= milliseconds(20)));
    BOOST_REQUIRE(waited.has_value());
    BOOST_TEST((*waited < used));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
