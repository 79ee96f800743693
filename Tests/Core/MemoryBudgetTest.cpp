#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/MemoryBudget.h"

namespace jacinthroad {

namespace {

constexpr std::size_t Limit = 8'000'000;

MemoryReservation reservation(const std::shared_ptr<MemoryBudget> &budget, BodyKind kind)
{
    return { budget, kind };
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryBudgetTest)

BOOST_AUTO_TEST_CASE(longRequestsLeaveRoomForShortOnesAndForResponses)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    MemoryReservation first = reservation(budget, BodyKind::Request);
    BOOST_TEST(first.resize(5'900'000));
    MemoryReservation second = reservation(budget, BodyKind::Request);
    BOOST_TEST(!second.resize(200'000));
    BOOST_TEST(second.bytes() == 0U);
    BOOST_TEST(second.resize(60'000));
    MemoryReservation response = reservation(budget, BodyKind::Response);
    BOOST_TEST(response.resize(1'000'000));
    BOOST_TEST(!response.resize(1'200'000));
    BOOST_TEST(response.bytes() == 1'000'000U);
    MemoryReservation shortResponse = reservation(budget, BodyKind::Response);
    BOOST_TEST(shortResponse.resize(60'000));
    BOOST_TEST(budget->used() == 7'020'000U);
}

BOOST_AUTO_TEST_CASE(sizeIsTakenForTheFaultOfOthers)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    budget->setResponseLimits({ .all = Limit / 16 * 11, .longOnes = Limit / 2 });
    MemoryReservation other = reservation(budget, BodyKind::Response);
    MemoryReservation response = reservation(budget, BodyKind::Response);
    BOOST_TEST(other.resize(3'000'000));
    BOOST_TEST(!response.resize(3'000'000));
    BOOST_TEST(response.refusedForOthers());
    BOOST_TEST(!response.resize(4'100'000));
    BOOST_TEST(!response.refusedForOthers());
    MemoryReservation request = reservation(budget, BodyKind::Request);
    BOOST_TEST(!request.resize(5'000'000));
    BOOST_TEST(request.refusedForOthers());
    BOOST_TEST(!request.resize(6'100'000));
    BOOST_TEST(!request.refusedForOthers());
}

// Responses of faulty servers filled the memory, so that requests for others were refused.
BOOST_AUTO_TEST_CASE(longResponsesTakeTheMemoryOfRequests)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    budget->setResponseLimits({ .all = Limit / 16 * 11, .longOnes = Limit / 2 });
    std::vector<MemoryReservation> responses;
    std::size_t kept = 0;
    for (int number = 0; number < 20; ++number) {
        responses.push_back(reservation(budget, BodyKind::Response));
        kept += responses.back().resize(1'000'000) ? 1 : 0;
    }
    BOOST_TEST(kept == 4U);
    MemoryReservation request = reservation(budget, BodyKind::Request);
    BOOST_TEST(request.resize(2'000'000));
    MemoryReservation shortResponse = reservation(budget, BodyKind::Response);
    BOOST_TEST(shortResponse.resize(60'000));
    responses.clear();
    MemoryReservation later = reservation(budget, BodyKind::Response);
    BOOST_TEST(later.resize(3'000'000));
}

// Two sound downloads took the memory of all responses, so that streams were cut.
BOOST_AUTO_TEST_CASE(longResponsesTakeTheMemoryOfShortOnes)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    budget->setResponseLimits({ .all = Limit / 16 * 11, .longOnes = Limit / 2 });
    MemoryReservation longOne = reservation(budget, BodyKind::Response);
    BOOST_TEST(longOne.resize(Limit / 2));
    std::vector<MemoryReservation> shortOnes;
    std::size_t kept = 0;
    for (int number = 0; number < 40; ++number) {
        shortOnes.push_back(reservation(budget, BodyKind::Response));
        kept += shortOnes.back().resize(50'000) ? 1 : 0;
    }
    BOOST_TEST(kept * 50'000 >= Limit / 16 * 3 - 50'000);
    MemoryReservation request = reservation(budget, BodyKind::Request);
    BOOST_TEST(request.resize(60'000));
    // A short one that becomes long needs room among the long ones.
    BOOST_TEST(!shortOnes.front().resize(70'000));
    BOOST_TEST(longOne.resize(Limit / 4));
    BOOST_TEST(shortOnes.front().resize(70'000));
    shortOnes.clear();
    BOOST_TEST(longOne.resize(Limit / 2));
    BOOST_TEST(longOne.resize(0));
    BOOST_TEST(budget->used() == 60'000U);
}

BOOST_AUTO_TEST_CASE(memoryIsGivenBackWithItsReservation)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    {
        MemoryReservation first = reservation(budget, BodyKind::Request);
        BOOST_TEST(first.resize(5'000'000));
        const MemoryReservation moved = std::move(first);
        BOOST_TEST(moved.bytes() == 5'000'000U);
        BOOST_TEST(budget->used() == 5'000'000U);
    }
    BOOST_TEST(budget->used() == 0U);
    MemoryReservation shrinks = reservation(budget, BodyKind::Response);
    BOOST_TEST(shrinks.resize(3'000'000));
    budget->setLimit(1'000'000);
    BOOST_TEST(shrinks.resize(2'000'000));
    BOOST_TEST(!shrinks.resize(2'000'001));
    BOOST_TEST(budget->used() == 2'000'000U);
}

BOOST_AUTO_TEST_CASE(growingBodyNeverTakesMoreThanIsReserved)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    MemoryReservation memory = reservation(budget, BodyKind::Response);
    std::string body;
    std::size_t former = 0;
    while (memory.growBody(body, 4096, 16'000'000)) {
        BOOST_TEST(body.capacity() >= body.size() + 4096);
        BOOST_TEST(memory.bytes() >= body.capacity());
        former = body.size();
        body.append(4096, 'x');
    }
    // Growing needs room for both copies.
    BOOST_TEST(former >= Limit / 4);
    BOOST_TEST(budget->used() == memory.bytes());
    std::string limited;
    MemoryReservation rest = reservation(std::make_shared<MemoryBudget>(Limit), BodyKind::Request);
    BOOST_TEST(rest.growBody(limited, 4096, 1000));
    BOOST_TEST(limited.capacity() < 4096U);
}

BOOST_AUTO_TEST_CASE(bodyOfTheLargestSizeTakesMoreThanItsLimit)
{
    constexpr std::size_t Limit = 4'000'000;
    const auto budget = std::make_shared<MemoryBudget>(std::size_t { 16'000'000 });
    MemoryReservation memory(budget, BodyKind::Request);
    std::string body;
    while (body.size() < Limit) {
        const std::size_t bytes = std::min<std::size_t>(4000, Limit - body.size());
        BOOST_TEST_REQUIRE(memory.growBody(body, bytes, Limit));
        body.append(bytes, 'x');
    }
    BOOST_TEST(body.capacity() <= Limit);
    BOOST_TEST(budget->used() == body.capacity());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
