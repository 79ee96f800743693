#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
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

/// Depth of a fingerprint that stands for a whole request.
constexpr std::uint8_t WholeRequestDepth = 255;
/// Depths of fingerprints that stand for a group of requests to a plain service: those of one
/// route, of one team on it, and of one API key on it.
constexpr std::uint8_t RouteGroupDepth = 250;
constexpr std::uint8_t TeamGroupDepth = 251;
constexpr std::uint8_t KeyGroupDepth = 252;
/// Maximum depth of a prompt part.
constexpr std::uint8_t MaxPartDepth = RouteGroupDepth - 1;

/// Returns true if the depth is that of a group of requests to a plain service.
[[nodiscard]] constexpr bool isRequestGroup(std::uint8_t depth)
{
    return depth >= RouteGroupDepth && depth <= KeyGroupDepth;
}

/// The crashes of backend servers that ran one request, that began to respond to requests with
/// one shared prompt part, or that ran requests of one group, as exchanged between nodes.
struct CrashRecord
{
    RequestFingerprint fingerprint = 0;
    /// Position of the part in the prompt, from 1 on, or the depth of a group or whole request.
    std::uint8_t depth = WholeRequestDepth;
    std::vector<CrashReport> crashes;
};

/// What a node may do with a request, given the crashes of the servers that ran it.
enum class CrashPermission : std::uint8_t {
    Unrestricted,
    /// The request may be sent to one server for each request of a caller.
    WithoutRetry,
    /// The request must not be sent yet: copies of it have crashed several servers, and it is tried
    /// once at a time.
    AwaitTrial,
    /// The request must not be sent to a server.
    Denied,
};

/// The assessment of a request or prompt part by CrashHistory.
struct CrashAssessment
{
    CrashPermission permission = CrashPermission::Unrestricted;
    /// Number of counted crashes.
    unsigned crashes = 0;
    /// Time until the request may run again if it is denied or awaits its trial; 0 otherwise.
    Duration remaining {};
    /// True if sending the request is its trial, or that of a part whose denial has ended; it must
    /// then be announced by CrashHistory::noteTrial.
    bool trial = false;
};

/// A request or prompt part that became denied.
struct DeniedRequest
{
    RequestFingerprint fingerprint = 0;
    std::uint8_t depth = WholeRequestDepth;
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
    /// The same if copies of the request crashed several servers together: `crashesToDeny` servers
    /// in all. Before that it is only tried, by few nodes at a time.
    unsigned copyCrashesToDeny = 2;
    /// Number of nodes that may try such a request, and the time without a crash after which one
    /// more may, because some of the nodes may have ended.
    std::uint64_t trialNodes = 2;
    Duration trialNodeInterval = std::chrono::seconds(5);
    /// Time between two trials of such a request by one node.
    Duration requestTrialInterval = std::chrono::seconds(5);
    /// The same for a part if some servers crashed meanwhile without it.
    unsigned partCrashesToDeny = 4;
    /// Counted crashes from which a part is denied if all of them were on one server, or if most
    /// of the servers that crashed meanwhile did so without the part.
    unsigned uncertainCrashesToDeny = 5;
    /// How long a request or part is denied after its last counted crash.
    Duration denialTime = std::chrono::minutes(10);
    /// The same for a part that has crashed no server since it was first denied.
    Duration firstPartDenialTime = std::chrono::seconds(30);
    /// Time between two trials of a part after its denial.
    Duration trialInterval = std::chrono::seconds(30);
    /// How long the crashes of a request are kept after the last one. A request that crashes a
    /// server again after its denial has ended is denied again at once.
    Duration retention = std::chrono::minutes(30);
    /// Maximum number of requests and parts that are kept.
    std::size_t capacity = 4096;
};

/// Remembers which requests were running on backend servers that crashed, and denies those that
/// crash one server after another; the same for shared prompt parts and for groups of requests to a
/// plain service, whose requests differ. In what follows, parts include such groups. The nodes
/// exchange their observations; each node's state is the union of all observations, so the
/// messages may be lost, doubled, delayed and reordered.
///
/// A crash counts only if the request was sent after the previous counted crash; one of a part also
/// if some time has passed since that crash. Copies of a
/// popular request that run on several servers when these fail together therefore count once, as
/// does one crash that several nodes observe. Such copies may also have crashed the servers, so
/// that the request is then tried once at a time until a run completes, and a single further crash
/// denies it. A run that completes clears all crashes before it, and a connection that outlives the
/// alleged crash of its server clears that crash for all requests. A crash that a denied request or
/// part explains counts for nothing else: those with the most crashes are denied first, and of
/// these the one that stands deepest in the prompt. Of groups the smallest is denied first, and of
/// these the one with the most evidence; requests and groups don't explain each other's crashes.
/// Does no I/O; the caller passes the time.
class CrashHistory
{
public:
    explicit CrashHistory(const CrashHistoryOptions &options);

    /// Records that a server, given by the hash of its identifier, crashed at `crashedAt` while it
    /// ran a request that was sent at `sentAt`. Returns false if the crash is known for this
    /// fingerprint, also from a peer.
    [[nodiscard]] bool noteCrash(RequestFingerprint fingerprint, std::uint64_t server,
                                 Instant sentAt, Instant crashedAt, Instant now,
                                 std::uint8_t depth = WholeRequestDepth);
    /// Records that the process of a server has lived from `since` on, when a connection was
    /// opened, at least until it responded on that connection to a request sent at `until`. Clears
    /// the crashes that this disproves, which were lost links, and returns their number.
    unsigned noteLived(std::uint64_t server, Instant since, Instant until);
    /// Records that the request ran completely, or that the part did not crash a server.
    void noteCompleted(RequestFingerprint fingerprint, Instant now);
    /// Records that a request of a group, sent at `sentAt`, ran completely. Sound requests of a
    /// group say little about the others, so only one run of several, chosen by `seed`, clears one
    /// crash, the earliest; so does the trial of a denied group.
    void noteGroupRun(RequestFingerprint fingerprint, Instant sentAt, std::uint64_t seed);
    /// Records that a request is sent as the trial of a part.
    void noteTrial(RequestFingerprint fingerprint, Instant now);
    /// Returns what may be done with the request now.
    [[nodiscard]] CrashAssessment assess(RequestFingerprint fingerprint, Instant now) const;
    /// Merges the records of a peer and returns the requests and parts that became denied.
    [[nodiscard]] std::vector<DeniedRequest> merge(std::span<const CrashRecord> records,
                                                   Instant now);
    /// Returns one record or more with up to `maxReports` reports that are due to be sent to the
    /// peers: this node's own observations several times after each change, and requests with
    /// several crashes repeatedly. The other records follow with the next calls.
    [[nodiscard]] std::vector<CrashRecord> takeRecords(Instant now, std::size_t maxReports);
    /// The same for the nodes of other availability zones, which hear this zone's reports from a
    /// single node: each record, also one that peers reported, several times after each change.
    [[nodiscard]] std::vector<CrashRecord> takeSummaryRecords(Instant now, std::size_t maxReports);
    /// Returns what has to outlast a restart of all nodes: the counted and cleared crashes of
    /// requests that have had two or more of these, the most important requests first, with up to
    /// `maxReports` reports. If there are any, also the single crashes of parts and groups.
    [[nodiscard]] std::vector<CrashRecord> recordsToKeep(Instant now, std::size_t maxReports) const;
    /// Sets the hashes of the names of this node and of all nodes, which share the trials of
    /// requests.
    void setNodes(std::uint64_t self, std::vector<std::uint64_t> all);
    /// Makes all records due, as when a peer has just started.
    void resendAll();

    /// True if no request was running during any crash.
    [[nodiscard]] bool empty() const { return entries_.empty(); }
    /// Number of requests and parts that are kept.
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
        /// True if a denied request or part explains the crash, or an outage of several servers.
        bool explained = false;
        /// True if the crash is independent of the previous counted one.
        bool counts = false;
    };

    struct Entry
    {
        std::uint8_t depth = WholeRequestDepth;
        std::vector<Crash> crashes;
        /// Counted crashes, and the time of the last one.
        unsigned counted = 0;
        /// Crashes that are neither cleared nor explained, counted or not.
        unsigned uncleared = 0;
        Instant lastCountedAt;
        /// The node that observed the last counted crash, and whether the counted ones were on
        /// more than one server.
        std::uint64_t lastReporter = 0;
        bool severalServers = false;
        Instant firstCountedAt;
        /// Counted crashes from which a part is denied, given the other crashes meanwhile.
        unsigned required = 0;
        /// Evidence against a group that has enough crashes, in EvidenceSteps of a bit.
        unsigned evidence = 0;
        /// Time of the last crash, counted or not.
        Instant lastCrashAt;
        /// Time of this node's last trial.
        Instant trialAt;
        /// How many times the record is still to be sent because of its last change.
        unsigned pendingSends = 0;
        Instant sentAt;
        /// The same for the nodes of other availability zones.
        unsigned pendingSummaries = 0;
    };

    using Entries = std::unordered_map<RequestFingerprint, Entry>;

    /// Returns the records of due entries with up to `maxReports` reports, those with more crashes
    /// first, and counts them down in `pending`.
    [[nodiscard]] std::vector<CrashRecord> takeDue(std::vector<Entries::value_type *> due,
                                                   Instant now, std::size_t maxReports,
                                                   unsigned Entry::*pending) const;

    /// Marks the crashes that count, and updates the totals.
    static void recount(Entry &entry);
    /// True if both are observations of one crash of a server.
    [[nodiscard]] static bool sameCrash(const Crash &left, const Crash &right);
    /// Adds a crash; returns false if it was known. Several observations of one crash become one
    /// with the earliest times and the lowest reporter and number, so that all nodes get the same.
    [[nodiscard]] bool add(Entry &entry, const Crash &crash);
    /// True if a server that has lived from `since` to `until` can't have crashed then.
    [[nodiscard]] static bool disproved(const Crash &crash, Instant since, Instant until);
    static void dropExcessCrash(Entry &entry);
    /// Orders crashes by importance, those that count first. Apart from that it doesn't depend on
    /// the times, which differ a little between the nodes.
    [[nodiscard]] static std::tuple<bool, std::uint64_t, std::uint32_t>
    keepOrder(const Crash &crash);
    /// Returns a crash as it is sent to the peers.
    [[nodiscard]] static CrashReport report(const Crash &crash, Instant now);
    /// Returns the crashes as they are sent to the peers.
    [[nodiscard]] static std::vector<CrashReport> reports(const Entry &entry, Instant now);
    /// Marks the crashes of incriminated parts that belong to an outage: several servers crashed
    /// at the same time, most of them without the part. Sets how many crashes of a part are
    /// required, which depends on the servers that crashed meanwhile without it. The crashes that
    /// `causes` explain are left out.
    void compareWithOtherCrashes(const std::unordered_set<RequestFingerprint> &causes);
    /// True if a narrower group, a single request or requests that are denied themselves were
    /// running during the counted crashes of the group, except for too few of them to blame the
    /// group.
    [[nodiscard]] bool hasNarrowerCause(const Entry &group) const;
    /// Returns how much better the group explains the crashes than chance, as the binary logarithm
    /// of odds: a crash counts the more the fewer other groups lost requests in it, and against the
    /// group if it happened meanwhile without it.
    [[nodiscard]] double evidence(const Entry &group) const;
    /// Sets Entry::required by the times and servers of all crashes.
    void noteOthers(Entry &entry, std::span<const std::pair<Instant, std::uint64_t>> crashes);
    /// Orders entries that can be denied; the highest explains the crashes of the others.
    [[nodiscard]] static std::tuple<bool, unsigned, unsigned, unsigned, RequestFingerprint>
    causeOrder(const Entries::value_type &candidate);
    /// Marks the crashes that denied requests and parts explain.
    void explain();
    /// Marks the crashes of other entries that `cause` explains.
    void explainBy(const Entries::value_type &cause);
    /// True if a change of the entry can change what is denied.
    [[nodiscard]] bool mustExplain(const Entry &entry) const
    {
        return hasCauses_ || incriminated(entry);
    }
    /// Counted crashes from which the entry is denied.
    [[nodiscard]] unsigned crashesRequired(const Entry &entry) const;
    [[nodiscard]] bool incriminated(const Entry &entry) const
    {
        return entry.counted >= crashesRequired(entry);
    }
    [[nodiscard]] CrashAssessment assess(RequestFingerprint fingerprint, const Entry &entry,
                                         Instant now) const;
    /// True if copies of a request crashed several servers together, enough to deny the request if
    /// each of these crashes counted.
    [[nodiscard]] bool crashedByCopies(const Entry &entry) const
    {
        return entry.depth == WholeRequestDepth && entry.counted < entry.uncleared
            && entry.uncleared >= options_.crashesToDeny;
    }
    /// Returns the time until this node may try a request whose copies crashed several servers.
    [[nodiscard]] Duration trialDelay(RequestFingerprint fingerprint, const Entry &entry,
                                      Instant now) const;
    [[nodiscard]] bool isDue(const Entry &entry, Instant now) const;
    [[nodiscard]] Entry &entryFor(RequestFingerprint fingerprint, std::uint8_t depth);
    void removeExpired(Instant now);

    CrashHistoryOptions options_;
    std::uint64_t self_ = 0;
    std::vector<std::uint64_t> nodes_;
    std::uint32_t nextNumber_ = 0;
    Entries entries_;
    /// When the last request was sent that a server lost in a crash that isn't cleared, or later.
    std::unordered_map<std::uint64_t, Instant> lastLossOfServer_;
    /// True if an entry is incriminated or a crash explained.
    bool hasCauses_ = false;
};

} // namespace jacinthroad
