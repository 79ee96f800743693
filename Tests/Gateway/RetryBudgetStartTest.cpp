#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

constexpr unsigned Calls = 3;
/// The gateway divides the allowance by 12 nodes at least.
constexpr double TwoRetries = 24;

constexpr std::array Servers { "p1", "p2", "p3", "p4", "p5", "p6" };

/// Servers that fail all requests, and settings that allow two retries in a window.
void prepare(GatewayFixture &fixture, std::chrono::seconds window)
{
    fixture.settings.retryShare = 0;
    fixture.settings.retryAllowance = TwoRetries;
    fixture.settings.retryWindow = window;
    for (const char *name : Servers) {
        fixture.addServer(name, "plain",
                          [](ScriptedConnection &connection, const ReceivedRequest &request) {
                              connection.write(validResponse(request, 500));
                              return true;
                          });
    }
    fixture.configure(1, { "k1" });
}

/// Makes some calls and returns how many retries the servers have received for them.
std::size_t retriesOf(GatewayFixture &fixture)
{
    const auto received = [&fixture] {
        std::size_t requests = 0;
        for (const char *name : Servers) {
            requests += fixture.receivedRequests(name).size();
        }
        return requests;
    };
    const std::size_t before = received();
    for (unsigned count = 0; count < Calls; ++count) {
        BOOST_TEST(fixture.call("POST", "/safe/a", "prompt", "Authorization: Bearer k1\r\n")
                   != nullptr);
    }
    return received() - before - Calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetStartTest)

// Each process that followed another made the retries of a whole window once more.
BOOST_AUTO_TEST_CASE(retriesExceedTheBudgetWhenNodesEndSeveralTimesWithinAWindow)
{
    GatewayFixture fixture;
    prepare(fixture, std::chrono::seconds(20));
    std::size_t retries = 0;
    for (int starts = 0; starts < 4; ++starts) {
        fixture.start();
        retries += retriesOf(fixture);
        fixture.gateway.reset();
    }
    BOOST_TEST(retries == 2U);
}

BOOST_AUTO_TEST_CASE(processThatFollowsAnotherMakesRetriesAfterAWindow)
{
    GatewayFixture fixture;
    prepare(fixture, std::chrono::seconds(3));
    fixture.start();
    fixture.gateway.reset();
    fixture.start();
    BOOST_TEST(retriesOf(fixture) == 0U);
    std::this_thread::sleep_for(milliseconds(3100));
    BOOST_TEST(retriesOf(fixture) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
