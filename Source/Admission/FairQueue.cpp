#include "Admission/FairQueue.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace jacinthroad {

void FairQueue::push(QueuedRequest request)
{
    const QueuePosition rank { .rank = request.rank, .sequence = ++lastSequence_ };
    TeamQueue &team = teams_[request.team];
    if (team.waiting.empty()) {
        // An idle team earns no credit for the time without requests.
        team.clock = std::max(team.clock, virtualTime_);
    }
    waitingWork_ += request.work;
    byDeadline_.emplace(request.deadline, request.id);
    byId_[request.id] = { .team = request.team, .rank = rank };
    team.waiting.emplace(rank, std::move(request));
}

bool FairQueue::remove(const RequestId &id)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return false;
    }
    const auto team = teams_.find(found->second.team);
    const auto waiting = team->second.waiting.find(found->second.rank);
    waitingWork_ -= waiting->second.work;
    byDeadline_.erase({ waiting->second.deadline, id });
    team->second.waiting.erase(waiting);
    byId_.erase(found);
    if (team->second.waiting.empty() && team->second.clock <= virtualTime_) {
        teams_.erase(team);
    }
    return true;
}

std::vector<RequestId> FairQueue::dispatchOrder(std::size_t limit) const
{
    struct Cursor
    {
        double clock;
        std::map<QueuePosition, QueuedRequest>::const_iterator next;
        std::map<QueuePosition, QueuedRequest>::const_iterator end;
    };
    const auto later = [](const Cursor &a, const Cursor &b) { return a.clock > b.clock; };
    std::priority_queue<Cursor, std::vector<Cursor>, decltype(later)> heads(later);
    for (const auto &[id, team] : teams_) {
        if (!team.waiting.empty()) {
            heads.push({ team.clock, team.waiting.begin(), team.waiting.end() });
        }
    }
    std::vector<RequestId> result;
    while (!heads.empty() && result.size() < limit) {
        Cursor head = heads.top();
        heads.pop();
        const QueuedRequest &request = head.next->second;
        result.push_back(request.id);
        head.clock += request.work / request.weight;
        if (++head.next != head.end) {
            heads.push(head);
        }
    }
    return result;
}

double FairQueue::workAhead(const RequestId &id) const
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return 0;
    }
    double weights = 0;
    for (const auto &[name, team] : teams_) {
        weights += team.waiting.empty() ? 0 : team.waiting.begin()->second.weight;
    }
    const TeamQueue &own = teams_.at(found->second.team);
    double ownWork = 0;
    for (const auto &[rank, request] : own.waiting) {
        if (!(rank < found->second.rank)) {
            break;
        }
        ownWork += request.work;
    }
    const QueuedRequest &request = own.waiting.at(found->second.rank);
    const double shared = ownWork * weights / request.weight;
    return std::min(shared, waitingWork_ - request.work);
}

std::vector<RequestId> FairQueue::expired(Instant now) const
{
    std::vector<RequestId> result;
    for (const auto &[deadline, id] : byDeadline_) {
        if (deadline > now) {
            break;
        }
        result.push_back(id);
    }
    return result;
}

double FairQueue::noteDispatched(const RequestId &id)
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return 0;
    }
    TeamQueue &team = teams_[found->second.team];
    const QueuedRequest &request = team.waiting.at(found->second.rank);
    virtualTime_ = std::max(virtualTime_, team.clock);
    const double work = request.work;
    team.clock += work / request.weight;
    remove(id);
    return work;
}

} // namespace jacinthroad
