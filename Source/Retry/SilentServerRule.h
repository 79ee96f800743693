#pragma once

#include <cstdint>

namespace jacinthroad {

/// What is known of a request whose server has fallen silent.
struct SilenceFacts
{
    /// True if the server has been silent for longer than a sound one.
    bool gone = false;
    /// True if servers have rejected this request, or a good part of those that were sent to the
    /// service lately.
    bool rejectionsSeen = false;
    /// True if the request can be sent twice more: to another server, and once more in case that
    /// this one rejects it late.
    bool returnPaid = false;
};

/// Returns whether the request is sent to another server. It may run at two servers for a moment
/// only, so that the silent one, which has accepted it, may lose it to one that rejects it after
/// that. While the silent one is likely to go on, the request must have a way back.
[[nodiscard]] bool mayLeaveSilentServer(const SilenceFacts &facts);

/// What is known at the end of the time for which two servers may have a request: one that has
/// fallen silent, and another one that was sent the request since.
struct OverlapFacts
{
    bool silentResponded = false;
    /// True if the silent server has closed the connection or responded with a refusal.
    bool silentEnded = false;
    bool otherAccepted = false;
    /// True if the other server is responding with a refusal or an error.
    bool otherRejected = false;
};

/// One of the two servers that have a request.
enum class OverlapServer : std::uint8_t { Silent, Other };

/// Returns the server that the request is taken from.
[[nodiscard]] OverlapServer serverToGiveUp(const OverlapFacts &facts);

} // namespace jacinthroad
