#include <array>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/MemoryBudget.h"
#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

constexpr std::size_t LongBodyBytes = 2'500'000;
constexpr auto CallerHeader = "Authorization: Bearer k1\r\n";

/// A gateway on a node with little memory: 8 MB for bodies, of which requests with long bodies
/// take 6 MB, two of LongBodyBytes.
struct BodyMemoryFixture : GatewayFixture
{
    BodyMemoryFixture()
    {
        settings.memoryMb = 32;
        configure(1, { "k1" });
        Json::Value spec = store.spec("config", "main");
        spec["version"] = 2;
        spec["limits"]["maxBodyBytes"] = 4194304;
        store.put("config", "main", spec);
    }

    /// Adds a server that responds to long requests once `release` is set.
    void addSlowServer(const std::string &name)
    {
        addServer(name, "plain", [this](ScriptedConnection &connection, const auto &request) {
            if (request.body().size() > ShortBodyBytes) {
                ++longRequests;
                while (!release && connection.waitForClose(milliseconds(5)) == false) { }
            }
            connection.write(validResponse(request));
            return true;
        });
    }

    /// Sends long requests that stay in progress until `release` is set.
    void holdLongRequests(int count)
    {
        for (int index = 0; index < count; ++index) {
            callers.emplace_back([this] {
                const auto response = call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x'));
                served += response != nullptr && response->result_int() == 200 ? 1 : 0;
            });
        }
        for (int tries = 0; tries < 400 && longRequests < count; ++tries) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        BOOST_REQUIRE(longRequests == count);
    }

    ~BodyMemoryFixture() { releaseLongRequests(); }

    void releaseLongRequests()
    {
        release = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        callers.clear();
    }

    std::atomic<bool> release { false };
    std::atomic<int> longRequests { 0 };
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BodyMemoryTest)

// Long bodies within the limits took a node over its memory, so that requests which ran were never
// answered.
BOOST_FIXTURE_TEST_CASE(requestWhoseBodyDoesNotFitIsRefusedAtOnceAsNotRun, BodyMemoryFixture)
{
    addSlowServer("s1");
    start();
    holdLongRequests(2);
    const auto began = std::chrono::steady_clock::now();
    const auto refused = call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x'));
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST((std::chrono::steady_clock::now() - began < milliseconds(300)));
    BOOST_TEST(refused->result_int() == 503U);
    BOOST_TEST(refused->count("Retry-After") == 1U);
    BOOST_TEST((*refused)["X-Request-Id"] != "");
    BOOST_TEST(refused->body().find("body_memory_full") != std::string::npos);
    BOOST_TEST(refused->body().find("\"not_run\":true") != std::string::npos);
    // Short requests still have room.
    BOOST_TEST(call("POST", "/unsafe/a", "short")->result_int() == 200U);
    releaseLongRequests();
    BOOST_TEST(served == 2);
    BOOST_TEST(call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x'))->result_int() == 200U);
    BOOST_TEST(longRequests == 3);
}

// A caller may leave the length of its body open.
BOOST_FIXTURE_TEST_CASE(chunkedBodyThatDoesNotFitIsRefusedAsNotRun, BodyMemoryFixture)
{
    addSlowServer("s1");
    start();
    holdLongRequests(2);
    std::string request = "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: chunked\r\n"
        + std::string(CallerHeader) + "Transfer-Encoding: chunked\r\n\r\n";
    for (int part = 0; part < 25; ++part) {
        request += chunk(std::string(LongBodyBytes / 25, 'x'));
    }
    const std::string response = sendBytes(request + "0\r\n\r\n", milliseconds(1000));
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(response.find("\"not_run\":true") != std::string::npos);
    releaseLongRequests();
    BOOST_TEST(longRequests == 2);
    const std::string later = sendBytes(request + "0\r\n\r\n", milliseconds(1000));
    BOOST_TEST(later.starts_with("HTTP/1.1 200"));
    BOOST_TEST(longRequests == 3);
}

// Senders without a key stated long bodies and sent nothing, so that requests of others were
// refused.
BOOST_FIXTURE_TEST_CASE(statedBodiesWithoutAKeyTakeTheMemoryOfOthers, BodyMemoryFixture)
{
    constexpr int StatedBytes = 16 * 1024 * 1024;
    settings.memoryMb = 110;
    Json::Value spec = store.spec("config", "main");
    spec["version"] = 3;
    spec["limits"]["maxBodyBytes"] = StatedBytes;
    store.put("config", "main", spec);
    release = true;
    addSlowServer("s1");
    start();
    std::vector<boost::asio::ip::tcp::socket> senders;
    for (int number = 0; number < 4; ++number) {
        senders.push_back(connect());
        boost::asio::write(senders.back(),
                           boost::asio::buffer("POST /unsafe/a HTTP/1.1\r\nHost: h\r\n"
                                               "X-Request-Id: stated\r\nContent-Length: "
                                               + std::to_string(StatedBytes) + "\r\n\r\n"));
    }
    std::this_thread::sleep_for(milliseconds(100));
    BOOST_TEST(heldBytes().value_or(StatedBytes) < StatedBytes);
    const auto response = call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x'));
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
}

// What arrives without a key counts, and what can't fit is refused before it is sent.
BOOST_FIXTURE_TEST_CASE(bodiesWithoutAKeyTakeMemoryOutsideTheAccount, BodyMemoryFixture)
{
    addSlowServer("s1");
    start();
    const std::string head = "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: keyless\r\n"
                             "Content-Length: "
        + std::to_string(LongBodyBytes) + "\r\n\r\n";
    std::vector<boost::asio::ip::tcp::socket> senders;
    for (int number = 0; number < 2; ++number) {
        senders.push_back(connect());
        boost::asio::write(senders.back(),
                           boost::asio::buffer(head + std::string(LongBodyBytes - 1, 'x')));
    }
    std::this_thread::sleep_for(milliseconds(100));
    BOOST_TEST(heldBytes().value_or(0) >= 2.0 * (LongBodyBytes - 1));
    BOOST_TEST(sendBytes(head, milliseconds(300)).starts_with("HTTP/1.1 503"));
}

// The memory of requests whose callers leave must not stay reserved, nor that of refused ones.
BOOST_FIXTURE_TEST_CASE(memoryIsGivenBackWhenCallersLeave, BodyMemoryFixture)
{
    addSlowServer("s1");
    start();
    for (int round = 0; round < 6; ++round) {
        const std::string head = "POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: left\r\n"
            + std::string(CallerHeader) + "Content-Length: " + std::to_string(LongBodyBytes)
            + "\r\n\r\n";
        // Half of the body arrives, then the caller leaves; or all, and it leaves before the
        // response.
        const std::size_t sent = round % 2 == 0 ? LongBodyBytes / 2 : LongBodyBytes;
        static_cast<void>(sendBytes(head + std::string(sent, 'x'), milliseconds(100)));
    }
    release = true;
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_TEST(call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x'))->result_int() == 200U);
}

// A request that is sent a second time has one body.
BOOST_FIXTURE_TEST_CASE(retriesTakeNoFurtherMemory, BodyMemoryFixture)
{
    std::atomic<int> sends { 0 };
    for (const char *name : { "s1", "s2" }) {
        addServer(name, "plain", [&](ScriptedConnection &connection, const auto &request) {
            const int number = ++sends;
            if (number % 2 == 1) {
                connection.reset();
                return false;
            }
            connection.write(validResponse(request));
            return true;
        });
    }
    start();
    constexpr std::size_t MostOfTheMemory = 4'000'000;
    const auto response = call("PUT", "/safe/a", std::string(MostOfTheMemory, 'x'));
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(sends == 2);
    BOOST_TEST(receivedRequests("s1").back().body().size() == MostOfTheMemory);
}

// Receive buffers that were empty took two thirds of the memory.
BOOST_AUTO_TEST_CASE(soundStreamsAreRefusedForBytesThatNobodyHasSent)
{
    constexpr int Streams = 400;
    GatewayFixture fixture;
    // 20 MB are for received data.
    fixture.settings.memoryMb = 60;
    std::atomic<bool> ended { false };
    for (const char *name : { "e1", "e2", "e3" }) {
        fixture.addServer(name, "engines",
                          [&](ScriptedConnection &connection, const auto &request) {
                              if (request.target().starts_with("/-/")) {
                                  connection.write(responseText(404, "", ""));
                                  return true;
                              }
                              connection.write(streamHead(request) + chunk(event(1)));
                              while (!ended && !connection.waitForClose(milliseconds(100))) { }
                              connection.write("0\r\n\r\n");
                              return true;
                          });
    }
    fixture.configure(1, { "k1" });
    fixture.start();
    std::vector<boost::asio::ip::tcp::socket> sockets;
    int streaming = 0;
    for (int number = 0; number < Streams; ++number) {
        sockets.push_back(fixture.connect());
        const std::string request = "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: s"
            + std::to_string(number) + "\r\nX-Model: m\r\n" + CallerHeader
            + "Content-Length: 6\r\n\r\nprompt";
        boost::asio::write(sockets.back(), boost::asio::buffer(request));
        std::array<char, 400> part {};
        const std::size_t size = sockets.back().read_some(boost::asio::buffer(part));
        streaming += std::string_view(part.data(), size).starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    BOOST_TEST(streaming == Streams);
    ended = true;
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
