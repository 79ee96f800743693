#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

const std::string Headers = "Authorization: Bearer k1\r\nX-Model: m\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(WeightsDateTest)

// Each start granted replaced weights the time since the last write of the lease once more.
BOOST_AUTO_TEST_CASE(replacedWeightsStayInUseWhenAllNodesEndTwiceSoonAfterTheConfirmation)
{
    GatewayFixture fixture;
    fixture.settings.weightsLimit = milliseconds(7500);
    fixture.addServer(
        "e1", "engines", [](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(request.target().starts_with("/-/")
                                 ? responseText(503, "", "")
                                 : streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
            return true;
        });
    fixture.configure(1, { "k1" });
    fixture.start();
    // The node has written its first record by then.
    std::this_thread::sleep_for(milliseconds(1500));
    fixture.setDesiredWeights(2);
    const auto confirmed = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(confirmed + milliseconds(600));
    fixture.gateway.reset();
    // The next process ends before it writes anything, as the store turns it away.
    const std::string store = fixture.settings.storeAddress;
    fixture.settings.storeAddress = fixture.store.rejectingAddress();
    fixture.startWithoutWaiting();
    std::this_thread::sleep_until(confirmed + milliseconds(3000));
    fixture.gateway.reset();
    fixture.settings.storeAddress = store;
    fixture.start();
    BOOST_TEST(fixture.call("POST", "/once/a", "prompt", Headers)->result_int() == 200U);
    std::this_thread::sleep_until(confirmed + milliseconds(6300));
    BOOST_TEST(fixture.call("POST", "/once/b", "prompt", Headers)->result_int() == 503U);
}

// A version that was set while no node ran was taken to be as young as the next process.
BOOST_AUTO_TEST_CASE(replacedWeightsStayInUseAfterAnUpdateWhileNoNodeRan)
{
    GatewayFixture fixture;
    fixture.settings.weightsLimit = milliseconds(7500);
    fixture.addServer(
        "e1", "engines", [](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(request.target().starts_with("/-/")
                                 ? responseText(503, "", "")
                                 : streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
            return true;
        });
    fixture.configure(1, { "k1" });
    fixture.start();
    std::this_thread::sleep_for(milliseconds(1500));
    fixture.gateway.reset();
    fixture.setDesiredWeights(2);
    const auto confirmed = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(confirmed + milliseconds(3000));
    fixture.start();
    std::this_thread::sleep_until(confirmed + milliseconds(6300));
    BOOST_TEST(fixture.call("POST", "/once/b", "prompt", Headers)->result_int() == 503U);
}

// The next process waited for five seconds, so that ends in a row left the fleet without a holder.
BOOST_AUTO_TEST_CASE(noWeightsAreOrderedForFiveSecondsAfterTheEndOfTheHolder)
{
    GatewayFixture fixture;
    std::atomic<int> orders { 0 };
    fixture.addServer("e1", "engines",
                      [&](ScriptedConnection &connection, const ReceivedRequest &request) {
                          if (request.target() == "/-/order") {
                              ++orders;
                              connection.write(responseText(503, "", ""));
                          } else {
                              connection.write(reportResponse(1, false, 0));
                          }
                          return true;
                      });
    fixture.configure(1, { "k1" });
    fixture.start();
    fixture.setDesiredWeights(2);
    const auto ordersWithin = [&](std::chrono::milliseconds limit) {
        const int before = orders;
        const auto end = std::chrono::steady_clock::now() + limit;
        while (orders == before && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(milliseconds(20));
        }
        return orders > before;
    };
    BOOST_TEST(ordersWithin(milliseconds(3000)));
    fixture.gateway.reset();
    fixture.start();
    BOOST_TEST(ordersWithin(milliseconds(3000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
