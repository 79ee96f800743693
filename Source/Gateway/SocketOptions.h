#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// The shortest TCP timeout that leaves time for three probes, of which a peer that is silent for
/// two seconds answers one.
constexpr Duration ShortestTcpTimeout = std::chrono::seconds(4);

/// How TCP looks for a peer that has ended without a word.
struct KeepAliveTiming
{
    /// Time without a segment of the peer after which the first probe is sent.
    std::chrono::seconds idle {};
    /// Time between two probes.
    std::chrono::seconds interval {};
    /// The limit for unacknowledged data and for the time without a segment of the peer. While it
    /// is set, Linux doesn't count probes.
    milliseconds userTimeout {};
};

/// Returns the timing that setTcpTimeout() sets for a timeout, at least ShortestTcpTimeout.
[[nodiscard]] KeepAliveTiming keepAliveTiming(Duration timeout);

/// Returns the time after the peer's last segment at which Linux closes a connection on which
/// nothing is sent: at the first probe that is due once the user timeout has passed.
[[nodiscard]] Duration idleCloseTime(const KeepAliveTiming &timing);

/// Returns the longest time for which a peer may receive nothing, starting at any moment, without
/// the connection being closed while nothing is sent: it still answers the last probe.
[[nodiscard]] Duration toleratedSilence(const KeepAliveTiming &timing);

/// Configures TCP to close the connection when sent data or keep-alive probes stay unacknowledged
/// for `timeout`, at least ShortestTcpTimeout, so that an unresponsive peer is detected. Also
/// disables Nagle's algorithm.
void setTcpTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

/// Sets the size in bytes of the receive buffer of an open socket, which the system doubles. It
/// must be set before the socket connects or listens; accepted connections inherit it.
void setReceiveBuffer(int socket, std::size_t bytes);

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

/// True if the peer has not acknowledged all that was sent, with the end of sending.
[[nodiscard]] bool hasUnacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

/// True if the peer has closed or reset the connection, also behind bytes that are not read.
[[nodiscard]] bool hasReceivedClose(boost::asio::ip::tcp::socket &socket);

/// True if the connection has ended by a reset or another error, whichever call was told of it.
/// After an orderly end of the peer's direction it hasn't.
[[nodiscard]] bool hasFailed(boost::asio::ip::tcp::socket &socket);

/// Reads what a connection has received, without waiting. Returns 0 and no error if that is nothing
/// or a signal came in between; sets `error` if the connection has ended, as peek() does.
[[nodiscard]] std::size_t readAvailable(boost::asio::ip::tcp::socket &socket,
                                        boost::asio::mutable_buffer buffer,
                                        boost::system::error_code &error);

} // namespace jacinthroad
