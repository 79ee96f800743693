#include "Placement/ServerStatements.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Longest pause that is kept. A server that asks for more is tried again after this time, so that
/// a faulty statement takes no server away for good.
constexpr Duration MaxPause = std::chrono::minutes(5);
/// Time between the first two requests after a pause; halves with each further request. A response
/// of a plain service takes less.
constexpr Duration FirstReturnInterval = milliseconds(200);
/// Number of requests after a pause that are spaced.
constexpr unsigned SpacedRequests = 6;

} // namespace

const char *withholdReasonName(WithholdReason reason)
{
    switch (reason) {
    case WithholdReason::None:
        break;
    case WithholdReason::Leaving:
        return "leaving";
    case WithholdReason::Pause:
        return "pause";
    case WithholdReason::Return:
        return "return";
    case WithholdReason::Limit:
        return "limit";
    case WithholdReason::Rejections:
        return "rejections";
    }
    return "";
}

ServerStatements::Changes ServerStatements::note(const ServerStatement &statement, Instant now,
                                                 unsigned slots)
{
    Changes changes;
    if (statement.leaving && !leavingSince_.has_value()) {
        leavingSince_ = now;
        changes.leaving = true;
    }
    if (statement.pause.has_value() && *statement.pause > Duration::zero()) {
        const Instant until = now + std::min(*statement.pause, MaxPause);
        changes.pause = !paused(now);
        if (!pausedAt_.has_value() || until > pausedUntil_) {
            pausedUntil_ = until;
        }
        pausedAt_ = now;
        sentAfterPause_ = 0;
        nextSendAt_ = pausedUntil_;
    }
    if (!statement.rejection || statement.requestsPerSecond.has_value()) {
        changes.limit = limit_.note(statement.requestsPerSecond, now);
    }
    if (!statement.rejection || statement.toleratedRejections.has_value()) {
        changes.toleratedRejections = rejections_.note(statement.toleratedRejections, now);
    }
    if (statement.load.has_value()) {
        load_ = *statement.load;
        loadAt_ = now;
    }
    if (statement.full) {
        rejections_.noteRejected(statement.load, now);
    } else if (statement.load.has_value()) {
        rejections_.noteLoad(*statement.load, slots, now);
    }
    rejections_.noteReceived(now);
    return changes;
}

bool ServerStatements::noteLimitOfPeer(std::optional<double> perSecond, Instant observedAt)
{
    return limit_.note(perSecond, observedAt);
}

void ServerStatements::noteSent(Instant now)
{
    limit_.noteSent(now);
    if (pausedAt_.has_value() && now >= pausedUntil_ && sentAfterPause_ < SpacedRequests) {
        nextSendAt_ = now + FirstReturnInterval / (1 << sentAfterPause_);
        ++sentAfterPause_;
    }
}

bool ServerStatements::paused(Instant now) const
{
    return pausedAt_.has_value() && now < pausedUntil_;
}

SendPermission ServerStatements::generalPermission(Instant now) const
{
    if (leavingSince_.has_value()) {
        return { .reason = WithholdReason::Leaving,
                 .after = std::nullopt,
                 .age = now - *leavingSince_ };
    }
    if (paused(now)) {
        return { .reason = WithholdReason::Pause,
                 .after = pausedUntil_ - now,
                 .age = now - *pausedAt_ };
    }
    return {};
}

SendPermission ServerStatements::controlPermission(Instant now) const
{
    const SendPermission permission = generalPermission(now);
    const Duration interval = limit_.controlInterval();
    if (!permission.allowed() || !controlCallAt_.has_value() || now - *controlCallAt_ >= interval) {
        return permission;
    }
    return { .reason = WithholdReason::Limit,
             .after = *controlCallAt_ + interval - now,
             .age = now - *limit_.observedAt() };
}

SendPermission ServerStatements::permission(const LimitRank &place, Instant now) const
{
    SendPermission permission = generalPermission(now);
    if (!permission.allowed()) {
        return permission;
    }
    if (pausedAt_.has_value() && sentAfterPause_ < SpacedRequests && now < nextSendAt_) {
        return { .reason = WithholdReason::Return,
                 .after = nextSendAt_ - now,
                 .age = now - *pausedAt_ };
    }
    if (!limit_.maySend(place, now)) {
        return { .reason = WithholdReason::Limit,
                 .after = limit_.retryAfter(),
                 .age = now - *limit_.observedAt() };
    }
    return {};
}

} // namespace jacinthroad
