#include "StreamVersionJudge.h"

#include <algorithm>
#include <set>
#include <string>

#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

/// From the rules of the platform: streams with two versions, and take-ups for a judgement.
constexpr unsigned MostJoined = 2;
constexpr unsigned LeastTakeUps = 12;
constexpr long LeastServers = 2;
constexpr const char *TakeUpRoute = "/resumable/";

/// The attempts of a stream, in order, with the software versions of their events.
struct Stream
{
    std::vector<const CallerRecord *> attempts;
    std::set<std::string> versions;
};

bool hasVersions(const CallerRecord &record)
{
    return record.status == 200 && isStream(record.route);
}

std::set<std::string> versionsOf(const CallerRecord &record)
{
    std::set<std::string> versions;
    static_cast<void>(withoutVersions(record.body, versions));
    return versions;
}

std::map<std::string, Stream> streamsOf(const std::vector<CallerRecord> &records)
{
    std::map<std::string, Stream> streams;
    for (const CallerRecord &record : records) {
        Stream &stream = streams[record.stream];
        stream.attempts.push_back(&record);
        if (hasVersions(record)) {
            stream.versions.merge(versionsOf(record));
        }
    }
    return streams;
}

bool wentOn(const CallerRecord &record)
{
    return record.status == 200
        && (record.outcome == CallerOutcome::Answered || !versionsOf(record).empty());
}

bool twoServersServe(const SoakObservations &observations, const std::string &version,
                     Instant moment)
{
    const auto &spans = observations.servingSpans;
    return std::count_if(spans.begin(), spans.end(),
                         [&](const ServingSpan &span) {
                             return span.version == version && span.begin <= moment
                                 && span.end >= moment;
                         })
        >= LeastServers;
}

/// True if the node and the store were undisturbed for the stable window before the request.
bool wasInTouch(const SoakObservations &observations, const CallerRecord &record)
{
    return wasCalm(observations.disturbances.at(record.node), record.sentAt)
        && wasCalm(observations.storeDisturbances, record.sentAt);
}

void countTakeUps(const SoakObservations &observations, const Stream &stream,
                  StreamVersionFigures &figures)
{
    std::set<std::string> versions;
    bool judged = false;
    std::string last;
    bool goesOn = false;
    for (const CallerRecord *record : stream.attempts) {
        const bool inTouch = wasInTouch(observations, *record);
        if (record->resumeAfter == 0) {
            figures.newStreams += inTouch ? 1 : 0;
            figures.newStreamsBegun += inTouch && wentOn(*record) ? 1 : 0;
        } else {
            ++figures.takeUps;
            if (inTouch && !versions.empty()
                && twoServersServe(observations, *versions.begin(), record->sentAt)) {
                judged = true;
                last = record->id;
                goesOn = goesOn || wentOn(*record);
            }
        }
        versions.merge(versionsOf(*record));
    }
    figures.judgedTakeUps += judged ? 1 : 0;
    figures.judgedWentOn += goesOn ? 1 : 0;
    if (judged && !goesOn) {
        figures.refused.push_back(last);
    }
}

std::string describe(const std::string &name, const Stream &stream)
{
    std::string text = "stream " + name + " has events of several software versions:";
    for (const CallerRecord *record : stream.attempts) {
        text += " " + record->id + " at " + withBuild(record->node, record->build) + " from event "
            + std::to_string(record->resumeAfter + 1) + " (status " + std::to_string(record->status)
            + ")";
        for (const std::string &version : versionsOf(*record)) {
            text += " " + version;
        }
        text += ";";
    }
    return text;
}

} // namespace

StreamVersionFigures countStreamVersions(const SoakObservations &observations)
{
    StreamVersionFigures figures;
    for (const auto &[name, stream] : streamsOf(observations.records)) {
        figures.joined += stream.versions.size() > 1 ? 1 : 0;
        if (stream.attempts.front()->route == TakeUpRoute && !stream.attempts.front()->deadly) {
            countTakeUps(observations, stream, figures);
        }
    }
    return figures;
}

std::vector<Violation> findStreamVersionViolations(const SoakObservations &observations)
{
    std::vector<Violation> violations;
    const StreamVersionFigures figures = countStreamVersions(observations);
    if (figures.joined > MostJoined) {
        for (const auto &[name, stream] : streamsOf(observations.records)) {
            if (stream.versions.size() > 1) {
                violations.push_back(
                    { .check = "joined-versions", .text = describe(name, stream) });
            }
        }
    }
    if (figures.judgedTakeUps >= LeastTakeUps
        && 2.0 * figures.judgedWentOn * figures.newStreams
            < 1.0 * figures.newStreamsBegun * figures.judgedTakeUps) {
        violations.push_back({ .check = "take-ups-refused",
                               .text = "only " + std::to_string(figures.judgedWentOn) + " of "
                                   + std::to_string(figures.judgedTakeUps)
                                   + " take-ups went on, while "
                                   + std::to_string(figures.newStreamsBegun) + " of "
                                   + std::to_string(figures.newStreams) + " new streams began",
                               .requests = figures.refused });
    }
    return violations;
}

} // namespace jacinthroad
