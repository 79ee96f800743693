#include "Placement/RejectionLimit.h"

#include <algorithm>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// Time over which a server counts its rejections.
constexpr Duration RejectionWindow = std::chrono::seconds(1);
/// Time within which a rejection arrives, if the server responds at all.
constexpr Duration ConfirmTime = milliseconds(200);
/// Time after which a request counts as admitted although the server has been silent.
constexpr Duration MaxConfirmTime = std::chrono::seconds(5);
/// Time after which the first nodes send one request to a server that was full and from which they
/// have no news. The next ones follow after the same time.
constexpr Duration FullTime = std::chrono::seconds(1);
constexpr std::size_t MaxFullTurns = 5;
/// Time for which a server is believed to run no more requests than when it was full.
constexpr Duration CapacityMemory = std::chrono::seconds(5);

/// Places that are divided among the nodes leave one of this many, and one at least, to requests
/// that have none, unless there are very few.
constexpr unsigned PlacesPerReserved = 16;
constexpr unsigned MinSharedPlaces = 4;
/// Time after which a server that was more than half full counts as half empty.
constexpr Duration BusyMemory = std::chrono::seconds(1);

/// Returns a node's part of `count` things that all nodes divide.
std::size_t part(std::size_t count, const LimitRank &place)
{
    return count / place.nodes + (place.rank < count % place.nodes ? 1 : 0);
}

/// Returns how many of a server's places aren't divided among the nodes.
unsigned reservedOf(unsigned places)
{
    return places < MinSharedPlaces ? 0 : std::max(1U, places / PlacesPerReserved);
}

std::size_t countSince(const std::deque<Instant> &times, Instant moment)
{
    return static_cast<std::size_t>(times.end()
                                    - std::upper_bound(times.begin(), times.end(), moment));
}

void forgetBefore(std::deque<Instant> &times, Instant moment)
{
    while (!times.empty() && times.front() <= moment) {
        times.pop_front();
    }
}

} // namespace

bool RejectionLimit::note(std::optional<unsigned> perSecond, Instant now)
{
    const bool changed = perSecond_ != perSecond;
    perSecond_ = perSecond;
    observedAt_ = now;
    return changed;
}

void RejectionLimit::noteRejected(const std::optional<ReportedLoad> &load, Instant now)
{
    forgetBefore(rejectedAt_, now - RejectionWindow);
    rejectedAt_.push_back(now);
    fullAt_ = now;
    full_ = true;
    if (load.has_value()) {
        runningWhenFull_ = load->running;
    }
}

void RejectionLimit::noteLoad(const ReportedLoad &load, unsigned slots, Instant now)
{
    if (load.waiting > 0 || load.running >= slots) {
        fullAt_ = now;
        full_ = true;
        runningWhenFull_ = load.running;
    } else {
        full_ = false;
        // More requests run than when it was full, so it has more room.
        runningWhenFull_ = std::max(runningWhenFull_, load.running + 1);
    }
}

void RejectionLimit::noteSent(const LimitRank &place, const ServerRoom &room, Instant now)
{
    noteRoom(room, now);
    forgetBefore(sentAt_, now - MaxConfirmTime);
    if (!hasPlace(place, room, now)) {
        sentAt_.push_back(now);
    }
}

void RejectionLimit::noteRoom(const ServerRoom &room, Instant now)
{
    if (room.all > capacity(room, now) / 2.0) {
        busyAt_ = now;
    }
}

unsigned RejectionLimit::capacity(const ServerRoom &room, Instant now) const
{
    const bool learned
        = fullAt_.has_value() && now - *fullAt_ < CapacityMemory && runningWhenFull_ > 0;
    return learned ? std::min(room.slots, runningWhenFull_) : room.slots;
}

bool RejectionLimit::hasPlace(const LimitRank &place, const ServerRoom &room, Instant now) const
{
    const unsigned places = capacity(room, now);
    return !full_ && room.own < part(places - reservedOf(places), place);
}

bool RejectionLimit::mayUseReserve(unsigned perSecond, const LimitRank &place,
                                   const ServerRoom &room, Instant now) const
{
    const unsigned places = capacity(room, now);
    const bool wasBusy = busyAt_.has_value() && now - *busyAt_ < BusyMemory;
    if (full_ || wasBusy || room.all + 1 > places / 2.0) {
        return false;
    }
    const std::uint64_t draw
        = mix64(static_cast<std::uint64_t>(now.time_since_epoch() / ConfirmTime), place.rank);
    const unsigned nodesAtATime = perSecond + places / PlacesPerReserved;
    const unsigned risks = perSecond / 2;
    const unsigned divided = places - reservedOf(places);
    const std::size_t without = place.nodes - std::min<std::size_t>(place.nodes, divided);
    if (without > 0 && without <= places - divided + perSecond - risks) {
        // Should all nodes use this and their places at once, the server is expected to reject no
        // more than it tolerates.
        return place.rank >= divided || draw % place.nodes + without + risks < nodesAtATime;
    }
    // Nodes that see the same free places at the same time take turns, without a message.
    return draw % place.nodes < nodesAtATime;
}

std::size_t RejectionLimit::unconfirmed(const ServerRoom &room, Instant now) const
{
    std::size_t silent = 0;
    std::size_t responded = 0;
    for (const Instant sent : sentAt_) {
        if (!receivedAt_.has_value() || *receivedAt_ <= sent) {
            silent += now - sent < MaxConfirmTime ? 1 : 0;
        } else {
            responded += now - sent < ConfirmTime ? 1 : 0;
        }
    }
    // Requests that a responding server has answered can't be rejected any more.
    return silent + std::min<std::size_t>(responded, room.own);
}

Duration RejectionLimit::sendAfter(unsigned perSecond, const LimitRank &place,
                                   const ServerRoom &room, Instant now) const
{
    // A request without a place may be rejected, or take the place of one that is rejected.
    const std::size_t risks = perSecond / 2;
    const std::size_t allowance = part(risks, place);
    const std::size_t rejected = countSince(rejectedAt_, now - RejectionWindow);
    const std::size_t atRisk = unconfirmed(room, now);
    const std::size_t taken
        = std::max({ rejected, atRisk, countSince(sentAt_, now - RejectionWindow) });
    if (rejected > std::max<std::size_t>(allowance, 1)) {
        return rejectedAt_.back() + RejectionWindow - now;
    }
    if (hasPlace(place, room, now) || taken < allowance) {
        return Duration::zero();
    }
    if (perSecond > 0 && rejected + atRisk == 0 && mayUseReserve(perSecond, place, room, now)) {
        return Duration::zero();
    }
    if (!full_ || atRisk > 0) {
        return ConfirmTime;
    }
    // Nodes without an allowance of their own find out one group after the other.
    const std::size_t turn
        = std::min(place.rank / std::max<std::size_t>(risks, 1), MaxFullTurns - 1);
    const Duration silence = FullTime * static_cast<Duration::rep>(turn + 1);
    return std::max(Duration::zero(), *fullAt_ + silence - now);
}

} // namespace jacinthroad
