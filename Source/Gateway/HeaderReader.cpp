#include "Gateway/HeaderReader.h"

#include <iterator>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Gateway/MessageParser.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

bool hasTooManyFields(const http::fields &header)
{
    return std::distance(header.begin(), header.end()) > std::ptrdiff_t { MaxFields };
}

template <typename Socket, bool IsRequest>
asio::awaitable<error_code> read(Socket &socket, ReadBuffer &buffer,
                                 http::basic_parser<IsRequest> &parser, const http::fields &header,
                                 std::uint32_t limit, MemoryReservation &memory)
{
    parser.header_limit(limit);
    std::size_t parsed = 0;
    error_code error;
    for (;;) {
        if (buffer.size() > 0) {
            const std::size_t used = parser.put(buffer.data(), error);
            buffer.consume(used);
            parsed += used;
            if (error != http::error::need_more) {
                break;
            }
            if (parsed + buffer.size() >= limit || hasTooManyFields(header)) {
                co_return http::error::header_limit;
            }
            if (used > 0 && !memory.resize(headerMemory(header))) {
                co_return http::error::buffer_overflow;
            }
        }
        const auto room = buffer.tryPrepare(buffer.readSize());
        if (!room.has_value() || room->size() == 0) {
            co_return http::error::buffer_overflow;
        }
        error = {};
        buffer.commit(co_await socket.async_read_some(
            *room, asio::redirect_error(asio::use_awaitable, error)));
        if (error == asio::error::eof) {
            co_return parser.got_some() || buffer.size() > 0 ? http::error::partial_message
                                                             : http::error::end_of_stream;
        }
        if (error) {
            co_return error;
        }
    }
    if (!error && hasTooManyFields(header)) {
        error = http::error::header_limit;
    }
    if (!error && !memory.resize(headerMemory(header))) {
        error = http::error::buffer_overflow;
    }
    co_return error;
}

} // namespace

asio::awaitable<error_code> readHeader(asio::ip::tcp::socket &socket, ReadBuffer &buffer,
                                       http::basic_parser<true> &parser, const http::fields &header,
                                       std::uint32_t limit, MemoryReservation &memory)
{
    return read(socket, buffer, parser, header, limit, memory);
}

asio::awaitable<error_code> readHeader(asio::ip::tcp::socket &socket, ReadBuffer &buffer,
                                       http::basic_parser<false> &parser,
                                       const http::fields &header, std::uint32_t limit,
                                       MemoryReservation &memory)
{
    return read(socket, buffer, parser, header, limit, memory);
}

asio::awaitable<error_code> readHeader(PacedSocket &socket, ReadBuffer &buffer,
                                       http::basic_parser<false> &parser,
                                       const http::fields &header, std::uint32_t limit,
                                       MemoryReservation &memory)
{
    return read(socket, buffer, parser, header, limit, memory);
}

} // namespace jacinthroad
