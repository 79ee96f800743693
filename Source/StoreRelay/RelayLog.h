#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Fleet/Freshness.h"
#include "StoreRelay/RelayMessage.h"

namespace jacinthroad {

/// The objects of one kind by name, at one revision of the store.
using ObjectTable = std::map<std::string, platform::StoredObject>;

/// Identifies objects and their era: equal for nodes that hold the same ones.
[[nodiscard]] std::uint64_t objectsDigest(const ObjectTable &table,
                                          std::optional<std::uint64_t> era);

/// What a node passes on of one kind of objects, with its changes in their order. A change that
/// overtakes another one replaces it. Changes that mean nothing to other nodes, such as heartbeats,
/// are left out. Does no I/O; the time is passed in.
class RelayLog
{
public:
    struct Options
    {
        platform::ObjectKind kind = platform::ObjectKind::Configuration;
        /// Identifies this start of the node's process.
        std::uint64_t source = 1;
        /// Number of removals that are remembered; whoever needs earlier ones gets all objects.
        std::size_t maxRemovals = 1024;
        /// Size of the events after which a page ends.
        std::size_t pageBytes = std::size_t { 32 } * 1024;
    };

    explicit RelayLog(const Options &options)
        : options_(options)
    { }

    /// Applies the table as the store holds it at a revision of an era. Returns true if others have
    /// to be told.
    bool applyTable(const ObjectTable &table, std::uint64_t revision,
                    std::optional<std::uint64_t> era);
    /// Records that the store held nothing newer at `moment`, at this revision.
    void confirm(BootInstant moment, std::uint64_t revision);
    /// True once there is anything to pass on.
    [[nodiscard]] bool filled() const { return confirmedAt_.has_value(); }
    /// Time since the store was last known to hold nothing newer; filled() must be true.
    [[nodiscard]] Duration age(BootInstant now) const { return now - *confirmedAt_; }
    /// objectsDigest() of the objects as they are passed on.
    [[nodiscard]] std::uint64_t digest() const;
    /// True if there are changes after a position.
    [[nodiscard]] bool hasChanges(const RelayPosition &position) const;
    /// Size of the events that a node at a position lacks.
    [[nodiscard]] std::size_t bytesAfter(const RelayPosition &position) const;
    /// Returns the first page of what follows a position, or of all objects if that is not known.
    /// It refers to this log until its next change; filled() must be true.
    [[nodiscard]] RelayPage pageAfter(const RelayPosition &position, BootInstant now) const;
    /// Returns a page without events for a node that holds the objects of this digest, or reads
    /// them itself.
    [[nodiscard]] RelayPage emptyPage(RelayContent content, BootInstant now) const;

private:
    struct Entry
    {
        /// As it is passed on.
        platform::StoredObject object;
        /// The last revision, which may have been a heartbeat.
        std::uint64_t revision = 0;
        std::uint64_t changedAt = 0;
    };
    struct Change
    {
        std::string name;
        bool removed = false;
        /// The event as it is sent, once it has been.
        mutable std::string encoded {};
    };

    [[nodiscard]] bool knows(const RelayPosition &position) const;
    void note(const platform::StoredObject &object);
    void remove(const std::string &name);
    [[nodiscard]] const std::string &encodedEvent(const Change &change) const;

    Options options_;
    std::map<std::string, Entry> objects_;
    std::map<std::string, std::uint64_t> removedAt_;
    /// The last change of each object by its number.
    std::map<std::uint64_t, Change> changes_;
    /// Number of the last change, and of the last one before which removals are not known.
    std::uint64_t sequence_ = 1;
    std::uint64_t forgottenUntil_ = 0;
    std::uint64_t revision_ = 0;
    /// Sum over the objects.
    std::uint64_t objectsDigest_ = 0;
    std::optional<std::uint64_t> era_;
    std::optional<BootInstant> confirmedAt_;
};

} // namespace jacinthroad
