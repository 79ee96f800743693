#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// Sets a connection up so that a peer that has gone silent is found: TCP ends it once sent bytes
/// or probes stay unacknowledged for `silence`. Bytes are sent without delay.
void setTcpTimeout(boost::asio::ip::tcp::socket &socket, Duration timeout);

/// What can be read of a connection now, without taking it.
enum class PeekResult : std::uint8_t { NoData, Data, Closed };

/// Looks at a connection without waiting.
[[nodiscard]] PeekResult peek(boost::asio::ip::tcp::socket &socket);

/// Parses `IP:port`.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace jacinthroad
