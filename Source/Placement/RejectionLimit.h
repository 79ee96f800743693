#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "Core/Time.h"
#include "Fleet/ServerStatement.h"
#include "Placement/ServerLimit.h"

namespace jacinthroad {

/// What a node knows about the room at a backend server.
struct ServerRoom
{
    /// Number of requests that the server runs at the same time.
    unsigned slots = 1;
    /// This node's requests, those included that are about to be sent.
    unsigned own = 0;
    /// The requests of all nodes, as far as this node knows.
    double all = 0;
};

/// How a node keeps the number of requests small that a brittle server must reject because it is
/// full: the server names how many in a second it tolerates, and fails at more.
///
/// The nodes divide that number, and the places at the server, by the server's order of nodes,
/// without a message. A node sends what fits into its places. It sends more only while the requests
/// that may still be rejected, with those rejected in the last second, stay below its share of the
/// tolerated number. A server that has rejected a request or that reports waiting requests counts
/// as full until it reports otherwise. Answers the load of a service of which a server has room for
/// a few requests of each node. Does no I/O; the caller passes the time.
class RejectionLimit
{
public:
    /// Records that a response named this number of tolerated rejections, or none. Returns true if
    /// that changed.
    bool note(std::optional<unsigned> perSecond, Instant now);
    /// Records that the server rejected a request because it was full, and the load that it
    /// reported with that.
    void noteRejected(const std::optional<ReportedLoad> &load, Instant now);
    /// Records the load that the server reported with another response.
    void noteLoad(const ReportedLoad &load, unsigned slots, Instant now);
    /// Records the requests of all nodes as they become known.
    void noteRoom(const ServerRoom &room, Instant now);
    /// Records that data arrived from the server.
    void noteReceived(Instant now) { receivedAt_ = now; }
    /// Records that this node is about to send a request; `room` doesn't include it.
    void noteSent(const LimitRank &place, const ServerRoom &room, Instant now);

    /// The number that the server named last.
    [[nodiscard]] const std::optional<unsigned> &perSecond() const { return perSecond_; }
    /// When it last named a number or none; unset before its first response.
    [[nodiscard]] const std::optional<Instant> &observedAt() const { return observedAt_; }
    /// True if the server was full when it was last heard of.
    [[nodiscard]] bool full() const { return full_; }
    /// Returns the time after which this node may send a request to a server that tolerates
    /// `perSecond` rejections a second; zero if it may do so now.
    [[nodiscard]] Duration sendAfter(unsigned perSecond, const LimitRank &place,
                                     const ServerRoom &room, Instant now) const;

private:
    /// The number of requests that the server can run, as far as this is known.
    [[nodiscard]] unsigned capacity(const ServerRoom &room, Instant now) const;
    /// Returns true if a request finds a place at the server.
    [[nodiscard]] bool hasPlace(const LimitRank &place, const ServerRoom &room, Instant now) const;
    /// Returns true if half of the server has been free for a while, and this node may send one
    /// request more than it has places for. Where the places that aren't divided and the tolerated
    /// rejections suffice for the nodes without a place, those may always do so; otherwise nodes
    /// take turns.
    [[nodiscard]] bool mayUseReserve(unsigned perSecond, const LimitRank &place,
                                     const ServerRoom &room, Instant now) const;
    /// Returns the number of requests that may still be rejected.
    [[nodiscard]] std::size_t unconfirmed(const ServerRoom &room, Instant now) const;

    std::optional<unsigned> perSecond_;
    std::optional<Instant> observedAt_;
    std::optional<Instant> fullAt_;
    /// True while no report has shown room since `fullAt_`.
    bool full_ = false;
    /// Requests that ran when the server was full, which may be fewer than its slots.
    unsigned runningWhenFull_ = 0;
    std::optional<Instant> receivedAt_;
    /// When more than half of it was last known to be taken.
    std::optional<Instant> busyAt_;
    /// Requests sent without a place.
    std::deque<Instant> sentAt_;
    std::deque<Instant> rejectedAt_;
};

} // namespace jacinthroad
