#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>

#include "Core/Time.h"
#include "StreamVersions/StreamOrigin.h"

namespace jacinthroad {

/// The content of the object in the platform's store that holds the version table.
struct KeptVersions
{
    VersionTable versions;
    /// Those of the versions that a node is about to remove. A node that lists one of them clears
    /// it here, so that a late removal fails.
    VersionTable leaving;

    friend bool operator==(const KeptVersions &, const KeptVersions &) = default;
};

/// Reads the object.
struct ReadVersionTable
{ };

/// Creates the object, or replaces it if it is still at `revision`.
struct WriteVersionTable
{
    /// Nothing if the object doesn't exist.
    std::optional<std::uint64_t> revision;
    KeptVersions content;
};

using VersionTableCall = std::variant<ReadVersionTable, WriteVersionTable>;

/// Decides which software versions may have begun streams that callers can still resume, and what
/// to write to the version table. A node sends streams only to versions that are in the table; a
/// version is removed only when no node can have sent to it for as long as a stream lasts. For that
/// each node stops sending streams once its list of servers is older than `listValidity`. Does no
/// I/O; the caller passes the times and makes one call of nextCall() at a time.
class ServedVersions
{
public:
    struct Options
    {
        /// Time for which a version must have been missing in the list before it is removed. Longer
        /// than listValidity and the longest time limit of callers, 15 s, together.
        Duration retention = std::chrono::seconds(60);
        /// Time for which the list of servers may be used without a confirmation.
        Duration listValidity = std::chrono::seconds(35);
        /// Maximum age of the read on which a write is based.
        Duration readValidity = milliseconds(500);
        /// Pause after a failed call; doubles with each further failure up to longestPause.
        Duration firstPause = milliseconds(50);
        Duration longestPause = std::chrono::seconds(1);
    };

    ServedVersions();
    explicit ServedVersions(const Options &options);

    /// Sets the services whose streams can be resumed.
    void setServices(std::set<ServiceId> services) { services_ = std::move(services); }
    /// Sets the versions of the listed servers.
    void setListed(VersionTable listed, Instant now);
    /// Notes that the list was current at this time.
    void confirmList(Instant at);
    /// Notes that the store came back from an earlier copy.
    void noteRestored();

    /// Returns the call to make now, if any.
    [[nodiscard]] std::optional<VersionTableCall> nextCall(Instant now) const;
    /// Returns when nextCall() or admitted() may change without a further event.
    [[nodiscard]] std::optional<Instant> nextChange(Instant now) const;
    /// The revision of the table that was last applied; nothing if there is none.
    [[nodiscard]] std::optional<std::uint64_t> revision() const { return revision_; }

    /// Records the content of the object, as of a call that began at `startedAt`. Nothing for
    /// `content` stands for an unreadable object. A response that newer calls have overtaken is
    /// ignored.
    void noteRead(const std::optional<KeptVersions> &content, std::uint64_t revision,
                  Instant startedAt, Instant now);
    /// Records that the object didn't exist.
    void noteMissing(Instant startedAt, Instant now);
    /// Records that a call failed. A write may have been applied, or may still be.
    void noteFailed(Instant now);

    /// Returns the versions that streams may be sent to.
    [[nodiscard]] VersionTable admitted(Instant now) const;
    /// Returns the versions of a service that may have begun streams, as far as this node knows.
    [[nodiscard]] VersionSet known(const ServiceId &service, Instant now) const;

private:
    /// What this node has seen of a version.
    struct Sighting
    {
        /// When it was last listed.
        std::optional<Instant> listedAt;
        /// Since when it has been missing in the list.
        std::optional<Instant> missingSince;
        /// If set, the version is used only once a call that began later has found it in the table.
        std::optional<Instant> unprovenSince;
    };

    [[nodiscard]] bool isListed(const ServiceId &service, const SoftwareVersion &version) const;
    [[nodiscard]] const Sighting *sighting(const ServiceId &service,
                                           const SoftwareVersion &version) const;
    [[nodiscard]] bool listValid(Instant now) const;
    /// True if a listed version has to be found in the table by a call that has yet to begin.
    [[nodiscard]] bool needsRead() const;
    /// Returns the content that the object should have.
    [[nodiscard]] KeptVersions target(Instant now) const;
    void addMissing(const ServiceId &service, KeptVersions &content, Instant now) const;
    void removeOld(const ServiceId &service, KeptVersions &content) const;
    [[nodiscard]] bool isOld(const ServiceId &service, const SoftwareVersion &version) const;
    void applyContent(KeptVersions content, std::optional<std::uint64_t> revision,
                      Instant startedAt, Instant now);
    /// Keeps the versions of the table in mind although the store may have lost them.
    void rememberTable();

    Options options_;
    std::set<ServiceId> services_;
    VersionTable listed_;
    std::map<ServiceId, std::map<SoftwareVersion, Sighting>> sightings_;
    std::optional<Instant> confirmedAt_;
    KeptVersions table_;
    std::optional<std::uint64_t> revision_;
    /// When the table was first received at this revision.
    std::optional<Instant> revisionSince_;
    /// When the last call began that returned the table.
    std::optional<Instant> readAt_;
    /// False if the object has to be read before the next write.
    bool current_ = false;
    /// Versions that were in a table which the store has lost.
    VersionTable lost_;
    std::optional<Instant> pausedUntil_;
    unsigned failures_ = 0;
};

} // namespace jacinthroad
