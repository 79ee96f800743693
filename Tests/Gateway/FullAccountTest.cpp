#include <array>
#include <atomic>
#include <functional>
#include <ostream>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Endpoint.h"
#include "GatewayFixture.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace data = boost::unit_test::data;

namespace {

/// More than the whole account of the node with little memory.
constexpr std::size_t RequestBytes = 2'500'000;
constexpr double UsualMemoryMb = 32;
constexpr double LittleMemoryMb = 8;
constexpr auto StreamHeaders = "Authorization: Bearer k1\r\nX-Model: m\r\n";

/// The part of a sound response for which the account has no room.
enum class Part : std::uint8_t { Header, Body, Event };

std::ostream &operator<<(std::ostream &stream, Part part)
{
    constexpr std::array<const char *, 3> Names { "header", "body", "event" };
    return stream << Names[static_cast<std::size_t>(part)];
}

/// A gateway with one server for each service, whose account other data fills while the server
/// responds.
struct FullAccountFixture : GatewayFixture
{
    FullAccountFixture()
    {
        settings.memoryMb = UsualMemoryMb;
        addServer("s1", "plain",
                  [this](ScriptedConnection &connection, const ReceivedRequest &request) {
                      return respond(connection, request);
                  });
        addServer("e1", "engines",
                  [this](ScriptedConnection &connection, const ReceivedRequest &request) {
                      return respond(connection, request);
                  });
        configure(1, { "k1" });
        Json::Value spec = store.spec("config", "main");
        spec["version"] = 2;
        spec["limits"]["maxBodyBytes"] = 4194304;
        store.put("config", "main", spec);
        start();
    }

    bool respond(ScriptedConnection &connection, const ReceivedRequest &request)
    {
        if (request.target().starts_with("/-/")) {
            connection.write(responseText(404, "", ""));
            return true;
        }
        const bool streamed = request.target().starts_with("/once/");
        const std::string body(60'000, 'x');
        const std::string response = streamed ? streamHead(request) + chunk(event(1))
                + chunk("id: 2\ndata: " + std::string(10'000, 'x') + "\n\n") + "0\r\n\r\n"
                                              : validResponse(request, 200, body);
        std::size_t first = response.size();
        if (request.body().size() == RequestBytes) {
            first = part == Part::Header ? 0 : response.find("\r\n\r\n") + (streamed ? 100 : 1000);
        }
        connection.write(response.substr(0, first));
        if (first < response.size()) {
            std::this_thread::sleep_for(milliseconds(100));
            fillAccount();
            onAccountFull();
            connection.write(response.substr(first));
        }
        return true;
    }

    void fillAccount()
    {
        GatewaySettings changed = settings;
        changed.memoryMb = LittleMemoryMb;
        gateway->reload(changed);
        std::this_thread::sleep_for(milliseconds(50));
    }

    /// Calls the server that serves `part`.
    std::unique_ptr<CallerResponse> callServer(const std::string &body)
    {
        return part == Part::Event ? call("POST", "/once/a", body, StreamHeaders)
                                   : call("POST", "/unsafe/a", body);
    }

    std::atomic<Part> part { Part::Header };
    std::function<void()> onAccountFull = [] {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FullAccountTest)

// Other data filled the account; the sound server that was responding was avoided for it.
BOOST_DATA_TEST_CASE(serverIsAvoidedForWhatOthersHold,
                     data::make({ Part::Header, Part::Body, Part::Event }), part)
{
    FullAccountFixture fixture;
    fixture.part = part;
    for (int round = 0; round < 3; ++round) {
        const auto given = fixture.callServer(std::string(RequestBytes, 'x'));
        if (part == Part::Event) {
            // The stream had begun.
            BOOST_TEST(given == nullptr);
        } else {
            BOOST_REQUIRE(given != nullptr);
            BOOST_TEST(given->result_int() == 502U);
            BOOST_TEST(given->body().find("body_memory_full") != std::string::npos);
            BOOST_TEST(given->body().find("\"not_run\":\"unknown\"") != std::string::npos);
            BOOST_TEST(given->count("Retry-After") == 0U);
        }
        fixture.gateway->reload(fixture.settings);
        const auto next = fixture.callServer("x");
        BOOST_REQUIRE(next != nullptr);
        BOOST_TEST(next->result_int() == 200U);
    }
}

// A node whose check isn't answered gets no callers.
BOOST_AUTO_TEST_CASE(readinessCheckIsClosedForWhatOthersHold)
{
    constexpr unsigned Checks = 50;
    FullAccountFixture fixture;
    fixture.part = Part::Body;
    unsigned answered = 0;
    fixture.onAccountFull = [&] {
        for (unsigned check = 0; check < Checks; ++check) {
            answered += fixture.readiness() == 200U ? 1 : 0;
        }
    };
    const auto given = fixture.callServer(std::string(RequestBytes, 'x'));
    BOOST_REQUIRE(given != nullptr);
    BOOST_TEST(given->body().find("body_memory_full") != std::string::npos);
    BOOST_TEST(answered == Checks);
}

// Their requests don't end.
BOOST_AUTO_TEST_CASE(readinessCheckIsClosedBesideOthersInProgress)
{
    constexpr unsigned Connections = 300;
    FullAccountFixture fixture;
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (unsigned index = 0; index < Connections; ++index) {
        asio::ip::tcp::socket &socket = sockets.emplace_back(context);
        socket.connect(*parseEndpoint(fixture.settings.readinessAddress));
        asio::write(socket, asio::buffer(std::string("GET /readyz HTTP/1.1\r\nHost: h\r\n")));
    }
    BOOST_TEST(fixture.readiness() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
