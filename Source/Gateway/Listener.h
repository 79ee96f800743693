#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Error.h"
#include "Gateway/Exchange.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// An address on which the node listens.
struct ListenAddress
{
    /// The settings field, such as `listen.callers`, for the log.
    std::string field;
    /// `IP:port`.
    std::string address;
};

/// Opens a listening socket on `IP:port`, whose connections have a receive buffer of this size in
/// bytes. Returns the error, after which the acceptor is closed;
/// `invalid_argument` if the address is not of that form.
[[nodiscard]] boost::system::error_code listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                                                 const std::string &address,
                                                 std::size_t receiveBufferBytes);

/// True if a listening socket that can't be had because of `error` may be later: another process
/// has the address, it isn't configured yet, or the process has too few descriptors or too little
/// memory.
[[nodiscard]] bool mayListenLater(const boost::system::error_code &error);

/// Judges the first attempt to listen. Returns true if the node listens. Logs an error that may
/// pass, and returns false; fails with InvalidSettings otherwise.
[[nodiscard]] Result<bool> checkListening(const ListenAddress &address,
                                          const boost::system::error_code &error);

/// Calls `listen` every ListenRetryInterval until it succeeds or `wanted` returns false. Returns
/// whether the node listens.
[[nodiscard]] boost::asio::awaitable<bool>
listenLater(boost::asio::io_context &context, ListenAddress address,
            std::function<boost::system::error_code()> listen, std::function<bool()> wanted);

/// Accepts connections until the acceptor is closed and passes each to `onAccept`.
[[nodiscard]] boost::asio::awaitable<void>
acceptConnections(boost::asio::io_context &context, boost::asio::ip::tcp::acceptor &acceptor,
                  std::function<void(boost::asio::ip::tcp::socket)> onAccept);

/// Accepts connections of callers, or of nodes that forward requests, until the acceptor is closed
/// and runs a CallerSession for each.
[[nodiscard]] boost::asio::awaitable<void>
acceptCallers(TrafficState &state, boost::asio::ip::tcp::acceptor &acceptor,
              RequestSource source = RequestSource::Caller);

/// Runs a CallerSession for each connection that waits to be accepted and closes the acceptor.
/// Closing it alone resets these connections, and with them requests that have arrived.
void acceptLastCallers(TrafficState &state, boost::asio::ip::tcp::acceptor &acceptor,
                       RequestSource source = RequestSource::Caller);

} // namespace jacinthroad
