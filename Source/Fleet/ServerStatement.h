#pragma once

#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// The load that a backend server reports with a response.
struct ReportedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    /// Present duration of work relative to the usual one; 2 means twice as long.
    double slowdown = 1;
};

/// What a backend server states about itself in one response.
struct ServerStatement
{
    /// It is shutting down and takes no new requests.
    bool leaving = false;
    /// The response rejects a request, and need not repeat what others stated.
    bool rejection = false;
    /// Requests a second that it takes from all nodes together, if it names a limit.
    std::optional<double> requestsPerSecond;
    /// It has rejected the request because it is full.
    bool full = false;
    /// Rejections a second, of requests of all nodes together, after which it fails, if it is
    /// brittle.
    std::optional<unsigned> toleratedRejections;
    /// Time for which it takes no requests from this node, if it asks for a pause.
    std::optional<Duration> pause;
    std::optional<ReportedLoad> load;
};

} // namespace jacinthroad
