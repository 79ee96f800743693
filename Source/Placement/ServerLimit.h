#pragma once

#include <cstddef>
#include <optional>

#include "Core/Time.h"

namespace jacinthroad {

/// The place of this node among those that may send requests to a limited server. All nodes compute
/// the same order from the list of nodes.
struct LimitRank
{
    /// Position of this node in the server's order of nodes, from 0 on.
    std::size_t rank = 0;
    std::size_t nodes = 1;
};

/// The limit that a backend server names for the requests a second from all nodes together, and
/// this node's part of it. The first nodes of the server's order, as few as can use up the limit,
/// share it evenly. The others take turns, one at a time, when no response of the server has been
/// seen for a while, so that its limit doesn't stay unused and its end is noticed. Nodes exchange
/// what they see; messages may be lost, doubled and reordered. Does no I/O; the caller passes the
/// time.
class ServerLimit
{
public:
    /// Records that a response at `observedAt` named this many requests a second, or no limit.
    /// Older observations than the latest are ignored. Returns true if the limit changed.
    [[nodiscard]] bool note(std::optional<double> perSecond, Instant observedAt);
    /// Records that this node sends a request.
    void noteSent(Instant now) { sentAt_ = now; }

    /// Requests a second; unset if the server names no limit.
    [[nodiscard]] const std::optional<double> &perSecond() const { return perSecond_; }
    /// Time of the latest response that was seen by a node; unset before the first.
    [[nodiscard]] const std::optional<Instant> &observedAt() const { return observedAt_; }
    /// Returns true if this node may send a request now.
    [[nodiscard]] bool maySend(const LimitRank &place, Instant now) const;
    /// Returns true if no response was seen for so long that the limit may have ended.
    [[nodiscard]] bool needsRenewal(Instant now) const;
    /// Returns the time after which a refused caller should come back: until the limit allows a
    /// request of any node.
    [[nodiscard]] Duration retryAfter() const;
    /// Returns the time between calls of the one node that orders weights, which share what
    /// requests leave of the limit; zero without a limit.
    [[nodiscard]] Duration controlInterval() const;

private:
    /// Time without a response after which other nodes take turns, and of each turn.
    [[nodiscard]] Duration turnTime(std::size_t nodes) const;

    std::optional<double> perSecond_;
    std::optional<Instant> observedAt_;
    std::optional<Instant> sentAt_;
};

} // namespace jacinthroad
