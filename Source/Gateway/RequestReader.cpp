#include "Gateway/RequestReader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/DeadlineTimer.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

asio::awaitable<error_code> readRequestWithin(asio::io_context &context,
                                              asio::ip::tcp::socket &socket, ReadBuffer &buffer,
                                              http::request_parser<http::empty_body> &parser,
                                              Duration limit)
{
    error_code error;
    if (buffer.size() == 0) {
        buffer.releaseIfEmpty();
        co_await socket.async_wait(asio::ip::tcp::socket::wait_read,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
    }
    DeadlineTimer timer(context);
    timer.expireAfter(limit, [&socket] {
        error_code ignored;
        socket.close(ignored);
    });
    co_await http::async_read(socket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

} // namespace jacinthroad
