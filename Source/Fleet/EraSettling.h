#pragma once

#include <cstdint>
#include <optional>

#include "Fleet/Freshness.h"

namespace jacinthroad {

/// Decides whether a read of the store proves that the configuration it returned is the newest. A
/// store that was just restored may lack the newest ones until operators have written them again. A
/// node that read the store until shortly before has them in force; one that was cut off or starts
/// afterwards can't tell how long ago the restore was, unless another node has recorded in the
/// store that the era is settled. Does no I/O; the time is passed in.
class EraSettling
{
public:
    struct Options
    {
        /// Time after a restore in which lost configurations are written again.
        Duration settleTime;
        /// Additional time until this node records the era, if no other has; differs between nodes
        /// so that few of them write at once.
        Duration recordDelay {};
        /// Maximum time between the last read that proved the configuration and the first response
        /// of a new era if this node has all that the store has lost.
        Duration proofValidity;
    };

    explicit EraSettling(const Options &options);

    /// Notes the era of the store, as named by its latest response.
    void noteEra(std::uint64_t era, BootInstant now);
    /// Notes the era that a node's object in the store records as settled.
    void noteRecorded(std::uint64_t era);

    /// Notes that a read which was sent at `sentAt` has proven the configuration.
    void noteProof(BootInstant sentAt);

    /// True if a read of the store at `now` proves that its configuration is the newest, as far as
    /// this node can know. Also true if the store names no era.
    [[nodiscard]] bool readsProve(BootInstant now) const;
    /// The era to record as settled in the store; nothing if it isn't settled or another node has
    /// recorded it.
    [[nodiscard]] std::optional<std::uint64_t> eraToRecord(BootInstant now) const;

private:
    [[nodiscard]] bool settled(BootInstant now) const;

    Options options_;
    /// 0 if the store names none.
    std::uint64_t era_ = 0;
    BootInstant eraSeenAt_;
    std::uint64_t recordedEra_ = 0;
    /// When the last read that proved the configuration was sent.
    std::optional<BootInstant> provenAt_;
    /// Whether one did so shortly before the present era was seen.
    bool provenBefore_ = false;
};

} // namespace jacinthroad
