#pragma once

#include <functional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/Error.h"
#include "Gateway/TrafficState.h"

namespace jacinthroad {

/// Opens a listening socket on `IP:port`. Fails with InvalidSettings if the address is invalid or
/// cannot be bound.
[[nodiscard]] Result<boost::asio::ip::tcp::acceptor> openAcceptor(boost::asio::io_context &context,
                                                                  const std::string &address);

/// Accepts connections until the acceptor is closed and passes each to `onAccept`.
[[nodiscard]] boost::asio::awaitable<void>
acceptConnections(boost::asio::io_context &context, boost::asio::ip::tcp::acceptor &acceptor,
                  std::function<void(boost::asio::ip::tcp::socket)> onAccept);

/// Accepts connections of callers until the acceptor is closed and runs a CallerSession for each.
[[nodiscard]] boost::asio::awaitable<void> acceptCallers(TrafficState &state,
                                                         boost::asio::ip::tcp::acceptor &acceptor);

} // namespace jacinthroad
