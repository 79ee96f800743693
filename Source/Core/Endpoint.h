#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace jacinthroad {

/// Parses `IP:port`; returns nothing if the text is invalid. A port of 0 is for listening.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// Parses the `IP:port` of a host that can be called: the port is not 0, and the address is neither
/// unspecified nor multicast.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
parseRemoteEndpoint(std::string_view text);

} // namespace jacinthroad
