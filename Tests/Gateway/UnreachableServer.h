#pragma once

#include <array>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// A server whose queue of connections is full, so that new ones are not established.
class UnreachableServer
{
public:
    UnreachableServer()
    {
        const boost::asio::ip::tcp::endpoint loopback(boost::asio::ip::address_v4::loopback(), 0);
        acceptor_.open(loopback.protocol());
        acceptor_.bind(loopback);
        acceptor_.listen(0);
        for (Socket &socket : waiting_) {
            // Begins to connect at once; nothing waits for the end.
            socket.async_connect(acceptor_.local_endpoint(), [](boost::system::error_code) {});
        }
        std::this_thread::sleep_for(milliseconds(20));
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_ { context_ };
    /// One more than the queue holds for a backlog of 0.
    std::array<Socket, 2> waiting_ { Socket(context_), Socket(context_) };
};

} // namespace jacinthroad
