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

/// A UDP socket with a receiving thread.
class PeerSocket
{
public:
    /// Called on the receiving thread with each datagram, valid during the call.
    using Handler = std::function<void(std::string_view datagram)>;

    /// Binds to an IP number; port 0 takes a free one.
    [[nodiscard]] static Result<std::unique_ptr<PeerSocket>>
    open(const std::string &address, std::uint16_t port, Handler handler);

    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;
    ~PeerSocket();

    /// Sends to `IP:port`; losses and unreadable addresses are not reported.
    void send(const std::string &target, std::string_view datagram);

    /// `IP:port` that peers reach.
    [[nodiscard]] const std::string &address() const { return address_; }
    /// Bytes sent so far.
    [[nodiscard]] std::uint64_t sentBytes() const { return sentBytes_; }

private:
    PeerSocket(int socket, std::string address, Handler handler);
    void receive();

    int socket_;
    std::string address_;
    Handler handler_;
    std::atomic<bool> stopping_ { false };
    std::atomic<std::uint64_t> sentBytes_ { 0 };
    std::thread thread_;
};

} // namespace jacinthroad
