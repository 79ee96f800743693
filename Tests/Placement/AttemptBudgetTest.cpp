#include <algorithm>
#include <cstdint>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/AttemptBudget.h"

namespace jacinthroad {

namespace {

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(milli));
}

} // namespace

BOOST_AUTO_TEST_SUITE(AttemptBudgetTest)

BOOST_AUTO_TEST_CASE(sevenNodesStayWithinTheFleetBudget)
{
    // Every request asks for one retry, as when all servers of a service reject.
    constexpr unsigned Nodes = 7;
    constexpr double Ratio = 0.2;
    constexpr double Slack = 54;
    const ServiceId service("s");
    unsigned retries = 0;
    unsigned requests = 0;
    for (unsigned node = 0; node < Nodes; ++node) {
        AttemptBudget budget({ .retryRatio = Ratio,
                               .window = std::chrono::seconds(10),
                               .allowance = Slack / Nodes });
        for (std::int64_t now = 1000000; now < 1010000; now += 100) {
            budget.noteRequest(service, at(now));
            ++requests;
            retries += budget.spend(service, at(now)) ? 1 : 0;
        }
    }
    BOOST_TEST(retries <= Ratio * requests + Slack);
    BOOST_TEST(retries >= Ratio * requests);
}

BOOST_AUTO_TEST_CASE(silenceOfAServerWithSixtyRequestsLeavesRetriesForOtherFailures)
{
    // The rates and bounds of the deployment lienzo-andino.
    constexpr unsigned Nodes = 7;
    constexpr unsigned RequestsOfServer = 60;
    constexpr double Slack = 54;
    const ServiceId service("s");
    AttemptBudget budget(
        { .retryRatio = 0.2, .window = std::chrono::seconds(10), .allowance = Slack / Nodes });
    for (std::int64_t now = 1000000; now < 1010000; now += 75) {
        budget.noteRequest(service, at(now));
    }
    constexpr unsigned OfThisNode = RequestsOfServer / Nodes + 1;
    for (unsigned count = 0; count < OfThisNode; ++count) {
        BOOST_TEST(budget.spend(service, at(1009990)));
    }
    unsigned left = 0;
    while (left < 1000 && budget.spend(service, at(1009995))) {
        ++left;
    }
    BOOST_TEST(left >= OfThisNode);
}

BOOST_AUTO_TEST_CASE(requestsOutsideTheWindowAllowNoRetries)
{
    const ServiceId service("s");
    AttemptBudget budget({ .retryRatio = 0.5, .window = std::chrono::seconds(10), .allowance = 0 });
    for (int count = 0; count < 100; ++count) {
        budget.noteRequest(service, at(1000000));
    }
    BOOST_TEST(budget.spend(service, at(1009000)));
    BOOST_TEST(!budget.spend(service, at(1011000)));
}

BOOST_AUTO_TEST_CASE(retryThatIsGivenBackMayBeMade)
{
    AttemptBudget budget({ .retryRatio = 0, .window = std::chrono::seconds(10), .allowance = 1 });
    const ServiceId service("s");
    const Instant now = Instant() + std::chrono::seconds(100);
    BOOST_TEST(budget.spend(service, now));
    BOOST_TEST(!budget.spend(service, now));
    budget.giveBack(service, now, now + std::chrono::seconds(2));
    BOOST_TEST(budget.spend(service, now + std::chrono::seconds(2)));
    BOOST_TEST(!budget.spend(service, now + std::chrono::seconds(2)));
    budget.giveBack(service, now + std::chrono::seconds(2), now + std::chrono::seconds(60));
    BOOST_TEST(budget.spend(service, now + std::chrono::seconds(60)));
    BOOST_TEST(!budget.spend(service, now + std::chrono::seconds(60)));
}

BOOST_AUTO_TEST_CASE(retryThatIsGivenBackLeavesLaterOnesCounted)
{
    AttemptBudget budget({ .retryRatio = 0, .window = std::chrono::seconds(10), .allowance = 2 });
    const ServiceId service("s");
    const Instant start = Instant() + std::chrono::seconds(100);
    BOOST_TEST(budget.spend(service, start));
    BOOST_TEST(budget.spend(service, start + std::chrono::seconds(3)));
    budget.giveBack(service, start, start + std::chrono::seconds(4));
    BOOST_TEST(budget.spend(service, start + std::chrono::seconds(5)));
    // Two retries have been made in the last eight seconds.
    BOOST_TEST(!budget.spend(service, start + std::chrono::seconds(11)));
}

BOOST_AUTO_TEST_CASE(retryOfAnEarlierWindowThatIsGivenBackAllowsOneMoreInThisOne)
{
    AttemptBudget budget({ .retryRatio = 0, .window = std::chrono::seconds(10), .allowance = 2 });
    const ServiceId service("s");
    const Instant start = Instant() + std::chrono::seconds(100);
    // Reserved by a request that lasts for longer than the window.
    BOOST_TEST(budget.spend(service, start));
    BOOST_TEST(budget.spend(service, start + std::chrono::seconds(15)));
    BOOST_TEST(budget.spend(service, start + std::chrono::seconds(15)));
    budget.giveBack(service, start, start + std::chrono::seconds(16));
    BOOST_TEST(!budget.spend(service, start + std::chrono::seconds(16)));
}

// With a longer window the slices got lower numbers, so that nothing was cleared any more.
BOOST_AUTO_TEST_CASE(budgetHoldsAfterTheWindowHasBecomeLongerOrShorter)
{
    const ServiceId service("s");
    for (const int seconds : { 13, 7 }) {
        const Duration window = std::chrono::seconds(seconds);
        AttemptBudget budget(
            { .retryRatio = 0.2, .window = std::chrono::seconds(10), .allowance = 3 });
        unsigned before = 0;
        std::int64_t now = 1000000;
        for (; now < 1060000; now += 100) {
            budget.noteRequest(service, at(now));
            before += budget.spend(service, at(now)) ? 1 : 0;
        }
        budget.setOptions({ .retryRatio = 0.2, .window = window, .allowance = 3 }, at(now));
        std::vector<std::int64_t> retries;
        for (; now < 1120000; now += 100) {
            budget.noteRequest(service, at(now));
            // The requests before the failures begin don't pay for all of them.
            if (now >= 1100000 && budget.spend(service, at(now))) {
                retries.push_back(now);
            }
        }
        BOOST_TEST(before > 100U);
        BOOST_TEST(retries.size() > 20U);
        for (const std::int64_t begin : retries) {
            const auto inWindow
                = std::count_if(retries.begin(), retries.end(), [&](std::int64_t retry) {
                      return retry >= begin && at(retry) < at(begin) + window;
                  });
            // A retry counts for nine tenths of a window at least.
            BOOST_TEST(static_cast<double>(inWindow) <= 0.2 * 10 * seconds * 10 / 9 + 2 * 3 + 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
