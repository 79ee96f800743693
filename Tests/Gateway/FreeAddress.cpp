#include "FreeAddress.h"

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <unistd.h>

namespace jacinthroad {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Below the ephemeral ports, which the system could assign to an outgoing connection between the
/// choice of an address and its use. Processes start at different ports.
constexpr unsigned FirstPort = 16000;
constexpr unsigned PortCount = 16000;
constexpr unsigned PortStride = 211;

} // namespace

std::string freeAddress()
{
    static unsigned next = static_cast<unsigned>(::getpid()) * PortStride;
    asio::io_context context;
    const auto loopback = asio::ip::make_address("127.0.0.1");
    for (;;) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
        error_code taken;
        asio::ip::tcp::acceptor stream(context, asio::ip::tcp::v4());
        stream.bind({ loopback, port }, taken);
        asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
        if (!taken) {
            datagrams.bind({ loopback, port }, taken);
        }
        if (!taken) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

} // namespace jacinthroad
