#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Core/Time.h"
#include "Fleet/ListedServer.h"

namespace jacinthroad {

/// An entry of the platform's server list with the store revision of its last change.
struct ServerEntry
{
    ListedServer server;
    std::uint64_t revision = 0;
};

/// Corrects the platform's server list after the store has come back from an earlier copy. Servers
/// whose entries were lost register again, so they stay listed for that time; servers that had left
/// and whose entries are back still count as leaving. Without a restore the list is unchanged.
/// Does no I/O; the time is passed in.
class RestoredServerList
{
public:
    struct Options
    {
        /// How long after a restore missing servers stay listed.
        Duration missingGrace;
        /// How long a server that left is remembered; longer than a copy is old.
        Duration leftMemory;
    };

    explicit RestoredServerList(const Options &options);

    /// Applies the complete list as read in `era`, 0 if unknown, and returns the servers to use.
    [[nodiscard]] std::vector<ListedServer> apply(std::span<const ServerEntry> entries,
                                                  std::uint64_t era, Instant now);
    /// When the same list has to be applied again; nothing if only a new list changes the result.
    [[nodiscard]] std::optional<Instant> applyAgainAt() const;

private:
    struct Departure
    {
        std::int64_t bootedAt = 0;
        /// Whether the server itself reported that it leaves.
        bool reported = false;
        Instant seenAt;
    };

    void noteDepartures(const std::map<ServerId, ListedServer> &listed, Instant now);
    /// True if the server had left before the restore and has not written its entry since.
    [[nodiscard]] bool hadLeft(const ServerEntry &entry) const;

    Options options_;
    std::uint64_t era_ = 0;
    Instant restoredAt_;
    /// The last list as the platform has it.
    std::map<ServerId, ListedServer> listed_;
    /// Servers that were listed before the restore and are missing since.
    std::map<ServerId, ListedServer> missing_;
    /// Revisions of the entries in the first list after the restore.
    std::map<ServerId, std::uint64_t> restoredRevisions_;
    std::map<ServerId, Departure> departures_;
};

} // namespace jacinthroad
