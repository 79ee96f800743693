#pragma once

#include <cstdint>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include "Core/MemoryBudget.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/ReadTurns.h"

namespace jacinthroad {

/// Reads the header of a message into `parser`, as http::async_read_header() does. A header of more
/// than `limit` bytes, or of very many fields, fails with http::error::header_limit, and one whose
/// fields find no room in `memory` with http::error::buffer_overflow. Beast's own limit leaves out
/// the fields that it has parsed when a read ended between two lines.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readHeader(boost::asio::ip::tcp::socket &socket, ReadBuffer &buffer,
           boost::beast::http::basic_parser<true> &parser, const boost::beast::http::fields &header,
           std::uint32_t limit, MemoryReservation &memory);
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readHeader(boost::asio::ip::tcp::socket &socket, ReadBuffer &buffer,
           boost::beast::http::basic_parser<false> &parser,
           const boost::beast::http::fields &header, std::uint32_t limit,
           MemoryReservation &memory);
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readHeader(PacedSocket &socket, ReadBuffer &buffer, boost::beast::http::basic_parser<false> &parser,
           const boost::beast::http::fields &header, std::uint32_t limit,
           MemoryReservation &memory);

} // namespace jacinthroad
