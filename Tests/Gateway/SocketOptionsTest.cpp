#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <netinet/tcp.h>
#include <poll.h>

#include "Gateway/SocketOptions.h"
#include "SilentSocket.h"

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Two ends of a connection.
struct Connection
{
    Connection()
    {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        peer.connect(acceptor.local_endpoint());
        own = acceptor.accept(context);
    }

    asio::io_context context;
    asio::ip::tcp::socket own { context };
    asio::ip::tcp::socket peer { context };
};

} // namespace

BOOST_AUTO_TEST_SUITE(SocketOptionsTest)

BOOST_AUTO_TEST_CASE(readOfAConnectionWithoutDataNeitherWaitsNorFails)
{
    Connection connection;
    std::array<char, 16> bytes {};
    error_code error;
    BOOST_TEST(readAvailable(connection.own, asio::buffer(bytes), error) == 0U);
    BOOST_TEST(!error);
}

BOOST_AUTO_TEST_CASE(receivedBytesAreReadBeforeTheEndOfTheConnection)
{
    Connection connection;
    asio::write(connection.peer, asio::buffer(std::string_view("abc")));
    connection.peer.close();
    connection.own.wait(asio::ip::tcp::socket::wait_read);
    std::array<char, 16> bytes {};
    error_code error;
    const std::size_t size = readAvailable(connection.own, asio::buffer(bytes), error);
    BOOST_TEST(std::string_view(bytes.data(), size) == "abc");
    BOOST_TEST(!error);
    connection.own.wait(asio::ip::tcp::socket::wait_read);
    BOOST_TEST(readAvailable(connection.own, asio::buffer(bytes), error) == 0U);
    BOOST_TEST(error == error_code(asio::error::eof));
}

BOOST_AUTO_TEST_CASE(silenceOfTwoSecondsIsToleratedWhateverTheTimeout)
{
    for (const int seconds : { 1, 2, 3, 4, 5, 6, 10, 60 }) {
        const KeepAliveTiming timing = keepAliveTiming(std::chrono::seconds(seconds));
        BOOST_TEST_CONTEXT(seconds)
        {
            BOOST_TEST(toMilliseconds(toleratedSilence(timing)) >= 2000);
            BOOST_TEST(toMilliseconds(idleCloseTime(timing)) >= 4000);
            BOOST_TEST(toMilliseconds(idleCloseTime(timing)) <= std::max(4, seconds) * 1000);
        }
    }
}

BOOST_AUTO_TEST_CASE(timeoutThatEndsBetweenTwoProbesLastsUntilTheNext)
{
    using namespace std::chrono_literals;
    // The count of probes is not used while a user timeout is set.
    const KeepAliveTiming former { .idle = 1s, .interval = 1s, .userTimeout = 2500ms };
    BOOST_TEST(toMilliseconds(idleCloseTime(former)) == 3000);
    BOOST_TEST(toMilliseconds(toleratedSilence(former)) == 1000);
    // At least one probe is sent.
    const KeepAliveTiming shorter { .idle = 5s, .interval = 1s, .userTimeout = 2000ms };
    BOOST_TEST(toMilliseconds(idleCloseTime(shorter)) == 6000);
}

BOOST_AUTO_TEST_CASE(timingIsSetOnTheSocket)
{
    Connection connection;
    setTcpTimeout(connection.own, std::chrono::seconds(6));
    const auto option = [&](int level, int name) {
        int value = 0;
        socklen_t size = sizeof(value);
        BOOST_TEST(getsockopt(connection.own.native_handle(), level, name, &value, &size) == 0);
        return value;
    };
    BOOST_TEST(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPIDLE) == 3);
    BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPINTVL) == 1);
    BOOST_TEST(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 6000);
}

BOOST_AUTO_TEST_CASE(connectionOutlivesTwoSecondsInWhichThePeerReceivesNothing)
{
    Connection connection;
    setTcpTimeout(connection.own, ShortestTcpTimeout);
    // Begins just before the first probe.
    std::this_thread::sleep_for(milliseconds(950));
    {
        const SilentSocket silence(connection.peer.native_handle());
        std::this_thread::sleep_for(milliseconds(2000));
    }
    std::this_thread::sleep_for(milliseconds(2500));
    asio::write(connection.peer, asio::buffer(std::string_view("abc")));
    std::array<char, 16> bytes {};
    error_code error;
    const std::size_t size = connection.own.read_some(asio::buffer(bytes), error);
    BOOST_TEST(!error, error.message());
    BOOST_TEST(std::string_view(bytes.data(), size) == "abc");
}

BOOST_AUTO_TEST_CASE(dataSentToAPeerThatReceivesNothingForTwoSecondsArrives)
{
    Connection connection;
    setTcpTimeout(connection.own, ShortestTcpTimeout);
    {
        const SilentSocket silence(connection.peer.native_handle());
        asio::write(connection.own, asio::buffer(std::string_view("abc")));
        std::this_thread::sleep_for(milliseconds(2000));
    }
    std::array<char, 16> bytes {};
    error_code error;
    const std::size_t size = connection.peer.read_some(asio::buffer(bytes), error);
    BOOST_TEST(!error, error.message());
    BOOST_TEST(std::string_view(bytes.data(), size) == "abc");
}

BOOST_AUTO_TEST_CASE(connectionToAPeerThatReceivesNothingAnyMoreIsClosedInTime)
{
    Connection connection;
    setTcpTimeout(connection.own, ShortestTcpTimeout);
    const SilentSocket silence(connection.peer.native_handle());
    const Instant began = std::chrono::steady_clock::now();
    pollfd state { .fd = connection.own.native_handle(), .events = POLLIN, .revents = 0 };
    BOOST_TEST(poll(&state, 1, 10'000) == 1);
    const Duration took = std::chrono::steady_clock::now() - began;
    BOOST_TEST(toMilliseconds(took) >= toMilliseconds(ShortestTcpTimeout) - 100);
    BOOST_TEST(toMilliseconds(took) <= toMilliseconds(ShortestTcpTimeout) + 1000);
    error_code error;
    BOOST_TEST((peek(connection.own, error) == PeekResult::Closed));
    BOOST_TEST(error == error_code(asio::error::timed_out));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
