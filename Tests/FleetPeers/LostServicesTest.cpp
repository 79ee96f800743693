#include <boost/test/unit_test.hpp>

#include "FleetPeers/LostServices.h"

namespace jacinthroad {

namespace {

std::vector<ServiceId> servicesOf(std::size_t count)
{
    std::vector<ServiceId> services;
    for (std::size_t index = 0; index < count; ++index) {
        services.emplace_back("service-" + std::to_string(index));
    }
    return services;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LostServicesTest)

BOOST_AUTO_TEST_CASE(endlessServicesOfAPeerAreKept)
{
    const auto memory = std::make_shared<MemoryBudget>(1'000'000);
    LostServices lost(memory);
    lost.setPeers(std::vector<FleetNode> { { .name = "front-1" } });
    BOOST_TEST(lost.note("front-1", servicesOf(50)));
    BOOST_TEST(lost.contains("front-1", ServiceId("service-49")));
    BOOST_TEST(memory->used() > 0U);
    BOOST_TEST(!lost.note("front-1", servicesOf(20'000)));
    BOOST_TEST(!lost.contains("front-1", ServiceId("service-49")));
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_CASE(servicesOfUnknownSendersAreKept)
{
    const auto memory = std::make_shared<MemoryBudget>(1'000'000);
    LostServices lost(memory);
    lost.setPeers(std::vector<FleetNode> { { .name = "front-1" }, { .name = "front-2" } });
    BOOST_TEST(lost.note("front-3", servicesOf(50)));
    BOOST_TEST(memory->used() == 0U);
    BOOST_TEST(lost.note("front-2", servicesOf(50)));
    lost.setPeers(std::vector<FleetNode> { { .name = "front-1" } });
    BOOST_TEST(!lost.contains("front-2", ServiceId("service-1")));
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_CASE(servicesOfAllPeersTakeMemoryThatOthersHave)
{
    constexpr std::size_t BudgetBytes = 4000;
    const auto memory = std::make_shared<MemoryBudget>(BudgetBytes);
    LostServices lost(memory);
    lost.setPeers(std::vector<FleetNode> { { .name = "front-1" }, { .name = "front-2" } });
    BOOST_TEST(lost.note("front-1", servicesOf(80)));
    BOOST_TEST(!lost.note("front-2", servicesOf(80)));
    BOOST_TEST(memory->used() <= BudgetBytes + BudgetBytes / 8);
    BOOST_TEST(lost.note("front-1", servicesOf(1)));
    BOOST_TEST(lost.note("front-2", servicesOf(80)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
