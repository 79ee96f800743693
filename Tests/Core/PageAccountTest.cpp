#include <memory>

#include <boost/test/unit_test.hpp>

#include "Core/PageAccount.h"

namespace jacinthroad {

namespace {

constexpr std::size_t BudgetBytes = 1000;
constexpr PageLimits Limits { .bytes = 600, .time = std::chrono::seconds(10) };
constexpr Instant Start {};

} // namespace

BOOST_AUTO_TEST_SUITE(PageAccountTest)

BOOST_AUTO_TEST_CASE(pagesTakeMoreThanTheirLimitTogether)
{
    const auto budget = std::make_shared<MemoryBudget>(BudgetBytes);
    PageAccount account("list", "the store", budget, Limits);
    BOOST_TEST(account.add(300, Start).has_value());
    BOOST_TEST(account.add(300, Start).has_value());
    BOOST_TEST(budget->used() == 600U);
    const auto refused = account.add(1, Start);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(refused.error().message
               == "list of the store: its pages take more than 600 bytes of memory");
    BOOST_TEST(refused.error().remedy == "Check the sender.");
    account.release();
    BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_CASE(pagesWithoutASizeGoOnForever)
{
    PageAccount account("list", "the store", std::make_shared<MemoryBudget>(BudgetBytes), Limits);
    account.begin(Start);
    BOOST_TEST(account.add(0, Start + Limits.time).has_value());
    const auto refused = account.add(0, Start + Limits.time + milliseconds(1));
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(refused.error().message == "list of the store: its pages take longer than 10000 ms");
}

BOOST_AUTO_TEST_CASE(pagesTakeMemoryThatOthersHave)
{
    const auto budget = std::make_shared<MemoryBudget>(BudgetBytes);
    BOOST_REQUIRE(budget->reserve(BodyKind::Control, 900));
    PageAccount account("list", "the store", budget, Limits);
    // What control needs may exceed the limit by an eighth.
    BOOST_TEST(account.add(225, Start).has_value());
    BOOST_TEST(!account.add(1, Start).has_value());
    BOOST_TEST(budget->used() == 1125U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
