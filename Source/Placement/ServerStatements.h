#pragma once

#include <cstdint>
#include <optional>

#include "Core/Time.h"
#include "Fleet/ServerStatement.h"
#include "Placement/RejectionLimit.h"
#include "Placement/ServerLimit.h"

namespace jacinthroad {

/// What keeps requests from a server, as it stated itself.
enum class WithholdReason : std::uint8_t {
    /// Nothing does.
    None,
    Leaving,
    Pause,
    /// It takes requests again after a pause, one after the other at first.
    Return,
    Limit,
    /// It is brittle, and may have to reject the request.
    Rejections,
};

/// Name of a reason in logs.
[[nodiscard]] const char *withholdReasonName(WithholdReason reason);

/// Whether this node may send a request to a server now, and if not, when.
struct SendPermission
{
    WithholdReason reason = WithholdReason::None;
    /// Time until a request may be sent; unset if that is never in this boot of the server.
    std::optional<Duration> after = Duration::zero();
    /// Time since the server stated the reason.
    Duration age {};

    [[nodiscard]] bool allowed() const { return reason == WithholdReason::None; }
};

/// What one start of a backend server has stated about itself in its responses, and the decision
/// what may be sent to it: a server that leaves gets nothing more, one that has asked for a pause
/// nothing until its end, and one that names a limit this node's part of it. After a pause requests
/// are spaced until several have been sent, so that those that waited don't arrive together. Does
/// no I/O; the caller passes the time.
class ServerStatements
{
public:
    /// What a response changed.
    struct Changes
    {
        bool leaving = false;
        bool pause = false;
        bool limit = false;
        bool toleratedRejections = false;

        [[nodiscard]] bool any() const { return leaving || pause || limit || toleratedRejections; }
    };

    /// Applies the statement of a response of a server with `slots` that arrived at `now`. A pause
    /// never ends earlier than one that was stated before; a server that leaves does so for good.
    Changes note(const ServerStatement &statement, Instant now, unsigned slots = 1);
    /// Applies a limit, or the absence of one, that a peer saw in a response at `observedAt`.
    /// Returns true if the limit changed.
    [[nodiscard]] bool noteLimitOfPeer(std::optional<double> perSecond, Instant observedAt);
    /// Records that this node sends a request.
    void noteSent(Instant now);
    /// Records a call of the node itself.
    void noteControlCall(Instant now) { controlCallAt_ = now; }

    /// Whether a request of a caller may be sent.
    [[nodiscard]] SendPermission permission(const LimitRank &place, Instant now) const;
    /// The same for a call of the node itself, such as a status report or an order to load weights.
    [[nodiscard]] SendPermission controlPermission(Instant now) const;

    [[nodiscard]] bool leaving() const { return leavingSince_.has_value(); }
    /// True while a pause lasts.
    [[nodiscard]] bool paused(Instant now) const;
    [[nodiscard]] const ServerLimit &limit() const { return limit_; }
    [[nodiscard]] const RejectionLimit &rejections() const { return rejections_; }
    [[nodiscard]] RejectionLimit &rejections() { return rejections_; }
    [[nodiscard]] const ReportedLoad &load() const { return load_; }
    /// When the load was reported.
    [[nodiscard]] Instant loadAt() const { return loadAt_; }

private:
    /// Whether leaving or a pause keeps everything from the server.
    [[nodiscard]] SendPermission generalPermission(Instant now) const;

    std::optional<Instant> leavingSince_;
    std::optional<Instant> controlCallAt_;
    std::optional<Instant> pausedAt_;
    Instant pausedUntil_;
    /// Requests that were sent after the pause, until they need not be spaced any more.
    unsigned sentAfterPause_ = 0;
    Instant nextSendAt_;
    ServerLimit limit_;
    RejectionLimit rejections_;
    ReportedLoad load_;
    Instant loadAt_;
};

} // namespace jacinthroad
