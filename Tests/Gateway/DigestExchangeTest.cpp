#include <thread>

#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Endpoint.h"
#include "FleetPeers/NodeDigest.h"
#include "GatewayFixture.h"
#include "UnboundedInput.h"

namespace jacinthroad {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(DigestExchangeTest)

// Datagrams aren't authenticated: each may claim another name.
BOOST_AUTO_TEST_CASE(digestsOfEndlessNamesAreKept)
{
    constexpr int Names = 3000;
    constexpr int NamesAtOnce = 20;
    GatewayFixture fixture;
    fixture.configure(1, { "k1" });
    fixture.start();
    const auto peers = parseEndpoint(fixture.settings.peerAddress);
    BOOST_REQUIRE(peers.has_value());
    const asio::ip::udp::endpoint receiver(peers->address(), peers->port());
    asio::ip::udp::socket socket(fixture.context, asio::ip::udp::v4());
    for (int number = 0; number < Names; ++number) {
        const NodeDigest digest { .node = "node-" + std::to_string(number),
                                  .boot = 1,
                                  .sequence = 1 };
        socket.send_to(asio::buffer(encodeDigest(digest)), receiver);
        if (number % NamesAtOnce == 0) {
            std::this_thread::sleep_for(milliseconds(2));
        }
    }
    BOOST_TEST(fixture.metricValue("jacinthroad_digests_rejected_total").value_or(0) >= 500.0);
    const auto response = fixture.call("POST", "/unsafe/a", "x");
    BOOST_TEST(response != nullptr);
}

BOOST_AUTO_TEST_CASE(lostServicesOfEndlessNamesAreKept)
{
    constexpr int Names = 400;
    constexpr int Services = 20'000;
    GatewayFixture fixture;
    fixture.configure(1, { "k1" });
    fixture.start();
    const auto peers = parseEndpoint(fixture.settings.peerAddress);
    BOOST_REQUIRE(peers.has_value());
    const asio::ip::udp::endpoint receiver(peers->address(), peers->port());
    asio::ip::udp::socket socket(fixture.context, asio::ip::udp::v4());
    MemoryWatch watch;
    const double before = fixture.metricValue("jacinthroad_digests_received_total").value_or(0);
    for (int number = 0; number < Names; ++number) {
        const NodeDigest digest { .node = "node-" + std::to_string(number),
                                  .boot = 1,
                                  .sequence = 1,
                                  .lostServices = std::vector(Services, ServiceId("a")) };
        socket.send_to(asio::buffer(encodeDigest(digest)), receiver);
        std::this_thread::sleep_for(milliseconds(10));
    }
    const double received
        = fixture.metricValue("jacinthroad_digests_received_total").value_or(0) - before;
    BOOST_TEST(received >= Names / 2);
    watch.check();
    const auto response = fixture.call("POST", "/unsafe/a", "x");
    BOOST_TEST(response != nullptr);
}

BOOST_AUTO_TEST_CASE(loadOfRegisteredNodeIsIgnoredBesideEndlessNames)
{
    constexpr int Names = 500;
    constexpr int Calls = 20;
    GatewayFixture fixture;
    for (const char *name : { "s1", "s2" }) {
        fixture.addServer(name, "plain",
                          [](ScriptedConnection &connection, const ReceivedRequest &request) {
                              connection.write(validResponse(request));
                              return true;
                          });
    }
    GatewayFixture registered;
    registered.settings.name = "front-2";
    fixture.addPeer(registered);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::this_thread::sleep_for(milliseconds(500));
    const auto peers = parseEndpoint(fixture.settings.peerAddress);
    BOOST_REQUIRE(peers.has_value());
    const asio::ip::udp::endpoint receiver(peers->address(), peers->port());
    asio::ip::udp::socket socket(fixture.context, asio::ip::udp::v4());
    for (int number = 0; number < Names; ++number) {
        const NodeDigest digest { .node = "node-" + std::to_string(number),
                                  .boot = 1,
                                  .sequence = 1 };
        socket.send_to(asio::buffer(encodeDigest(digest)), receiver);
        std::this_thread::sleep_for(milliseconds(1));
    }
    for (int number = 1; number <= Calls; ++number) {
        const bool first = number % 2 == 0;
        const NodeDigest digest {
            .node = "front-2",
            .boot = 1,
            .sequence = static_cast<std::uint64_t>(number),
            .servers = { { .server = ServerId("s1"), .inFlight = first ? 0U : 200U },
                         { .server = ServerId("s2"), .inFlight = first ? 200U : 0U } }
        };
        socket.send_to(asio::buffer(encodeDigest(digest)), receiver);
        std::this_thread::sleep_for(milliseconds(100));
        const std::string chosen = first ? "s1" : "s2";
        const std::size_t before = fixture.receivedRequests(chosen).size();
        const auto response = fixture.call("POST", "/unsafe/a", "x");
        BOOST_TEST(response != nullptr);
        BOOST_TEST(fixture.receivedRequests(chosen).size() == before + 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
