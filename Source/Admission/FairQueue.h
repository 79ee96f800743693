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

/// One request that waits.
struct QueuedRequest
{
    RequestId id;
    TeamId team;
    /// The team's share; larger goes more often.
    double weight = 1;
    /// Place within the team: the earlier goes first. A long job's is later than a short one's
    /// that came at the same time, but waiting brings it forward.
    Instant rank;
    /// Work that it brings, in tokens.
    double work = 1;
    Instant deadline;
};

/// Waiting requests of one model in start-time fair order: each team advances a virtual clock by
/// work / weight, and the smallest clock goes first, so a team that floods the queue waits
/// behind its own requests. Within a team the earlier rank goes first.
class FairQueue
{
public:
    /// Adds a request at the end of its team's virtual time.
    void push(QueuedRequest request);

    /// Removes a request; false when it is not queued.
    bool remove(const RequestId &id);

    /// Identifiers in the order in which they should be tried, at most `limit`.
    [[nodiscard]] std::vector<RequestId> dispatchOrder(std::size_t limit) const;

    /// Work that goes before a waiting request in fair order, in tokens: its own team's earlier
    /// ranks, and the other teams' shares of the service meanwhile.
    [[nodiscard]] double workAhead(const RequestId &id) const;

    /// Requests whose deadline is at or before `now`.
    [[nodiscard]] std::vector<RequestId> expired(Instant now) const;

    /// Notes that a request was dispatched and removes it, which moves its team's clock; returns
    /// its work.
    double noteDispatched(const RequestId &id);

    [[nodiscard]] std::size_t size() const { return byId_.size(); }
    /// Work that waits, in tokens.
    [[nodiscard]] double waitingWork() const { return waitingWork_; }

private:
    /// Order within a team: rank, then arrival.
    struct Rank
    {
        Instant rank;
        std::uint64_t sequence;
        auto operator<=>(const Rank &) const = default;
    };
    struct Team
    {
        double clock = 0;
        std::map<Rank, QueuedRequest> waiting;
    };
    struct Place
    {
        TeamId team;
        Rank rank;
    };

    std::uint64_t lastSequence_ = 0;
    double virtualTime_ = 0;
    double waitingWork_ = 0;
    std::map<TeamId, Team> teams_;
    std::unordered_map<RequestId, Place> byId_;
    std::set<std::pair<Instant, RequestId>> byDeadline_;
};

} // namespace jacinthroad
