#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "Core/Error.h"

namespace jacinthroad {

/// A UDP socket with a thread that receives datagrams.
class PeerSocket
{
public:
    /// Called on the receiving thread with each datagram, which is valid during the call only.
    using Handler = std::function<void(std::string_view datagram)>;

    /// Binds to an IPv4 address; port 0 selects a free port. Returns an error if the address is
    /// invalid or cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<PeerSocket>>
    open(const std::string &address, std::uint16_t port, Handler handler);

    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;
    ~PeerSocket();

    /// Sends to an `IP:port` target without blocking. Lost datagrams and invalid targets are not
    /// reported.
    void send(const std::string &target, std::string_view datagram);

    /// The `IP:port` at which peers can reach this socket.
    [[nodiscard]] const std::string &address() const { return address_; }
    /// Total number of bytes sent.
    [[nodiscard]] std::uint64_t sentBytes() const { return sentBytes_; }

private:
    PeerSocket(int socket, std::string address, Handler handler);
    void receiveLoop();

    int socket_;
    std::string address_;
    Handler handler_;
    std::atomic<bool> stopping_ { false };
    std::atomic<std::uint64_t> sentBytes_ { 0 };
    std::thread thread_;
};

} // namespace jacinthroad
