#include "Gateway/SocketOptions.h"

#include <algorithm>
#include <cerrno>

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
    char byte = 0;
    const ssize_t size = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        return PeekResult::Data;
    }
    const bool noData = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return noData ? PeekResult::NoData : PeekResult::Closed;
}

} // namespace jacinthroad
