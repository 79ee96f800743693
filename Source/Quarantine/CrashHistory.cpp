#include "Quarantine/CrashHistory.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

/// Observations of one server within this time belong to one crash: a server needs some seconds to
/// restart.
constexpr Duration SameCrashTime = milliseconds(1500);
/// Servers that crash within this time of each other crash together, and their minimum number in
/// an outage.
constexpr Duration OutageTime = milliseconds(150);
constexpr std::size_t MinOutageServers = 3;
/// Time after which another crash under a prompt part counts, although the request was sent before
/// the previous one.
constexpr Duration SeparateCrashTime = milliseconds(150);
/// How much later than the previous crash a request must have been sent if another node observed
/// that crash: the times of other nodes are late by the transit time of their messages.
constexpr Duration TransitAllowance = milliseconds(150);
/// Maximum number of crashes kept for one request.
constexpr std::size_t MaxCrashes = 64;
/// How many times a change is sent, because datagrams may be lost.
constexpr unsigned SendsPerChange = 5;
/// Minimum time between two sends of one record.
constexpr Duration MinSendInterval = milliseconds(150);
/// Interval at which records with several crashes are sent again.
constexpr Duration RepeatInterval = std::chrono::seconds(1);
/// Number of different delays after which nodes make the trial of a part that another node owes.
constexpr std::uint64_t TrialRanks = 8;
/// Counted crashes from which a record is sent repeatedly.
constexpr unsigned CrashesToRepeat = 2;
/// Runs of a group's requests of which one clears a crash. A group with a smaller share of requests
/// that crash servers isn't denied.
constexpr std::uint64_t GroupRunsPerCrash = 16;
/// Counted crashes of a route's or team's group without a narrower group or single request that
/// would explain the others.
constexpr unsigned OtherCrashesOfWideGroup = 2;
/// Number of keys and of routes among which the cause of a crash is sought, and the evidence, as
/// the binary logarithm of odds, from which a group is blamed: a hundred times the number of
/// groups.
constexpr double UsualKeys = 16;
constexpr double UsualRoutes = 4;
constexpr double EvidenceToDeny = 11;
/// Steps of a bit in which the evidence against groups is compared. The order of the sum, in which
/// nodes differ, doesn't change it then.
constexpr double EvidenceSteps = 16;
/// Counted and cleared crashes from which a record is kept across restarts of all nodes, and
/// maximum number of crashes that are kept of one request, the latest.
constexpr std::size_t CrashesToKeep = 2;
constexpr std::size_t MaxKeptCrashes = 8;

/// Returns true if a cause of this depth explains crashes of entries of the other depth. Requests
/// that crash servers stay denied although some of the servers are the same, and several of them
/// incriminate their group.
bool explains(std::uint8_t causeDepth, std::uint8_t depth)
{
    if (causeDepth == WholeRequestDepth) {
        return depth != WholeRequestDepth && !isRequestGroup(depth);
    }
    return !isRequestGroup(causeDepth) || isRequestGroup(depth);
}

} // namespace

CrashHistory::CrashHistory(const CrashHistoryOptions &options)
    : options_(options)
{ }

void CrashHistory::recount(Entry &entry)
{
    // The order must not depend on the order in which the messages arrived.
    std::sort(entry.crashes.begin(), entry.crashes.end(), [](const Crash &a, const Crash &b) {
        return std::tie(a.crashedAt, a.sentAt, a.reporter, a.number)
            < std::tie(b.crashedAt, b.sentAt, b.reporter, b.number);
    });
    entry.counted = 0;
    entry.uncleared = 0;
    entry.severalServers = false;
    const Crash *previous = nullptr;
    for (Crash &crash : entry.crashes) {
        entry.lastCrashAt = std::max(entry.lastCrashAt, crash.crashedAt);
        entry.uncleared += !crash.cleared && !crash.explained ? 1 : 0;
        crash.counts = !crash.cleared && !crash.explained
            && (previous == nullptr
                || (entry.depth != WholeRequestDepth
                    && crash.crashedAt >= previous->crashedAt + SeparateCrashTime)
                || crash.sentAt >= previous->crashedAt
                        + (crash.reporter == previous->reporter ? Duration::zero()
                                                                : TransitAllowance));
        if (crash.counts) {
            ++entry.counted;
            if (previous == nullptr) {
                entry.firstCountedAt = crash.crashedAt;
            }
            entry.lastCountedAt = crash.crashedAt;
            entry.lastReporter = crash.reporter;
            entry.severalServers
                = entry.severalServers || (previous != nullptr && previous->server != crash.server);
            previous = &crash;
        }
    }
}

std::tuple<bool, std::uint64_t, std::uint32_t> CrashHistory::keepOrder(const Crash &crash)
{
    return { !crash.counts, crash.reporter, crash.number };
}

bool CrashHistory::sameCrash(const Crash &left, const Crash &right)
{
    return left.server == right.server
        && std::chrono::abs(left.crashedAt - right.crashedAt) < SameCrashTime;
}

bool CrashHistory::add(Entry &entry, const Crash &crash)
{
    const auto known
        = std::find_if(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &candidate) {
              const bool sameObservation
                  = candidate.reporter == crash.reporter && candidate.number == crash.number;
              return sameObservation || sameCrash(candidate, crash);
          });
    if (known == entry.crashes.end()) {
        entry.crashes.push_back(crash);
        if (!crash.cleared) {
            Instant &lastLoss = lastLossOfServer_[crash.server];
            lastLoss = std::max(lastLoss, crash.sentAt);
        }
        recount(entry);
        dropExcessCrash(entry);
        entry.pendingSummaries = SendsPerChange;
        return true;
    }
    // Delays make the times late, so the earliest are the most accurate.
    known->sentAt = std::min(known->sentAt, crash.sentAt);
    known->crashedAt = std::min(known->crashedAt, crash.crashedAt);
    if (crash.cleared && !known->cleared) {
        known->cleared = true;
        entry.pendingSummaries = SendsPerChange;
    }
    if (std::tie(crash.reporter, crash.number) < std::tie(known->reporter, known->number)) {
        known->reporter = crash.reporter;
        known->number = crash.number;
    }
    recount(entry);
    return false;
}

void CrashHistory::dropExcessCrash(Entry &entry)
{
    if (entry.crashes.size() <= MaxCrashes) {
        return;
    }
    const auto dropped = std::max_element(
        entry.crashes.begin(), entry.crashes.end(),
        [](const Crash &a, const Crash &b) { return keepOrder(a) < keepOrder(b); });
    entry.crashes.erase(dropped);
    recount(entry);
}

unsigned CrashHistory::crashesRequired(const Entry &entry) const
{
    if (entry.depth == WholeRequestDepth) {
        return crashedByCopies(entry) ? options_.copyCrashesToDeny : options_.crashesToDeny;
    }
    return std::max(entry.required,
                    entry.severalServers ? options_.crashesToDeny
                                         : options_.uncertainCrashesToDeny);
}

void CrashHistory::explainBy(const Entries::value_type &cause)
{
    std::unordered_multimap<std::uint64_t, Instant> explained;
    for (const Crash &crash : cause.second.crashes) {
        if (!crash.cleared) {
            explained.emplace(crash.server, crash.crashedAt);
        }
    }
    for (auto &[fingerprint, entry] : entries_) {
        if (fingerprint == cause.first || !explains(cause.second.depth, entry.depth)) {
            continue;
        }
        bool changed = false;
        for (Crash &crash : entry.crashes) {
            const auto [first, last] = explained.equal_range(crash.server);
            const bool same = std::any_of(first, last, [&](const auto &known) {
                return std::chrono::abs(known.second - crash.crashedAt) < SameCrashTime;
            });
            changed = changed || (same && !crash.explained);
            crash.explained = crash.explained || same;
        }
        if (changed) {
            recount(entry);
        }
    }
}

void CrashHistory::compareWithOtherCrashes(const std::unordered_set<RequestFingerprint> &causes)
{
    std::vector<Entry *> parts;
    for (auto &[fingerprint, entry] : entries_) {
        if (causes.contains(fingerprint)) {
            continue;
        }
        entry.required = 0;
        if (entry.depth != WholeRequestDepth && incriminated(entry)) {
            parts.push_back(&entry);
        }
    }
    if (parts.empty()) {
        return;
    }
    std::vector<std::pair<Instant, std::uint64_t>> crashes;
    for (const auto &[fingerprint, entry] : entries_) {
        for (const Crash &crash : entry.crashes) {
            if (!crash.explained && !causes.contains(fingerprint)) {
                crashes.emplace_back(crash.crashedAt, crash.server);
            }
        }
    }
    std::sort(crashes.begin(), crashes.end());
    crashes.erase(std::unique(crashes.begin(), crashes.end()), crashes.end());
    for (Entry *entry : parts) {
        for (Crash &crash : entry->crashes) {
            std::unordered_set<std::uint64_t> servers;
            for (auto other = std::lower_bound(
                     crashes.begin(), crashes.end(),
                     std::pair<Instant, std::uint64_t>(crash.crashedAt - OutageTime, 0));
                 other != crashes.end() && other->first <= crash.crashedAt + OutageTime; ++other) {
                servers.insert(other->second);
            }
            std::unordered_set<std::uint64_t> own;
            for (const Crash &other : entry->crashes) {
                if (std::chrono::abs(other.crashedAt - crash.crashedAt) <= OutageTime) {
                    own.insert(other.server);
                }
            }
            crash.explained = crash.explained
                || (servers.size() >= MinOutageServers && own.size() * 2 < servers.size());
            hasCauses_ = hasCauses_ || crash.explained;
        }
        recount(*entry);
        if (isRequestGroup(entry->depth)) {
            const double bits = evidence(*entry);
            entry->evidence
                = static_cast<unsigned>(std::lround(std::max(0.0, bits) * EvidenceSteps));
            const bool blamed = !hasNarrowerCause(*entry) && bits >= EvidenceToDeny;
            entry->required = blamed ? options_.crashesToDeny : entry->counted + 1;
        } else {
            noteOthers(*entry, crashes);
        }
    }
}

bool CrashHistory::hasNarrowerCause(const Entry &group) const
{
    const unsigned needed = group.depth == KeyGroupDepth ? 1 : OtherCrashesOfWideGroup;
    const auto contains = [](const Entry &entry, const Crash &crash) {
        return std::any_of(entry.crashes.begin(), entry.crashes.end(),
                           [&](const Crash &known) { return sameCrash(known, crash); });
    };
    std::vector<const Entry *> deniedRequests;
    for (const auto &candidate : entries_) {
        const Entry &narrower = candidate.second;
        const bool isRequest = narrower.depth == WholeRequestDepth;
        if (isRequest && incriminated(narrower)) {
            deniedRequests.push_back(&narrower);
        }
        if ((!isRequest && !isRequestGroup(narrower.depth)) || narrower.depth <= group.depth
            || narrower.crashes.size() + needed <= group.counted) {
            continue;
        }
        const auto others
            = std::count_if(group.crashes.begin(), group.crashes.end(), [&](const Crash &crash) {
                  return crash.counts && !contains(narrower, crash);
              });
        if (static_cast<unsigned>(others) < needed) {
            return true;
        }
    }
    // Requests that are denied themselves need no denial of their group.
    const auto unexplained
        = std::count_if(group.crashes.begin(), group.crashes.end(), [&](const Crash &crash) {
              return crash.counts
                  && std::none_of(deniedRequests.begin(), deniedRequests.end(),
                                  [&](const Entry *request) { return contains(*request, crash); });
          });
    return static_cast<unsigned>(unexplained) < needed;
}

double CrashHistory::evidence(const Entry &group) const
{
    const double groups = group.depth == RouteGroupDepth ? UsualRoutes : UsualKeys;
    // One observation of each crash of a server that ran requests to a plain service.
    std::vector<const Crash *> crashes;
    std::vector<unsigned> groupsLost;
    for (const auto &[fingerprint, entry] : entries_) {
        if (entry.depth != group.depth) {
            continue;
        }
        for (const Crash &crash : entry.crashes) {
            const auto known
                = std::find_if(crashes.begin(), crashes.end(),
                               [&](const Crash *other) { return sameCrash(*other, crash); });
            if (known == crashes.end()) {
                crashes.push_back(&crash);
                groupsLost.push_back(1);
            } else {
                ++groupsLost[static_cast<std::size_t>(known - crashes.begin())];
            }
        }
    }
    double bits = 0;
    for (std::size_t index = 0; index < crashes.size(); ++index) {
        const auto own
            = std::find_if(group.crashes.begin(), group.crashes.end(),
                           [&](const Crash &crash) { return sameCrash(crash, *crashes[index]); });
        if (own == group.crashes.end()) {
            const bool meanwhile = crashes[index]->crashedAt >= group.firstCountedAt
                && crashes[index]->crashedAt <= group.lastCountedAt;
            bits -= meanwhile ? std::log2(groups) : 0;
        } else if (!own->cleared && !own->explained) {
            bits += std::max(0.0, std::log2(groups / groupsLost[index]));
        }
    }
    return bits;
}

void CrashHistory::noteOthers(Entry &entry,
                              std::span<const std::pair<Instant, std::uint64_t>> crashes)
{
    // Times of one crash differ between the nodes.
    std::unordered_map<std::uint64_t, Instant> lastOfServer;
    std::size_t all = 0;
    for (const auto &[crashedAt, server] : crashes) {
        if (crashedAt < entry.firstCountedAt || crashedAt > entry.lastCountedAt) {
            continue;
        }
        const auto [last, added] = lastOfServer.try_emplace(server, crashedAt);
        if (added || crashedAt - last->second >= SameCrashTime) {
            last->second = crashedAt;
            ++all;
        }
    }
    const auto own = static_cast<std::size_t>(
        std::count_if(entry.crashes.begin(), entry.crashes.end(), [&](const Crash &crash) {
            return !crash.explained && crash.crashedAt >= entry.firstCountedAt
                && crash.crashedAt <= entry.lastCountedAt;
        }));
    entry.required = own * 2 < all ? options_.uncertainCrashesToDeny
        : own < all                ? options_.partCrashesToDeny
                                   : options_.crashesToDeny;
    hasCauses_ = true;
}

std::tuple<bool, unsigned, unsigned, unsigned, RequestFingerprint>
CrashHistory::causeOrder(const Entries::value_type &candidate)
{
    const auto &[fingerprint, entry] = candidate;
    // A group has the crashes of all groups in it, and those of its other requests.
    if (isRequestGroup(entry.depth)) {
        return { true, entry.depth, entry.evidence, entry.counted, fingerprint };
    }
    return { false, entry.counted, entry.depth, 0, fingerprint };
}

void CrashHistory::explain()
{
    for (auto &[fingerprint, entry] : entries_) {
        bool changed = false;
        for (Crash &crash : entry.crashes) {
            changed = changed || crash.explained;
            crash.explained = false;
        }
        if (changed) {
            recount(entry);
        }
    }
    hasCauses_ = false;
    std::unordered_set<RequestFingerprint> causes;
    compareWithOtherCrashes(causes);
    for (;;) {
        const Entries::value_type *cause = nullptr;
        for (const auto &candidate : entries_) {
            const auto &[fingerprint, entry] = candidate;
            if (incriminated(entry) && !causes.contains(fingerprint)
                && (cause == nullptr || causeOrder(candidate) > causeOrder(*cause))) {
                cause = &candidate;
            }
        }
        if (cause == nullptr) {
            return;
        }
        hasCauses_ = true;
        causes.insert(cause->first);
        explainBy(*cause);
        compareWithOtherCrashes(causes);
    }
}

CrashHistory::Entry &CrashHistory::entryFor(RequestFingerprint fingerprint, std::uint8_t depth)
{
    if (entries_.size() >= options_.capacity && !entries_.contains(fingerprint)) {
        const auto least
            = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
                  return std::tie(a.second.counted, a.second.lastCrashAt, a.first)
                      < std::tie(b.second.counted, b.second.lastCrashAt, b.first);
              });
        entries_.erase(least);
    }
    const auto [entry, added] = entries_.try_emplace(fingerprint);
    entry->second.depth = added ? depth : std::max(entry->second.depth, depth);
    return entry->second;
}

void CrashHistory::removeExpired(Instant now)
{
    // Single crashes of an entry don't expire, so that it stays denied while it crashes servers.
    const auto expired = std::erase_if(entries_, [&](const auto &entry) {
        return now - entry.second.lastCrashAt > options_.retention;
    });
    if (expired > 0) {
        std::erase_if(lastLossOfServer_,
                      [&](const auto &server) { return now - server.second > options_.retention; });
        explain();
    }
}

bool CrashHistory::noteCrash(RequestFingerprint fingerprint, std::uint64_t server, Instant sentAt,
                             Instant crashedAt, Instant now, std::uint8_t depth)
{
    removeExpired(now);
    Entry &entry = entryFor(fingerprint, depth);
    const bool added = add(entry,
                           { .reporter = options_.reporter,
                             .number = ++nextNumber_,
                             .server = server,
                             .sentAt = sentAt,
                             .crashedAt = crashedAt });
    if (added) {
        entry.pendingSends = SendsPerChange;
    }
    if (mustExplain(entry)) {
        explain();
    }
    return added;
}

bool CrashHistory::disproved(const Crash &crash, Instant since, Instant until)
{
    // The times of other nodes are late, and other observations may have been joined to this one.
    return since + SameCrashTime <= crash.sentAt && crash.crashedAt + SameCrashTime <= until;
}

unsigned CrashHistory::noteLived(std::uint64_t server, Instant since, Instant until)
{
    const auto lastLoss = lastLossOfServer_.find(server);
    if (lastLoss == lastLossOfServer_.end() || since + SameCrashTime > lastLoss->second) {
        return 0;
    }
    unsigned count = 0;
    std::optional<Instant> left;
    for (auto &[fingerprint, entry] : entries_) {
        bool changed = false;
        for (Crash &crash : entry.crashes) {
            if (crash.server != server || crash.cleared) {
                continue;
            }
            if (disproved(crash, since, until)) {
                crash.cleared = true;
                changed = true;
                ++count;
            } else {
                left = std::max(left.value_or(crash.sentAt), crash.sentAt);
            }
        }
        if (changed) {
            recount(entry);
            entry.pendingSends = SendsPerChange;
            entry.pendingSummaries = SendsPerChange;
        }
    }
    if (left.has_value()) {
        lastLoss->second = *left;
    } else {
        lastLossOfServer_.erase(lastLoss);
    }
    if (count > 0) {
        explain();
    }
    return count;
}

void CrashHistory::noteCompleted(RequestFingerprint fingerprint, Instant now)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    bool changed = false;
    for (Crash &crash : entry.crashes) {
        if (!crash.cleared && crash.crashedAt <= now) {
            crash.cleared = true;
            changed = true;
        }
    }
    if (changed) {
        recount(entry);
        entry.pendingSends = SendsPerChange;
        entry.pendingSummaries = SendsPerChange;
        explain();
    }
}

void CrashHistory::noteGroupRun(RequestFingerprint fingerprint, Instant sentAt, std::uint64_t seed)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    // A request that was sent before the last crash may have been spared by it.
    const bool afterCrashes = sentAt >= entry.lastCrashAt;
    const bool trial = entry.trialAt != Instant() && sentAt == entry.trialAt;
    if (!afterCrashes || (!trial && seed % GroupRunsPerCrash != 0)) {
        return;
    }
    const auto earliest = std::find_if(entry.crashes.begin(), entry.crashes.end(),
                                       [](const Crash &crash) { return crash.counts; });
    if (earliest == entry.crashes.end()) {
        return;
    }
    earliest->cleared = true;
    recount(entry);
    entry.pendingSends = SendsPerChange;
    entry.pendingSummaries = SendsPerChange;
    explain();
}

void CrashHistory::noteTrial(RequestFingerprint fingerprint, Instant now)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end()) {
        found->second.trialAt = now;
    }
}

void CrashHistory::setNodes(std::uint64_t self, std::vector<std::uint64_t> all)
{
    self_ = self;
    nodes_ = std::move(all);
}

Duration CrashHistory::trialDelay(RequestFingerprint fingerprint, const Entry &entry,
                                  Instant now) const
{
    const std::uint64_t own = mix64(fingerprint, self_);
    const auto rank = static_cast<std::uint64_t>(
        std::count_if(nodes_.begin(), nodes_.end(),
                      [&](std::uint64_t node) { return mix64(fingerprint, node) > own; }));
    const std::uint64_t wait = rank - std::min(rank, options_.trialNodes - 1);
    Instant from = entry.lastCrashAt + options_.trialNodeInterval * wait;
    if (entry.trialAt != Instant()) {
        from = std::max(from, entry.trialAt + options_.requestTrialInterval);
    }
    return std::max(from - now, Duration::zero());
}

CrashAssessment CrashHistory::assess(RequestFingerprint fingerprint, const Entry &entry,
                                     Instant now) const
{
    CrashAssessment assessment { .crashes = entry.counted };
    if (!incriminated(entry) && crashedByCopies(entry)) {
        assessment.remaining = trialDelay(fingerprint, entry, now);
        assessment.trial = assessment.remaining == Duration::zero();
        assessment.permission
            = assessment.trial ? CrashPermission::WithoutRetry : CrashPermission::AwaitTrial;
        return assessment;
    }
    if (!incriminated(entry)) {
        if (entry.counted >= options_.crashesToRefuseRetry && !isRequestGroup(entry.depth)) {
            assessment.permission = CrashPermission::WithoutRetry;
        }
        return assessment;
    }
    const bool isPart = entry.depth != WholeRequestDepth;
    const Duration denialTime = isPart && entry.counted <= crashesRequired(entry)
        ? options_.firstPartDenialTime
        : options_.denialTime;
    Instant until = entry.lastCountedAt + denialTime;
    if (isPart) {
        until = std::max(until, entry.trialAt + options_.trialInterval);
        if (entry.lastReporter != options_.reporter) {
            // The node that saw the last crash makes the trials. The others follow one by one in
            // case that it has ended.
            until += options_.trialInterval * (1 + options_.reporter % TrialRanks);
        }
        assessment.trial = until <= now;
    }
    assessment.permission = until > now ? CrashPermission::Denied : CrashPermission::WithoutRetry;
    assessment.remaining = std::max(until - now, Duration::zero());
    return assessment;
}

CrashAssessment CrashHistory::assess(RequestFingerprint fingerprint, Instant now) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? CrashAssessment() : assess(fingerprint, found->second, now);
}

std::vector<DeniedRequest> CrashHistory::merge(std::span<const CrashRecord> records, Instant now)
{
    bool changed = false;
    std::vector<RequestFingerprint> notDenied;
    for (const CrashRecord &record : records) {
        const bool recent = std::any_of(
            record.crashes.begin(), record.crashes.end(), [&](const CrashReport &report) {
                return milliseconds(report.crashAgeMs) <= options_.retention;
            });
        if (!recent) {
            continue;
        }
        if (assess(record.fingerprint, now).permission != CrashPermission::Denied) {
            notDenied.push_back(record.fingerprint);
        }
        Entry &entry = entryFor(record.fingerprint, record.depth);
        for (const CrashReport &report : record.crashes) {
            static_cast<void>(add(entry,
                                  { .reporter = report.reporter,
                                    .number = report.number,
                                    .server = report.server,
                                    .sentAt = now - milliseconds(report.sentAgeMs),
                                    .crashedAt = now - milliseconds(report.crashAgeMs),
                                    .cleared = report.cleared }));
        }
        changed = changed || mustExplain(entry);
    }
    if (changed) {
        explain();
    }
    std::vector<DeniedRequest> denied;
    for (const RequestFingerprint fingerprint : notDenied) {
        const CrashAssessment assessment = assess(fingerprint, now);
        if (assessment.permission == CrashPermission::Denied) {
            denied.push_back({ .fingerprint = fingerprint,
                               .depth = entries_.at(fingerprint).depth,
                               .assessment = assessment });
        }
    }
    return denied;
}

bool CrashHistory::isDue(const Entry &entry, Instant now) const
{
    const Duration since = now - entry.sentAt;
    return (entry.pendingSends > 0 && since >= MinSendInterval)
        || (entry.counted >= CrashesToRepeat && since >= RepeatInterval);
}

std::vector<CrashRecord> CrashHistory::takeRecords(Instant now, std::size_t maxReports)
{
    if (entries_.empty()) {
        return {};
    }
    removeExpired(now);
    std::vector<Entries::value_type *> due;
    for (auto &entry : entries_) {
        if (isDue(entry.second, now)) {
            due.push_back(&entry);
        }
    }
    std::vector<CrashRecord> records
        = takeDue(std::move(due), now, maxReports, &Entry::pendingSends);
    for (const CrashRecord &record : records) {
        entries_.at(record.fingerprint).sentAt = now;
    }
    return records;
}

std::vector<CrashRecord> CrashHistory::takeSummaryRecords(Instant now, std::size_t maxReports)
{
    std::vector<Entries::value_type *> due;
    for (auto &entry : entries_) {
        if (entry.second.pendingSummaries > 0) {
            due.push_back(&entry);
        }
    }
    return takeDue(std::move(due), now, maxReports, &Entry::pendingSummaries);
}

std::vector<CrashRecord> CrashHistory::takeDue(std::vector<Entries::value_type *> due, Instant now,
                                               std::size_t maxReports,
                                               unsigned Entry::*pending) const
{
    // Requests with more crashes first, and of these the one that was sent the longest ago.
    std::sort(due.begin(), due.end(), [](const auto *a, const auto *b) {
        return std::tie(b->second.counted, a->second.sentAt, a->first)
            < std::tie(a->second.counted, b->second.sentAt, b->first);
    });
    std::vector<CrashRecord> records;
    std::size_t left = maxReports;
    for (Entries::value_type *item : due) {
        Entry &entry = item->second;
        CrashRecord record { .fingerprint = item->first,
                             .depth = entry.depth,
                             .crashes = reports(entry, now) };
        if (!records.empty() && record.crashes.size() > left) {
            break;
        }
        left -= std::min(left, record.crashes.size());
        entry.*pending -= entry.*pending > 0 ? 1 : 0;
        records.push_back(std::move(record));
    }
    return records;
}

CrashReport CrashHistory::report(const Crash &crash, Instant now)
{
    return { .reporter = crash.reporter,
             .number = crash.number,
             .server = crash.server,
             .sentAgeMs = wholeMilliseconds(now - crash.sentAt),
             .crashAgeMs = wholeMilliseconds(now - crash.crashedAt),
             .cleared = crash.cleared };
}

std::vector<CrashReport> CrashHistory::reports(const Entry &entry, Instant now)
{
    std::vector<CrashReport> result;
    for (const Crash &crash : entry.crashes) {
        result.push_back(report(crash, now));
    }
    return result;
}

std::vector<CrashRecord> CrashHistory::recordsToKeep(Instant now, std::size_t maxReports) const
{
    struct KeptEntry
    {
        bool several;
        unsigned counted;
        Instant lastCrashAt;
        CrashRecord record;
    };
    std::vector<KeptEntry> kept;
    bool severalCrashes = false;
    for (const auto &[fingerprint, entry] : entries_) {
        KeptEntry item { .several = false,
                         .counted = entry.counted,
                         .lastCrashAt = entry.lastCrashAt,
                         .record
                         = { .fingerprint = fingerprint, .depth = entry.depth, .crashes = {} } };
        // The crashes are in order of time.
        for (auto crash = entry.crashes.rbegin();
             crash != entry.crashes.rend() && item.record.crashes.size() < MaxKeptCrashes;
             ++crash) {
            const bool isEvidence
                = crash->counts || crash->cleared || (crashedByCopies(entry) && !crash->explained);
            if (isEvidence && now - crash->crashedAt <= options_.retention) {
                item.record.crashes.push_back(report(*crash, now));
            }
        }
        item.several = item.record.crashes.size() >= CrashesToKeep;
        severalCrashes = severalCrashes || item.several;
        // Single crashes of parts and groups weaken the evidence against others.
        if (item.several || (entry.depth != WholeRequestDepth && !item.record.crashes.empty())) {
            kept.push_back(std::move(item));
        }
    }
    if (!severalCrashes) {
        return {};
    }
    std::sort(kept.begin(), kept.end(), [](const KeptEntry &a, const KeptEntry &b) {
        return std::tie(b.several, b.counted, b.lastCrashAt, a.record.fingerprint)
            < std::tie(a.several, a.counted, a.lastCrashAt, b.record.fingerprint);
    });
    std::vector<CrashRecord> records;
    for (KeptEntry &item : kept) {
        if (item.record.crashes.size() > maxReports) {
            break;
        }
        maxReports -= item.record.crashes.size();
        records.push_back(std::move(item.record));
    }
    return records;
}

void CrashHistory::resendAll()
{
    for (auto &[fingerprint, entry] : entries_) {
        entry.sentAt = Instant();
        entry.pendingSends = std::max(entry.pendingSends, 1U);
    }
}

} // namespace jacinthroad
