#include "Core/Endpoint.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

#include <boost/asio/ip/address.hpp>

namespace jacinthroad {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::optional<boost::asio::ip::tcp::endpoint> parseRemoteEndpoint(std::string_view text)
{
    auto endpoint = parseEndpoint(text);
    if (endpoint.has_value()
        && (endpoint->port() == 0 || endpoint->address().is_unspecified()
            || endpoint->address().is_multicast())) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace jacinthroad
