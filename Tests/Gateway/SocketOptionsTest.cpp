#include <array>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/SocketOptions.h"

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
