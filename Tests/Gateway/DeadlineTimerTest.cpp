#include <functional>
#include <optional>
#include <thread>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "Gateway/DeadlineTimer.h"

namespace jacinthroad {

namespace {

/// Two timers that become due in the same turn of the event loop. The handler of the first one runs
/// while the completion of the second one is queued.
class DueTimers
{
public:
    explicit DueTimers(std::function<void(DueTimers &)> whileQueued)
        : second(std::in_place, context)
    {
        const Instant now = std::chrono::steady_clock::now();
        first_.expireAt(now + milliseconds(1),
                        [this, whileQueued = std::move(whileQueued)] { whileQueued(*this); });
        second->expireAt(now + milliseconds(2), [this] { ++calls; });
        std::this_thread::sleep_for(milliseconds(10));
    }

    boost::asio::io_context context { 1 };
    unsigned calls = 0;
    std::optional<DeadlineTimer> second;

private:
    DeadlineTimer first_ { context };
};

} // namespace

BOOST_AUTO_TEST_SUITE(DeadlineTimerTest)

BOOST_AUTO_TEST_CASE(callsHandlerOnce)
{
    DueTimers timers([](DueTimers &) {});
    timers.context.run();
    BOOST_TEST(timers.calls == 1U);
}

BOOST_AUTO_TEST_CASE(cancelledTimerIgnoresQueuedCompletion)
{
    DueTimers timers([](DueTimers &due) { due.second->cancel(); });
    timers.context.run();
    BOOST_TEST(timers.calls == 0U);
}

BOOST_AUTO_TEST_CASE(rearmedTimerIgnoresQueuedCompletionOfEarlierHandler)
{
    unsigned laterCalls = 0;
    DueTimers timers(
        [&](DueTimers &due) { due.second->expireAfter(milliseconds(20), [&] { ++laterCalls; }); });
    timers.context.run_for(milliseconds(10));
    BOOST_TEST(timers.calls == 0U);
    BOOST_TEST(laterCalls == 0U);
    timers.context.run();
    BOOST_TEST(timers.calls == 0U);
    BOOST_TEST(laterCalls == 1U);
}

BOOST_AUTO_TEST_CASE(destroyedTimerIgnoresQueuedCompletion)
{
    DueTimers timers([](DueTimers &due) { due.second.reset(); });
    timers.context.run();
    BOOST_TEST(timers.calls == 0U);
}

BOOST_AUTO_TEST_CASE(handlerMayRearmItsTimer)
{
    boost::asio::io_context context { 1 };
    DeadlineTimer timer(context);
    unsigned calls = 0;
    const std::function<void()> handler = [&] {
        if (++calls < 3) {
            timer.expireAfter(Duration::zero(), handler);
        }
    };
    timer.expireAfter(Duration::zero(), handler);
    context.run();
    BOOST_TEST(calls == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
