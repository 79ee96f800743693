#include "Gateway/RequestEnd.h"

#include <array>
#include <cstddef>

#include <boost/asio/error.hpp>

namespace jacinthroad {

RequestEnd requestEnd(const EndFacts &facts)
{
    if (facts.callerLeft) {
        return RequestEnd::Caller;
    }
    if (facts.responseComplete) {
        return RequestEnd::Responded;
    }
    if (facts.limitReached) {
        return facts.limitedByStop ? RequestEnd::Stop : RequestEnd::Limit;
    }
    if (facts.responseTooLong) {
        return RequestEnd::Size;
    }
    return facts.serverBrokeOff ? RequestEnd::Server : RequestEnd::Node;
}

std::string_view endedByName(RequestEnd end)
{
    constexpr std::array<std::string_view, 7> Names { "",     "caller", "limit", "server",
                                                      "size", "stop",   "node" };
    return Names[static_cast<std::size_t>(end)];
}

bool isOwnClose(const boost::system::error_code &error)
{
    return error == boost::asio::error::operation_aborted
        || error == boost::asio::error::bad_descriptor;
}

} // namespace jacinthroad
