#include "SoakJudge.h"

#include <algorithm>
#include <set>

#include "BudgetJudge.h"
#include "BuildJudge.h"
#include "CacheJudge.h"
#include "EndlessForms.h"
#include "LinkJudge.h"
#include "LogStandstills.h"
#include "NewWeights.h"
#include "NodeLogJudge.h"
#include "SilenceJudge.h"
#include "SoakStatementJudge.h"
#include "SoakTraffic.h"
#include "StreamVersionJudge.h"

namespace jacinthroad {

namespace {

/// From the rules of the platform: `stableWindowMs`.
constexpr Duration StableWindow = std::chrono::seconds(3);
/// Crashes after which requests with a deadly part may be sent only so many times.
constexpr std::size_t CrashesToDetect = 5;
constexpr unsigned MostLateArrivals = 3;
/// Least number of sound requests for a judgement on their share.
constexpr unsigned LeastRelated = 20;

/// The runs of one request.
struct RequestRuns
{
    unsigned count = 0;
    bool brokenOff = false;
    /// One sent bytes without end; one failed by its status.
    bool endless = false;
    bool failed = false;
};

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::string describe(const CallerRecord &record, const RequestRuns &runs, const std::string &what)
{
    return "request " + record.id + " on " + record.route + " at "
        + withBuild(record.node, record.build) + ": " + what + " (status "
        + std::to_string(record.status) + ", " + std::to_string(record.body.size())
        + " bytes, runs " + std::to_string(runs.count) + (runs.brokenOff ? ", broken off" : "")
        + ")";
}

/// The body of the only right response to a request, without software versions.
std::string ownBody(const CallerRecord &record)
{
    const std::vector<std::string> pieces
        = soakResponsePieces(record.stream, isStream(record.route));
    std::string body;
    for (std::size_t number = record.resumeAfter; number < pieces.size(); ++number) {
        body += pieces[number];
    }
    return body;
}

/// Returns the broken promises of the response to one request.
std::vector<Violation> checkResponse(const CallerRecord &record, const RequestRuns &runs)
{
    std::vector<Violation> violations;
    const auto add = [&](const char *check, const std::string &what) {
        violations.push_back({ .check = check, .text = describe(record, runs, what) });
    };
    const std::string own = ownBody(record);
    std::set<std::string> versions;
    const std::string received = withoutVersions(record.body, versions);
    const std::string body = runs.endless ? withoutEndlessEvents(received) : received;
    const bool looksComplete = record.outcome == CallerOutcome::Answered;
    if (isSuccess(record.status)) {
        if (runs.count == 0) {
            add("not-own", "answered with success, and never ran");
        }
        if (!record.idMatches || !record.stamped) {
            add("not-own", "success without its own id and a stamp");
        } else if (!own.starts_with(body)) {
            add(isStream(record.route) ? "event-order" : "not-own",
                "body has other bytes than its own: " + record.body.substr(0, 200));
        } else if (looksComplete && body != own) {
            add("incomplete", "looks complete, and is short");
        }
    } else if (record.stamped && !runs.failed) {
        add("not-own", "failure with a server's stamp although no server failed it");
    }
    // BuildJudge checks when keys are in force.
    const bool mayBeTooNew
        = record.newKey && (record.status == 401 || record.status == 403 || record.status == 404);
    if (looksComplete && record.status >= 300 && record.status < 500
        && !promisesNotRun(record.status) && !mayBeTooNew) {
        add("denied", "refused although every configuration allows it");
    }
    if (record.outcome == CallerOutcome::NotHttp) {
        add("not-http", "got bytes that are not HTTP");
    }
    if (record.unsolicited) {
        add("unsolicited", "bytes came on its connection after its response");
    }
    return violations;
}

/// Returns the broken promises on the runs of one request.
std::vector<Violation> checkRuns(const CallerRecord &record, const RequestRuns &runs)
{
    std::vector<Violation> violations;
    const auto add = [&](const char *check, const std::string &what) {
        violations.push_back({ .check = check, .text = describe(record, runs, what) });
    };
    const bool repeatable = isRepeatable(record.route);
    if (record.outcome == CallerOutcome::ConnectionClosed && runs.count > 0 && !runs.brokenOff
        && !record.nodeKilled) {
        add("unanswered", "ran, and its connection closed unanswered");
    }
    if (record.outcome == CallerOutcome::TimedOut) {
        add("unanswered", "neither answered nor closed in time");
    }
    if (!repeatable && runs.count > 1) {
        add("ran-twice", "ran more than once");
    }
    if (record.outcome == CallerOutcome::Answered && promisesNotRun(record.status) && !repeatable
        && runs.count > 0) {
        add("refused-and-ran", "refused as not run, and ran");
    }
    return violations;
}

std::map<std::string, RequestRuns> runsByRequest(const std::vector<ServerRun> &runs)
{
    std::map<std::string, RequestRuns> all;
    for (const ServerRun &run : runs) {
        RequestRuns &request = all[run.requestId];
        ++request.count;
        request.brokenOff = request.brokenOff || run.brokenOff;
        request.endless = request.endless || run.endlessForm.has_value();
        request.failed = request.failed || !isSuccess(static_cast<int>(run.status));
    }
    return all;
}

/// Moments of the crashes by a deadly part, or by a deadly key, in order.
std::vector<Instant> deadlyCrashes(const std::vector<ServerCrash> &crashes,
                                   bool ServerCrash::*cause)
{
    std::vector<Instant> moments;
    for (const ServerCrash &crash : crashes) {
        if (crash.*cause) {
            moments.push_back(crash.at);
        }
    }
    std::sort(moments.begin(), moments.end());
    return moments;
}

/// Counts the sound requests that share the key or first part of requests with a deadly part.
void countRelated(const SoakObservations &observations, Instant from, DeadlyPartFigures &figures)
{
    std::set<std::string> routes;
    std::set<std::string> keys;
    std::set<std::string> firstParts;
    Instant lastDeadly {};
    for (const CallerRecord &record : observations.records) {
        if (record.deadly && !record.firstPart.empty()) {
            routes.insert(record.route);
            keys.insert(record.key);
            firstParts.insert(record.firstPart);
            lastDeadly = std::max(lastDeadly, record.sentAt);
        }
    }
    const auto runs = runsByRequest(observations.runs);
    for (const CallerRecord &record : observations.records) {
        const auto found = runs.find(record.id);
        const bool brokenOff = found != runs.end() && found->second.brokenOff;
        const bool related = keys.contains(record.key) || firstParts.contains(record.firstPart);
        if (!record.deadly && routes.contains(record.route) && related && !brokenOff
            && record.sentAt >= from && record.sentAt <= lastDeadly
            && wasCalm(observations.disturbances.at(record.node), record.sentAt)) {
            ++figures.related;
            const bool served
                = record.outcome == CallerOutcome::Answered && isSuccess(record.status);
            figures.relatedServed += served ? 1 : 0;
            if (!served) {
                figures.relatedUnserved.push_back(record.id);
            }
        }
    }
}

/// True if a server ended a response with its connection while the node was disturbed, and the
/// server's process ended before the node could check that it lives.
bool serverEndedMeanwhile(const SoakObservations &observations, const CallerRecord &record)
{
    constexpr Duration CheckTime = std::chrono::seconds(1);
    for (const ServerRun &run : observations.runs) {
        if (run.requestId != record.id || !run.delimitedByClose || !run.finished) {
            continue;
        }
        for (const TimeSpan &span : observations.disturbances.at(record.node)) {
            const bool overlaps
                = span.begin <= run.finishedAt + CheckTime && span.end >= run.finishedAt;
            const bool ended = std::any_of(observations.crashes.begin(), observations.crashes.end(),
                                           [&](const ServerCrash &crash) {
                                               return crash.boot == run.boot
                                                   && crash.at >= run.finishedAt
                                                   && crash.at <= span.end + CheckTime;
                                           });
            if (overlaps && ended) {
                return true;
            }
        }
    }
    return false;
}

/// True if a stream was cut once its route's time had passed, and its node's log says so.
bool cutAtTimeout(const SoakObservations &observations, const CallerRecord &record)
{
    const auto outcome = observations.nodeLog.outcomes.find(record.id);
    const auto timeout = observations.routeTimeouts.find(record.route);
    return isStream(record.route) && isSuccess(record.status)
        && outcome != observations.nodeLog.outcomes.end() && outcome->second == "cut_at_timeout"
        && timeout != observations.routeTimeouts.end()
        && record.endedAt - record.sentAt >= timeout->second;
}

/// Counts the deadly requests that reached servers after `from`.
void countLateArrivals(const SoakObservations &observations, Instant from, bool ServerRun::*deadly,
                       DeadlyPartFigures &figures)
{
    std::map<std::string, std::string> nodeOf;
    for (const CallerRecord &record : observations.records) {
        nodeOf[record.id] = record.node;
    }
    for (const ServerRun &run : observations.runs) {
        const auto node = nodeOf.find(run.requestId);
        if (run.*deadly && run.startedAt > from && node != nodeOf.end()) {
            ++figures.lateArrivals;
            const bool calm = wasCalm(observations.disturbances.at(node->second), run.startedAt);
            figures.lateArrivalsFromCalmNodes += calm ? 1 : 0;
            if (calm) {
                figures.lateFromCalmNodes.push_back(run.requestId);
            }
        }
    }
}

} // namespace

bool wasCalm(const std::vector<TimeSpan> &disturbances, Instant moment)
{
    return std::none_of(disturbances.begin(), disturbances.end(), [&](const TimeSpan &span) {
        return span.begin <= moment && span.end > moment - StableWindow;
    });
}

bool mayBeCutByStop(const SoakObservations &observations, const CallerRecord &record)
{
    // The server was still at work in the last sixth of the grace period on a request that was sent
    // soon after the beginning of the stop; or the node was paused.
    constexpr Duration EarlyTime = std::chrono::seconds(3);
    std::vector<ServerRun> runs;
    std::copy_if(observations.runs.begin(), observations.runs.end(), std::back_inserter(runs),
                 [&](const ServerRun &run) {
                     return run.requestId == record.id
                         && (record.slow || wasSilent(observations, run, record));
                 });
    const auto &stops = observations.stops.at(record.node);
    return !runs.empty() && std::any_of(stops.begin(), stops.end(), [&](const NodeStop &stop) {
        const Instant lastSixth = stop.at + stop.grace * 5 / 6;
        const bool atWork = std::any_of(runs.begin(), runs.end(), [&](const ServerRun &run) {
            return !run.finished || run.finishedAt >= lastSixth;
        });
        const bool early
            = atWork && record.sentAt <= stop.at + EarlyTime && record.endedAt >= lastSixth;
        return (early || stop.paused) && record.endedAt >= stop.at
            && record.endedAt <= stop.at + stop.grace + std::chrono::seconds(1);
    });
}

DeadlyPartFigures countDeadlyPart(const SoakObservations &observations)
{
    const std::vector<Instant> crashes
        = deadlyCrashes(observations.crashes, &ServerCrash::byDeadlyPart);
    DeadlyPartFigures figures { .crashes = static_cast<unsigned>(crashes.size()) };
    if (crashes.empty()) {
        return figures;
    }
    if (crashes.size() >= CrashesToDetect) {
        countLateArrivals(observations, crashes[CrashesToDetect - 1] + StableWindow,
                          &ServerRun::deadly, figures);
    }
    const std::size_t decisive = std::min(crashes.size(), CrashesToDetect) - 1;
    countRelated(observations, crashes[decisive] + 2 * StableWindow, figures);
    return figures;
}

DeadlyPartFigures countDeadlyKey(const SoakObservations &observations)
{
    const std::vector<Instant> crashes
        = deadlyCrashes(observations.crashes, &ServerCrash::byDeadlyKey);
    DeadlyPartFigures figures { .crashes = static_cast<unsigned>(crashes.size()) };
    if (crashes.size() >= CrashesToDetect) {
        countLateArrivals(observations, crashes[CrashesToDetect - 1] + StableWindow,
                          &ServerRun::deadlyKey, figures);
    }
    return figures;
}

std::vector<Violation> findViolations(const SoakObservations &observations)
{
    std::vector<Violation> violations;
    const auto runs = runsByRequest(observations.runs);
    for (const CallerRecord &record : observations.records) {
        const auto found = runs.find(record.id);
        RequestRuns requestRuns = found == runs.end() ? RequestRuns {} : found->second;
        requestRuns.brokenOff = requestRuns.brokenOff || brokenOffAtNode(observations, record)
            || (record.outcome == CallerOutcome::ConnectionClosed
                && (serverEndedMeanwhile(observations, record) || cutAtTimeout(observations, record)
                    || mayBeCutByStop(observations, record)));
        for (const auto &check : { checkResponse, checkRuns }) {
            const std::vector<Violation> broken = check(record, requestRuns);
            violations.insert(violations.end(), broken.begin(), broken.end());
        }
    }
    const DeadlyPartFigures figures = countDeadlyPart(observations);
    if (figures.lateArrivalsFromCalmNodes > MostLateArrivals) {
        violations.push_back(
            { .check = "deadly-part-sent",
              .text = std::to_string(figures.lateArrivalsFromCalmNodes)
                  + " requests with the deadly part reached servers after the limit",
              .requests = figures.lateFromCalmNodes });
    }
    const DeadlyPartFigures keyFigures = countDeadlyKey(observations);
    if (keyFigures.lateArrivalsFromCalmNodes > MostLateArrivals) {
        violations.push_back({ .check = "deadly-key-sent",
                               .text = std::to_string(keyFigures.lateArrivalsFromCalmNodes)
                                   + " requests of the deadly key reached servers after the limit",
                               .requests = keyFigures.lateFromCalmNodes });
    }
    for (const auto &check :
         { findStatementViolations, findStreamVersionViolations, findSilenceViolations,
           findNodeLogViolations, findBudgetViolations, findLogViolations, findLinkViolations,
           findCacheViolations, findLateConfigurations, findWeightsViolations }) {
        const std::vector<Violation> broken = check(observations);
        violations.insert(violations.end(), broken.begin(), broken.end());
    }
    if (figures.related >= LeastRelated && figures.relatedServed * 2 < figures.related) {
        violations.push_back({ .check = "related-unserved",
                               .text = "only " + std::to_string(figures.relatedServed) + " of "
                                   + std::to_string(figures.related)
                                   + " sound requests with the same key or first part served",
                               .requests = figures.relatedUnserved });
    }
    return violations;
}

} // namespace jacinthroad
