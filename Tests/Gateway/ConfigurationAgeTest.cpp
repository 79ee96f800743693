#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

/// Time by which a store answers each watch late.
constexpr auto AnswerDelay = milliseconds(100);
/// Covers several watches.
constexpr auto ObservedTime = milliseconds(5000);
constexpr auto CallPause = milliseconds(10);

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationAgeTest)

BOOST_FIXTURE_TEST_CASE(unknownKeyIsAlwaysRejectedWhileTheStoreAnswersLate, GatewayFixture)
{
    configure(1, { "k1" });
    store.delayWatches(AnswerDelay);
    start();
    int rejected = 0;
    int others = 0;
    const auto until = std::chrono::steady_clock::now() + ObservedTime;
    while (std::chrono::steady_clock::now() < until) {
        const auto response = call("GET", "/safe/a", {}, "Authorization: Bearer never\r\n");
        ++(response != nullptr && response->result_int() == 401U ? rejected : others);
        std::this_thread::sleep_for(CallPause);
    }
    BOOST_TEST(rejected > 0);
    BOOST_TEST(others == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
