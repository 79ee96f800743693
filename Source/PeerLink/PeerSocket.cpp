#include "PeerLink/PeerSocket.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace jacinthroad {

namespace {

constexpr std::size_t ReceiveBufferBytes = 2048;
constexpr timeval ReceiveTimeout { .tv_sec = 0, .tv_usec = 100000 };

std::optional<sockaddr_in> parseAddress(const std::string &host, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

std::optional<sockaddr_in> parseHostAndPort(const std::string &target)
{
    const auto colon = target.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = target.data() + target.size();
    const auto parsed = std::from_chars(target.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return parseAddress(target.substr(0, colon), port);
}

} // namespace

Result<std::unique_ptr<PeerSocket>> PeerSocket::open(const std::string &address, std::uint16_t port,
                                                     Handler handler)
{
    const auto bindAddress = parseAddress(address, port);
    if (!bindAddress.has_value()) {
        return makeError(ErrorKind::InvalidSettings,
                         "peer address '" + address + "' is not an IPv4 address",
                         "Use an address such as 127.0.0.1.");
    }
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in actual = *bindAddress;
    socklen_t length = sizeof(actual);
    if (socket < 0
        || bind(socket, reinterpret_cast<const sockaddr *>(&*bindAddress), sizeof(*bindAddress))
            != 0
        || getsockname(socket, reinterpret_cast<sockaddr *>(&actual), &length) != 0) {
        if (socket >= 0) {
            close(socket);
        }
        return makeError(ErrorKind::Internal,
                         "cannot bind UDP " + address + ":" + std::to_string(port),
                         "Check that the address is this VM's and that the port is free.");
    }
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout, sizeof(ReceiveTimeout));
    const std::string boundAddress = address + ":" + std::to_string(ntohs(actual.sin_port));
    return std::unique_ptr<PeerSocket>(new PeerSocket(socket, boundAddress, std::move(handler)));
}

PeerSocket::PeerSocket(int socket, std::string address, Handler handler)
    : socket_(socket)
    , address_(std::move(address))
    , handler_(std::move(handler))
    , thread_([this] { receiveLoop(); })
{ }

PeerSocket::~PeerSocket()
{
    stopping_ = true;
    thread_.join();
    close(socket_);
}

void PeerSocket::receiveLoop()
{
    std::array<char, ReceiveBufferBytes> buffer {};
    while (!stopping_) {
        const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            handler_({ buffer.data(), static_cast<std::size_t>(size) });
        }
    }
}

void PeerSocket::send(const std::string &target, std::string_view datagram)
{
    const auto address = parseHostAndPort(target);
    if (!address.has_value()) {
        return;
    }
    const ssize_t sent = sendto(socket_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr *>(&*address), sizeof(*address));
    if (sent > 0) {
        sentBytes_ += static_cast<std::uint64_t>(sent);
    }
}

} // namespace jacinthroad
