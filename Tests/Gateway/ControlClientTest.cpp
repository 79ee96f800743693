#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/ControlClient.h"
#include "ScriptedServer.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(ControlClientTest)

BOOST_AUTO_TEST_CASE(timeoutOfEarlierCallDoesNotCloseReusedConnection)
{
    constexpr Duration Timeout = milliseconds(200);
    std::atomic<unsigned> requests { 0 };
    ScriptedServer server([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            ++requests;
            std::this_thread::sleep_for(Timeout / 2);
            connection.write(responseText(200, "", "{}"));
        }
    });
    asio::io_context context { 1 };
    ControlClient client(context, server.address(), ConnectionUse::Kept, unlimitedMemory(),
                         BodyKind::Control, MaxObjectResponseBytes);
    const platform::Call call { .target = "/" };
    std::optional<bool> first;
    std::optional<bool> second;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto one = co_await client.call(call, {}, Timeout);
            first = one.has_value();
            const auto two = co_await client.call(call, {}, Timeout);
            second = two.has_value();
        },
        [](const std::exception_ptr &) {});
    // The response to the first call and the end of its timeout become due in the same turn.
    while (requests == 0) {
        context.poll();
    }
    std::this_thread::sleep_for(2 * Timeout);
    context.restart();
    context.run_for(milliseconds(500));
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(*first);
    BOOST_TEST(*second);
}

// Each call in turn took the next connection that had gone silent, and timed out too.
BOOST_AUTO_TEST_CASE(callAfterATimeoutUsesNoConnectionThatMayHaveGoneSilentToo)
{
    std::atomic<bool> silent { false };
    std::atomic<unsigned> opened { 0 };
    ScriptedServer server([&](ScriptedConnection &connection) {
        const bool goesSilent = ++opened <= 3;
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            if (goesSilent && silent) {
                static_cast<void>(connection.waitForClose(milliseconds(3000)));
                return;
            }
            std::this_thread::sleep_for(milliseconds(50));
            connection.write(responseText(200, "", "{}"));
        }
    });
    asio::io_context context { 1 };
    ControlClient client(context, server.address(), ConnectionUse::Kept, unlimitedMemory(),
                         BodyKind::Control, MaxObjectResponseBytes);
    const platform::Call call { .target = "/" };
    unsigned succeeded = 0;
    const auto callAtOnce = [&](unsigned count) {
        for (unsigned number = 0; number < count; ++number) {
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    const auto response = co_await client.call(call, {}, milliseconds(300));
                    succeeded += response.has_value() ? 1 : 0;
                },
                [](const std::exception_ptr &) {});
        }
        context.restart();
        context.run_for(milliseconds(600));
    };
    callAtOnce(3);
    BOOST_TEST(succeeded == 3U);
    silent = true;
    callAtOnce(1);
    BOOST_TEST(succeeded == 3U);
    callAtOnce(1);
    BOOST_TEST(succeeded == 4U);
}

BOOST_AUTO_TEST_CASE(lateSecondResponseIsNotTakenForResponseToNextCall)
{
    std::atomic<int> calls { 0 };
    ScriptedServer server([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        std::string previous;
        while (connection.read(request)) {
            connection.write(previous);
            previous = responseText(200, "", std::to_string(++calls));
            connection.write(previous);
        }
    });
    asio::io_context context { 1 };
    ControlClient client(context, server.address(), ConnectionUse::OnePerCall, unlimitedMemory(),
                         BodyKind::Response, MaxServerResponseBytes);
    constexpr Duration Timeout = milliseconds(1000);
    const platform::Call call { .target = "/" };
    std::vector<std::string> bodies;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            for (int count = 0; count < 3; ++count) {
                const auto response = co_await client.call(call, {}, Timeout);
                bodies.push_back(response.has_value() ? response->body : std::string());
            }
        },
        [](const std::exception_ptr &) {});
    context.run_for(milliseconds(3000));
    const std::vector<std::string> expected { "1", "2", "3" };
    BOOST_TEST(bodies == expected, boost::test_tools::per_element());
}

namespace {

constexpr std::size_t PieceBytes = 1000;
constexpr int Pieces = 10;
constexpr Duration PiecePause = milliseconds(60);
constexpr Duration ProgressLimit = milliseconds(250);

/// Calls a server that sends `sent` of the pieces of its response, and notes the progress.
Result<CallResponse> callForPieces(int sent, TransferProgress &progress)
{
    ScriptedServer server([sent](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        if (!connection.read(request)) {
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Pieces * PieceBytes)
                         + "\r\n\r\n");
        for (int piece = 0; piece < sent; ++piece) {
            connection.write(std::string(PieceBytes, 'x'));
            std::this_thread::sleep_for(PiecePause);
        }
        static_cast<void>(connection.waitForClose(milliseconds(3000)));
    });
    asio::io_context context { 1 };
    ControlClient client(context, server.address(), ConnectionUse::Kept, unlimitedMemory(),
                         BodyKind::Control, MaxObjectResponseBytes);
    const platform::Call call { .target = "/" };
    Result<CallResponse> result = makeError(ErrorKind::PlatformUnavailable, "the call didn't end");
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            result = co_await client.call(call, {}, readLimits(ProgressLimit), &progress);
        },
        [](const std::exception_ptr &) {});
    context.run_for(milliseconds(3000));
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(responseThatIsStillArrivingIsNotCut)
{
    TransferProgress progress;
    std::uint64_t announced = 0;
    progress.onSizeKnown = [&] { announced = progress.ofBytes; };
    const auto response = callForPieces(Pieces, progress);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body.size() == Pieces * PieceBytes);
    BOOST_TEST(announced == Pieces * PieceBytes);
    BOOST_TEST(progress.bytes == Pieces * PieceBytes);
}

BOOST_AUTO_TEST_CASE(responseThatStopsArrivingIsGivenUp)
{
    TransferProgress progress;
    const Instant began = std::chrono::steady_clock::now();
    const auto response = callForPieces(3, progress);
    BOOST_REQUIRE(!response.has_value());
    BOOST_TEST(response.error().message == "no response: nothing arrived in time");
    BOOST_TEST(progress.bytes == 3 * PieceBytes);
    BOOST_TEST((std::chrono::steady_clock::now() - began < milliseconds(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
