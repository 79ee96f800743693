#pragma once

#include <cstdint>
#include <string_view>

#include <boost/system/error_code.hpp>

namespace jacinthroad {

/// How a request ended that was read completely. docs/design/17-ends-of-requests.md lists where.
enum class RequestEnd : std::uint8_t {
    /// The caller was sent a complete response, which may be a refusal.
    Responded,
    /// The caller closed or lost its connection.
    Caller,
    /// The time limit of the caller or of the route was reached.
    Limit,
    /// The server, or the helping node, broke off its response.
    Server,
    /// The response exceeded a size that the node keeps, or the memory for bodies.
    Size,
    /// The grace period of a stop was about to end, or the process has ended.
    Stop,
    /// This node cut the response for none of these reasons, which is a fault.
    Node,
};

/// What tells how a request ended.
struct EndFacts
{
    bool responseComplete = false;
    /// True if the caller closed its connection, or only its sending side.
    bool callerLeft = false;
    bool limitReached = false;
    /// True if a stop of the node has shortened the limit.
    bool limitedByStop = false;
    /// True if the last run of the request was broken off by its server.
    bool serverBrokeOff = false;
    /// True if the response of that run was given up because it was too long.
    bool responseTooLong = false;
};

/// Returns how a request ended of which an exchange knows these facts.
[[nodiscard]] RequestEnd requestEnd(const EndFacts &facts);

/// Value of `ended_by` in the request log line; empty if the caller has a complete response.
[[nodiscard]] std::string_view endedByName(RequestEnd end);

/// True if a connection failed with `error` because this node had closed it or given it up.
[[nodiscard]] bool isOwnClose(const boost::system::error_code &error);

} // namespace jacinthroad
