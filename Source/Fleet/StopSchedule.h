#pragma once

#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// A request that arrives while its node is stopping.
struct StopArrival
{
    /// Time from the stop signal to the last byte of the request.
    Duration sinceSignal {};
    /// Time that the caller and the route allow for the response.
    Duration limit {};
    /// True if ending the request without a result does no lasting harm: it may run again, or its
    /// response is a stream.
    bool mayBeEnded = false;
    /// How long requests of its route usually take; nothing if none has completed.
    std::optional<Duration> usualDuration {};
};

/// Decides what a node still does between the stop signal and the end of the grace period, after
/// which its process is killed. Does no I/O; times are counted from the signal.
class StopSchedule
{
public:
    explicit StopSchedule(Duration grace);

    /// When the last callers that the balancer sent have arrived. Later requests are refused.
    [[nodiscard]] Duration acceptEnd() const;
    /// When the node closes its listener.
    [[nodiscard]] Duration listenerEnd() const;
    /// When requests without a response get their final one.
    [[nodiscard]] Duration answerEnd() const;
    /// Until when a node that comes to its final responses at this time waits for them and for the
    /// release of the lease. The rest of the grace period is for the end of the process.
    [[nodiscard]] Duration waitEnd(Duration sinceSignal) const;
    /// Time that the release of the lease and the sending of the final responses take.
    [[nodiscard]] Duration releaseTime() const;

    /// Returns the time within which the request is served, which never passes answerEnd(); nothing
    /// if it must be refused because it might be unfinished then.
    [[nodiscard]] std::optional<Duration> serviceLimit(const StopArrival &arrival) const;

private:
    Duration grace_;
};

} // namespace jacinthroad
