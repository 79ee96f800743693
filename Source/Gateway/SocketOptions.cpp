#include "Gateway/SocketOptions.h"

#include <algorithm>
#include <cerrno>

#include <boost/asio/error.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace jacinthroad {

namespace {

constexpr std::chrono::seconds ProbeInterval { 1 };
/// Probes that stay unanswered before a connection is closed.
constexpr int MaxMissedProbes = 3;

void setOption(int socket, int level, int option, int value)
{
    // Setting an option fails on a closed socket; the next read reports the error.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof(value)));
}

/// Returns what a call of recv() that returned `size` found.
PeekResult result(ssize_t size, boost::system::error_code &error)
{
    if (size > 0) {
        return PeekResult::Data;
    }
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return PeekResult::NoData;
    }
    if (size == 0) {
        error = boost::asio::error::eof;
    } else {
        error.assign(errno, boost::system::system_category());
    }
    return PeekResult::Closed;
}

} // namespace

KeepAliveTiming keepAliveTiming(Duration timeout)
{
    const Duration limit = std::max(timeout, ShortestTcpTimeout);
    return { .idle = std::chrono::duration_cast<std::chrono::seconds>(limit)
                 - MaxMissedProbes * ProbeInterval,
             .interval = ProbeInterval,
             .userTimeout = std::chrono::duration_cast<milliseconds>(limit) };
}

Duration idleCloseTime(const KeepAliveTiming &timing)
{
    // At least one probe must have been sent.
    Duration due = timing.idle + timing.interval;
    while (due < timing.userTimeout) {
        due += timing.interval;
    }
    return due;
}

Duration toleratedSilence(const KeepAliveTiming &timing)
{
    // The silence begins just before the first probe at the worst.
    return idleCloseTime(timing) - timing.interval - timing.idle;
}

void setTcpTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    const int handle = socket.native_handle();
    const KeepAliveTiming timing = keepAliveTiming(timeout);
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(timing.idle.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(timing.interval.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, MaxMissedProbes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timing.userTimeout.count()));
}

void setReceiveBuffer(int socket, std::size_t bytes)
{
    setOption(socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

void setResetOnClose(boost::asio::ip::tcp::socket &socket, bool enabled)
{
    // Asio clears the option when it destroys a socket on which it has set it itself.
    const linger value { .l_onoff = enabled ? 1 : 0, .l_linger = 0 };
    static_cast<void>(
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &value, sizeof(value)));
}

PeekResult peek(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    return peek(socket, ignored);
}

PeekResult peek(boost::asio::ip::tcp::socket &socket, boost::system::error_code &error)
{
    char byte = 0;
    return result(recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT), error);
}

bool takeError(boost::asio::ip::tcp::socket &socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    const int result = getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return result != 0 || error != 0;
}

bool hasUnacknowledgedBytes(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    const bool ended = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0
        || info.tcpi_state == TCP_CLOSE;
    int bytes = 0;
    // The bytes stay counted after a reset.
    return !ended && ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool hasReceivedClose(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

bool hasFailed(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && info.tcpi_state == TCP_CLOSE;
}

std::size_t readAvailable(boost::asio::ip::tcp::socket &socket, boost::asio::mutable_buffer buffer,
                          boost::system::error_code &error)
{
    const ssize_t size = recv(socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    return result(size, error) == PeekResult::Data ? static_cast<std::size_t>(size) : 0;
}

} // namespace jacinthroad
