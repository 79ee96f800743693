#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// One queued request.
struct QueuedRequest
{
    RequestId id;
    TeamId team;
    /// The team's weight; requests of teams with larger weights are dispatched more often.
    double weight = 1;
    /// Order within the team: earlier goes first. A long job ranks later than a short one that
    /// arrived at the same time, but ahead of sufficiently later arrivals.
    Instant rank;
    /// Cost of the request, in tokens.
    double work = 1;
    Instant deadline;
};

/// Queued requests of one model in start-time fair order: each team advances a virtual clock by
/// work / weight, and the team with the smallest clock goes first, so a team that floods the queue
/// delays only its own requests. Within a team, the earlier rank goes first.
class FairQueue
{
public:
    /// Adds a request to its team's queue.
    void push(QueuedRequest request);

    /// Removes a request; returns false if it is not queued.
    bool remove(const RequestId &id);

    /// Returns at most `limit` identifiers in the order in which they should be dispatched.
    [[nodiscard]] std::vector<RequestId> dispatchOrder(std::size_t limit) const;

    /// Estimated work ahead of a queued request in fair order, in tokens: the earlier ranks of its
    /// own team and the other teams' shares of the service in that time.
    [[nodiscard]] double workAhead(const RequestId &id) const;

    /// Requests whose deadline is at or before `now`.
    [[nodiscard]] std::vector<RequestId> expired(Instant now) const;

    /// Records that a request was dispatched: removes it and advances its team's clock. Returns its
    /// work in tokens, 0 if it is not queued.
    double noteDispatched(const RequestId &id);

    [[nodiscard]] std::size_t size() const { return byId_.size(); }
    /// Total queued work, in tokens.
    [[nodiscard]] double waitingWork() const { return waitingWork_; }

private:
    /// Order within a team: rank, then arrival.
    struct QueuePosition
    {
        Instant rank;
        std::uint64_t sequence;
        auto operator<=>(const QueuePosition &) const = default;
    };
    struct TeamQueue
    {
        double clock = 0;
        std::map<QueuePosition, QueuedRequest> waiting;
    };
    struct Location
    {
        TeamId team;
        QueuePosition rank;
    };

    std::uint64_t lastSequence_ = 0;
    double virtualTime_ = 0;
    double waitingWork_ = 0;
    std::map<TeamId, TeamQueue> teams_;
    std::unordered_map<RequestId, Location> byId_;
    std::set<std::pair<Instant, RequestId>> byDeadline_;
};

} // namespace jacinthroad
