#pragma once

#include <cstddef>
#include <cstdint>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// Configures TCP to close the connection when sent data or keep-alive probes stay unacknowledged
/// for `timeout`, so that an unresponsive peer is detected. Also disables Nagle's algorithm.
void setTcpTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

/// Sets whether closing the connection sends a reset, also if the process ends without closing it.
void setResetOnClose(boost::asio::ip::tcp::socket &socket, bool enabled);

/// What can be read from a connection at the moment.
enum class PeekResult : std::uint8_t { NoData, Data, Closed };

/// Checks what can be read from a connection without waiting and without consuming data.
[[nodiscard]] PeekResult peek(boost::asio::ip::tcp::socket &socket);
/// The same; sets `error` if the result is Closed: to `eof` if the peer has closed the connection.
[[nodiscard]] PeekResult peek(boost::asio::ip::tcp::socket &socket,
                              boost::system::error_code &error);

/// True if the connection has failed, as by a reset. The error is taken from the socket.
[[nodiscard]] bool takeError(boost::asio::ip::tcp::socket &socket);

/// Reads what a connection has received, without waiting. Returns 0 and no error if that is nothing
/// or a signal came in between; sets `error` if the connection has ended, as peek() does.
[[nodiscard]] std::size_t readAvailable(boost::asio::ip::tcp::socket &socket,
                                        boost::asio::mutable_buffer buffer,
                                        boost::system::error_code &error);

} // namespace jacinthroad
