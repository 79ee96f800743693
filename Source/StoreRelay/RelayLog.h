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

/// What a node passes on of one kind of objects, with its changes in their order. Changes that mean
/// nothing to other nodes, such as heartbeats, are left out. Does no I/O; the time is passed in.
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
    /// True if there are changes after a position.
    [[nodiscard]] bool hasChanges(const RelayPosition &position) const;
    /// Returns what follows a position, or all objects if that is not known; filled() must be true.
    [[nodiscard]] RelayedChanges changesAfter(const RelayPosition &position, BootInstant now) const;

private:
    struct Entry
    {
        platform::StoredObject object;
        std::uint64_t changedAt = 0;
    };

    [[nodiscard]] bool knows(const RelayPosition &position) const;
    void note(const platform::StoredObject &object);
    void remove(const std::string &name);

    Options options_;
    std::map<std::string, Entry> objects_;
    std::map<std::string, std::uint64_t> removedAt_;
    /// Number of the last change, and of the last one before which changes are not known.
    std::uint64_t sequence_ = 1;
    std::uint64_t forgottenUntil_ = 0;
    std::uint64_t revision_ = 0;
    std::optional<std::uint64_t> era_;
    std::optional<BootInstant> confirmedAt_;
};

} // namespace jacinthroad
