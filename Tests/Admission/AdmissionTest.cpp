#include <boost/test/unit_test.hpp>

#include "Admission/FairQueue.h"
#include "Admission/OutputLengthEstimator.h"

using namespace jacinthroad;

namespace {

QueuedRequest request(const std::string &id, const std::string &team, double weight = 1,
                      int rankMs = 0)
{
    return { .id = RequestId(id),
             .team = TeamId(team),
             .weight = weight,
             .rank = Instant() + milliseconds(rankMs),
             .work = 100,
             .deadline = Instant() + std::chrono::seconds(1) };
}

std::string orderOf(const FairQueue &queue)
{
    std::string text;
    for (const RequestId &id : queue.dispatchOrder(100)) {
        text += id.text();
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTest)

BOOST_AUTO_TEST_CASE(floodOfOneTeamDoesNotDelayAnother)
{
    FairQueue queue;
    for (char name = 'a'; name < 'g'; ++name) {
        queue.push(request(std::string(1, name), "large"));
    }
    queue.push(request("z", "small"));
    BOOST_TEST(orderOf(queue).find('z') <= 1U);
}

BOOST_AUTO_TEST_CASE(teamsAreServedInProportionToTheirWeights)
{
    FairQueue queue;
    for (int index = 0; index < 40; ++index) {
        queue.push(request("h" + std::to_string(index), "heavy", 3));
        queue.push(request("l" + std::to_string(index), "light", 1));
    }
    int heavy = 0;
    for (int index = 0; index < 40; ++index) {
        const RequestId next = queue.dispatchOrder(1).front();
        heavy += next.text()[0] == 'h' ? 1 : 0;
        queue.noteDispatched(next);
    }
    BOOST_TEST(heavy >= 29);
    BOOST_TEST(heavy <= 31);
}

BOOST_AUTO_TEST_CASE(idleTeamGetsNoCredit)
{
    FairQueue queue;
    for (int index = 0; index < 50; ++index) {
        queue.push(request("b" + std::to_string(index), "busy"));
    }
    for (int index = 0; index < 40; ++index) {
        queue.noteDispatched(queue.dispatchOrder(1).front());
    }
    for (int index = 0; index < 10; ++index) {
        queue.push(request("n" + std::to_string(index), "new"));
    }
    int fresh = 0;
    for (int index = 0; index < 10; ++index) {
        const RequestId next = queue.dispatchOrder(1).front();
        fresh += next.text()[0] == 'n' ? 1 : 0;
        queue.noteDispatched(next);
    }
    BOOST_TEST(fresh <= 6);
}

BOOST_AUTO_TEST_CASE(earlierRankGoesFirstWithinATeam)
{
    FairQueue queue;
    queue.push(request("l", "t", 1, 900));
    queue.push(request("s", "t", 1, 0));
    BOOST_TEST(orderOf(queue) == "sl");
}

BOOST_AUTO_TEST_CASE(workAheadCountsOwnTeamAndOthersShares)
{
    FairQueue queue;
    for (int index = 0; index < 10; ++index) {
        queue.push(request("l" + std::to_string(index), "large"));
    }
    queue.push(request("first", "small"));
    queue.push(request("second", "small"));
    BOOST_TEST(queue.workAhead(RequestId("first")) == 0);
    BOOST_TEST(queue.workAhead(RequestId("second")) == 200);
    BOOST_TEST(queue.workAhead(RequestId("l9")) == 1100);
    BOOST_TEST(queue.workAhead(RequestId("unknown")) == 0);
}

BOOST_AUTO_TEST_CASE(removedRequestsAreNotReportedAsExpired)
{
    FairQueue queue;
    queue.push(request("a", "t"));
    queue.push(request("b", "t"));
    BOOST_TEST(queue.remove(RequestId("a")));
    BOOST_TEST(!queue.remove(RequestId("a")));
    BOOST_TEST(queue.waitingWork() == 100);
    BOOST_TEST(queue.expired(Instant()).empty());
    BOOST_TEST(queue.expired(Instant() + std::chrono::seconds(1)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OutputLengthEstimatorTest)

BOOST_AUTO_TEST_CASE(learnsLengthsBelowMaxTokens)
{
    OutputLengthEstimator lengths(100);
    BOOST_TEST(lengths.predict(1, 4096) == 4096U);
    for (int index = 0; index < 200; ++index) {
        lengths.observe(1, 8 + index % 5);
    }
    BOOST_TEST(lengths.predict(1, 4096) <= 20U);
    BOOST_TEST(lengths.predict(1, std::nullopt) <= 20U);
    BOOST_TEST(lengths.predict(1, 4) == 4U);
}

BOOST_AUTO_TEST_CASE(keepsNoMoreGroupsThanItsCapacity)
{
    OutputLengthEstimator lengths(100);
    for (std::uint64_t group = 0; group < 10000; ++group) {
        lengths.observe(group, 5);
    }
    BOOST_TEST(lengths.size() <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
