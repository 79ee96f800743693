#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/Freshness.h"

namespace jacinthroad {

/// The content of the lease object in the platform's store.
struct LeaseRecord
{
    /// The holder's name, a slash and its boot identifier, so that a restarted node is a new
    /// holder.
    std::string holder;
    /// The address on which the holder's process listens; with its name it identifies the VM. Empty
    /// in records of builds that don't tell it.
    std::string address {};
    /// Fencing token; increases with each change to another VM and is sent with every order.
    std::uint64_t token = 0;
    /// The holder has sent its last order and gives up the lease.
    bool released = false;
    /// Increases with each write. The store assigns no new revision to a write that changes
    /// nothing, so other nodes would not see such a renewal.
    std::uint64_t renewals = 0;
    /// How long before this write the holder first saw weights to be desired. It is the only source
    /// of this for a node that starts at the same time as all others.
    std::vector<DesiredWeightsAge> desiredWeightsAges {};
    /// The era of the store as known to the node that wrote the record; 0 if unknown.
    std::uint64_t era = 0;

    friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

/// A write that creates the lease object.
struct CreateLease
{
    LeaseRecord record;
};

/// A write that replaces the lease object if it is still at `revision`.
struct ReplaceLease
{
    std::uint64_t revision = 0;
    LeaseRecord record;
};

/// Why a node that needs the lease may not acquire it yet, and until when at most.
struct LeaseWait
{
    enum class Cause : std::uint8_t {
        /// The record says that another node holds the lease, or has released it just now.
        OtherHolder,
        /// The record can't be read, so that its holder is not known.
        UnreadableRecord,
        /// The store was restored: the holder of a lost record may still act.
        LostRecord,
    };

    Cause cause = Cause::OtherHolder;
    BootInstant until;

    friend bool operator==(const LeaseWait &, const LeaseWait &) = default;
};

/// Decides when a node may act as the only holder of a lease. Does no I/O; the caller passes times
/// of the clock that also runs while the VM is suspended. Safety depends on the store's conditional
/// writes and on durations that each node measures itself: a holder stops acting `validity` after
/// it sent its last successful write, and another node takes over only after it has seen the record
/// unchanged for `validity` plus `handover`, or for `handover` after a release. When the store
/// comes back from an earlier copy, acknowledged records are gone: the holder then stops acting,
/// and no node acquires the lease until all of `validity` plus `handover` has passed since it saw
/// the new era. A process that follows the holder on the same VM goes on at once: the former one
/// has ended, and conditional writes that are still under way fail. It keeps the token, so that an
/// order of the former process that arrives late does not follow a higher one.
class LeaseKeeper
{
public:
    struct Options
    {
        std::string holderId;
        /// The address on which this process listens for other nodes; empty if there is none.
        std::string address {};
        /// How long the holder may act after it sent a successful write.
        Duration validity;
        /// Minimum time between the last action of one holder and the first of the next.
        Duration handover;
        /// Time after a successful write from which the holder renews the lease.
        Duration renewAfter;
    };

    explicit LeaseKeeper(Options options);

    /// Records that this process listens on its address, so that a former one has ended.
    void noteOnlyProcess() { onlyProcess_ = true; }
    /// Applies the era that a response named, before what else the response says. In a new era the
    /// record may be gone or older than what other nodes have seen, so a holder gives up the lease
    /// and every node waits until no holder of the lost history may act any more.
    void enterEra(std::uint64_t era, BootInstant now);
    /// Applies the record as read at `now`; `record` is empty if the object does not exist.
    void observe(const std::optional<LeaseRecord> &record, std::uint64_t revision, BootInstant now);
    /// Returns why this node may not acquire the lease at `now`; nothing if it may, or has not read
    /// the record yet.
    [[nodiscard]] std::optional<LeaseWait> waitAt(BootInstant now) const;
    /// The holder in the last known record; empty if there is none.
    [[nodiscard]] std::string recordedHolder() const;
    /// Returns the write to send now, if any. `wanted` is true while there is work for a holder.
    [[nodiscard]] std::optional<std::variant<CreateLease, ReplaceLease>>
    nextWrite(bool wanted, BootInstant now) const;
    /// Records the success of a write that nextWrite() returned and that was sent at `sentAt`.
    void noteWritten(const LeaseRecord &record, std::uint64_t revision, BootInstant sentAt);

    /// Returns true while this node may act.
    [[nodiscard]] bool holds(BootInstant now) const;
    /// Returns the fencing token of the lease; 0 if this node has never held it.
    [[nodiscard]] std::uint64_t token() const { return heldToken_; }
    /// Returns true if this node is the holder in the last known record of this era, valid or not.
    [[nodiscard]] bool wasLastHolder() const;
    /// Returns true if the holder in the last known record was a former process on this VM.
    [[nodiscard]] bool followsHolder() const;

private:
    /// True if the record was written in the present era. Any other tells nothing of the holders
    /// whose records were lost.
    [[nodiscard]] bool isOfThisEra(const LeaseRecord &record) const { return record.era == era_; }
    /// The time from which the lease may be acquired; `cause` says what stands against it before.
    [[nodiscard]] LeaseWait acquirable() const;
    /// A fencing token that is higher than every token that has been used.
    [[nodiscard]] std::uint64_t nextToken() const;

    Options options_;
    bool onlyProcess_ = false;
    /// The newest known era of the store; 0 if unknown.
    std::uint64_t era_ = 0;
    /// When that era was first seen.
    BootInstant eraSeenAt_;
    /// The highest token in any record that this node has read or written.
    std::uint64_t highestToken_ = 0;
    /// Whether the lease object has been read or written at least once.
    bool known_ = false;
    std::optional<LeaseRecord> record_;
    std::uint64_t revision_ = 0;
    /// When the current revision was first seen.
    BootInstant seenAt_;
    std::uint64_t heldToken_ = 0;
    std::optional<BootInstant> renewedAt_;
};

} // namespace jacinthroad
