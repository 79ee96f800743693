#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Core/Time.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// One observation that a backend server ended while it ran a request, as exchanged between nodes.
/// Reporter and number identify the observation.
struct CrashReport
{
    /// Hash of the name and the boot of the node that observed the crash.
    std::uint64_t reporter = 0;
    /// Number of the observation at that node.
    std::uint32_t number = 0;
    /// Hash of the server's identifier.
    std::uint64_t server = 0;
    /// Time in ms since the request was sent to the server.
    std::uint32_t sentAgeMs = 0;
    /// Time in ms since the connection to the server was lost.
    std::uint32_t crashAgeMs = 0;
    /// True if the request has run completely since then.
    bool cleared = false;
};

/// The crashes of backend servers that ran one request, as exchanged between nodes.
struct CrashRecord
{
    RequestFingerprint fingerprint = 0;
    std::vector<CrashReport> crashes;
};

/// What a node may do with a request, given the crashes of the servers that ran it.
enum class CrashPermission : std::uint8_t {
    Unrestricted,
    /// The request may be sent to one server for each request of a caller.
    WithoutRetry,
    /// The request must not be sent to a server.
    Denied,
};

/// The assessment of a request by CrashHistory.
struct CrashAssessment
{
    CrashPermission permission = CrashPermission::Unrestricted;
    /// Number of counted crashes.
    unsigned crashes = 0;
    /// Time until the request may run again if it is denied; 0 otherwise.
    Duration remaining {};
};

/// A request that became denied.
struct DeniedRequest
{
    RequestFingerprint fingerprint = 0;
    CrashAssessment assessment;
};

/// Settings of a CrashHistory.
struct CrashHistoryOptions
{
    /// Hash of the name and the boot of this node.
    std::uint64_t reporter = 0;
    /// Counted crashes from which this node doesn't retry a request by itself.
    unsigned crashesToRefuseRetry = 2;
    /// Counted crashes from which a request is denied.
    unsigned crashesToDeny = 3;
    /// How long a request is denied after its last counted crash.
    Duration denialTime = std::chrono::minutes(10);
    /// How long a crash is kept. A request that crashes a server again after its denial has ended
    /// is denied again at once.
    Duration retention = std::chrono::minutes(30);
    /// Maximum number of requests that are kept.
    std::size_t capacity = 2048;
};

/// Remembers which requests were running on backend servers that crashed, and denies those that
/// crash one server after another. The nodes exchange their observations; each node's state is the
/// union of all observations, so the messages may be lost, doubled, delayed and reordered.
///
/// A crash counts only if the request was sent after the previous counted crash. Copies of a
/// popular request that run on several servers when these fail together therefore count once, as
/// does one crash that several nodes observe. A run that completes clears all crashes before it.
/// Does no I/O; the caller passes the time.
class CrashHistory
{
public:
    explicit CrashHistory(const CrashHistoryOptions &options);

    /// Records that a server, given by the hash of its identifier, crashed at `crashedAt` while it
    /// ran a request that was sent at `sentAt`. Returns false if the crash is known for this
    /// fingerprint, also from a peer.
    [[nodiscard]] bool noteCrash(RequestFingerprint fingerprint, std::uint64_t server,
                                 Instant sentAt, Instant crashedAt, Instant now);
    /// Records that the request ran completely.
    void noteCompleted(RequestFingerprint fingerprint, Instant now);
    /// Returns what may be done with the request now.
    [[nodiscard]] CrashAssessment assess(RequestFingerprint fingerprint, Instant now) const;
    /// Merges the records of a peer and returns the requests that became denied.
    [[nodiscard]] std::vector<DeniedRequest> merge(std::span<const CrashRecord> records,
                                                   Instant now);
    /// Returns one record or more with up to `maxReports` reports that are due to be sent to the
    /// peers: this node's own observations several times after each change, and requests with
    /// several crashes repeatedly. The other records follow with the next calls.
    [[nodiscard]] std::vector<CrashRecord> takeRecords(Instant now, std::size_t maxReports);
    /// Returns what has to outlast a restart of all nodes: the counted and cleared crashes of
    /// requests that have had two or more of these, the most important requests first, with up to
    /// `maxReports` reports.
    [[nodiscard]] std::vector<CrashRecord> recordsToKeep(Instant now, std::size_t maxReports) const;
    /// Makes all records due, as when a peer has just started.
    void resendAll();

    /// True if no request was running during any crash.
    [[nodiscard]] bool empty() const { return entries_.empty(); }
    /// Number of requests that are kept.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct Crash
    {
        std::uint64_t reporter = 0;
        std::uint32_t number = 0;
        std::uint64_t server = 0;
        Instant sentAt;
        Instant crashedAt;
        bool cleared = false;
        /// True if the request was sent after the previous counted crash.
        bool counts = false;
    };

    struct Entry
    {
        std::vector<Crash> crashes;
        /// Counted crashes, and the time of the last one.
        unsigned counted = 0;
        Instant lastCountedAt;
        /// Time of the last crash, counted or not.
        Instant lastCrashAt;
        /// How many times the record is still to be sent because of its last change.
        unsigned pendingSends = 0;
        Instant sentAt;
    };

    /// Marks the crashes that count, and updates the totals.
    static void recount(Entry &entry);
    /// Adds a crash; returns false if it was known. Several observations of one crash become one
    /// with the earliest times and the lowest reporter and number, so that all nodes get the same.
    [[nodiscard]] static bool add(Entry &entry, const Crash &crash);
    static void dropExcessCrash(Entry &entry);
    /// Orders crashes by importance, those that count first. Apart from that it doesn't depend on
    /// the times, which differ a little between the nodes.
    [[nodiscard]] static std::tuple<bool, std::uint64_t, std::uint32_t>
    keepOrder(const Crash &crash);
    /// Returns a crash as it is sent to the peers.
    [[nodiscard]] static CrashReport report(const Crash &crash, Instant now);
    /// Returns the crashes as they are sent to the peers.
    [[nodiscard]] static std::vector<CrashReport> reports(const Entry &entry, Instant now);
    [[nodiscard]] CrashAssessment assess(const Entry &entry, Instant now) const;
    [[nodiscard]] bool isDue(const Entry &entry, Instant now) const;
    [[nodiscard]] Entry &entryFor(RequestFingerprint fingerprint);
    void removeExpired(Instant now);

    CrashHistoryOptions options_;
    std::uint32_t nextNumber_ = 0;
    std::unordered_map<RequestFingerprint, Entry> entries_;
};

} // namespace jacinthroad
