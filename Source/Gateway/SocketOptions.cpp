#include "Gateway/SocketOptions.h"

#include <algorithm>
#include <cerrno>

#include <boost/asio/error.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jacinthroad {

namespace {

constexpr int ProbeIntervalSeconds = 1;
constexpr int MaxMissedProbes = 2;

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

void setTcpTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout)
{
    const int handle = socket.native_handle();
    const auto limit = std::chrono::duration_cast<milliseconds>(timeout).count();
    const int idleSeconds = std::max(1, static_cast<int>(limit / 1000) - MaxMissedProbes);
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, idleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, MaxMissedProbes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit));
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

std::size_t readAvailable(boost::asio::ip::tcp::socket &socket, boost::asio::mutable_buffer buffer,
                          boost::system::error_code &error)
{
    const ssize_t size = recv(socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    return result(size, error) == PeekResult::Data ? static_cast<std::size_t>(size) : 0;
}

} // namespace jacinthroad
