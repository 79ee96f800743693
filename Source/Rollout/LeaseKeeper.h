#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/Freshness.h"

namespace jacinthroad {

/// What the lease object in the platform's store says.
struct LeaseRecord
{
    /// The holder, with its boot, so that a restarted node is another holder.
    std::string holder;
    /// Rises with each change of holder; orders carry it.
    std::uint64_t token = 0;
    /// The holder has given its last order.
    bool released = false;
    /// Rises with each write: the store gives a write that changes nothing no new revision, and
    /// others would see nothing of it.
    std::uint64_t renewals = 0;
    /// How long before this write the holder saw weights to be named; a node that starts when all
    /// others do learns it from here alone.
    std::vector<DesiredWeightsAge> named {};

    friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

/// The lease object is to be created.
struct CreateLease
{
    LeaseRecord record;
};

/// The lease object is to be replaced while it still is at `revision`.
struct ReplaceLease
{
    std::uint64_t revision = 0;
    LeaseRecord record;
};

/// Decides when a node may act as the only holder of a lease. Pure: time is that of the clock which
/// goes on while the VM is suspended. Safety rests on the store's conditional writes and on
/// durations that each node measures itself: a holder stops `validity` after it sent its last
/// successful write, and another one acts only once the record has stood unchanged before its own
/// eyes for the validity and the time that must pass between two holders.
class LeaseKeeper
{
public:
    struct Options
    {
        std::string self;
        /// How long one write lets the holder act.
        Duration validity;
        /// Time between the last act of one holder and the first of the next.
        Duration handover;
        /// How long a holder waits before it renews.
        Duration renewAfter;
    };

    explicit LeaseKeeper(Options options);

    /// Takes the record as read at `now`; nothing where the object does not exist.
    void observe(const std::optional<LeaseRecord> &record, std::uint64_t revision, BootInstant now);
    /// What to write now, if anything. `wanted` tells whether there is work for a holder.
    [[nodiscard]] std::optional<std::variant<CreateLease, ReplaceLease>>
    next(bool wanted, BootInstant now) const;
    /// Takes the end of a write that next() asked for and that was sent at `sentAt`.
    void written(const LeaseRecord &record, std::uint64_t revision, BootInstant sentAt);

    /// True while this node may act.
    [[nodiscard]] bool holds(BootInstant now) const;
    /// The token for acts; 0 while it has never held the lease.
    [[nodiscard]] std::uint64_t token() const { return heldToken_; }
    /// True where this node was the last holder.
    [[nodiscard]] bool wasLastHolder() const;

private:
    Options options_;
    /// Whether the store has answered at all.
    bool known_ = false;
    std::optional<LeaseRecord> record_;
    std::uint64_t revision_ = 0;
    /// When the present revision was first seen.
    BootInstant seenAt_;
    std::uint64_t heldToken_ = 0;
    std::optional<BootInstant> renewedAt_;
};

} // namespace jacinthroad
