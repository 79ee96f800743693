#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include "Core/Time.h"
#include "Gateway/ReadBuffer.h"

namespace jacinthroad {

/// Waits for a request without a body and reads it into `parser`. Once it has begun to arrive, it
/// must be complete within `limit`; the connection is closed otherwise.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> readRequestWithin(
    boost::asio::io_context &context, boost::asio::ip::tcp::socket &socket, ReadBuffer &buffer,
    boost::beast::http::request_parser<boost::beast::http::empty_body> &parser, Duration limit);

} // namespace jacinthroad
