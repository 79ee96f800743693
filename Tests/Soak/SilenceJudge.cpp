#include "SilenceJudge.h"

#include <algorithm>

#include "LinkJudge.h"

namespace jacinthroad {

namespace {

/// The least `timeoutMs` of all routes, less a margin for requests that end at it.
constexpr Duration LongestTime = milliseconds(2700);

bool overlaps(Instant begin, Instant end, Instant otherBegin, Instant otherEnd)
{
    return begin <= otherEnd && otherBegin <= end;
}

bool nodeUndisturbed(const SoakObservations &observations, const CallerRecord &record)
{
    const auto &spans = observations.disturbances.at(record.node);
    return std::none_of(spans.begin(), spans.end(), [&](const TimeSpan &span) {
        return overlaps(span.begin, span.end, record.sentAt, record.endedAt);
    });
}

/// True if the caller got the whole response, or the server's promise that it didn't run.
bool isAnswered(const CallerRecord &record)
{
    return record.outcome == CallerOutcome::Answered && record.status != 502
        && record.status != 504;
}

bool isServed(const CallerRecord &record)
{
    return record.outcome == CallerOutcome::Answered && record.status == 200;
}

/// True if the server's process ended while the caller waited.
bool crashedMeanwhile(const SoakObservations &observations, const ServerRun &run,
                      const CallerRecord &record)
{
    return std::any_of(observations.crashes.begin(), observations.crashes.end(),
                       [&](const ServerCrash &crash) {
                           return crash.boot == run.boot && crash.at >= record.sentAt
                               && crash.at <= record.endedAt;
                       });
}

} // namespace

bool wasSilent(const SoakObservations &observations, const ServerRun &run,
               const CallerRecord &record)
{
    return std::any_of(observations.silences.begin(), observations.silences.end(),
                       [&](const ServerSilence &silence) {
                           return silence.boot == run.boot
                               && overlaps(silence.begin, silence.end, record.sentAt,
                                           record.endedAt);
                       });
}

std::vector<Violation> findSilenceViolations(const SoakObservations &observations)
{
    std::map<std::string, std::vector<const ServerRun *>> runs;
    for (const ServerRun &run : observations.runs) {
        runs[run.requestId].push_back(&run);
    }
    const bool endless
        = std::any_of(observations.runs.begin(), observations.runs.end(),
                      [](const ServerRun &run) { return run.endlessForm.has_value(); });
    std::vector<Violation> violations;
    for (const CallerRecord &record : observations.records) {
        const auto found = runs.find(record.id);
        if (found == runs.end() || isServed(record) || record.deadly
            || observations.spoiled.contains(record.id) || !nodeUndisturbed(observations, record)
            || brokenOffAtNode(observations, record)) {
            continue;
        }
        const auto &own = found->second;
        const bool sound = std::all_of(own.begin(), own.end(), [&](const ServerRun *run) {
            return !run->brokenOff && !crashedMeanwhile(observations, *run, record);
        });
        const bool silent = std::any_of(own.begin(), own.end(), [&](const ServerRun *run) {
            return wasSilent(observations, *run, record);
        });
        const bool finished = std::all_of(own.begin(), own.end(), [&](const ServerRun *run) {
            return run->finished && run->finishedAt <= record.sentAt + LongestTime;
        });
        const auto add = [&](const char *check, const char *circumstance) {
            violations.push_back(
                { .check = check,
                  .text = "request " + record.id + " on " + record.route + " at "
                      + withBuild(record.node, record.build) + " ended with status "
                      + std::to_string(record.status) + " after "
                      + std::to_string(
                              static_cast<int>(toMilliseconds(record.endedAt - record.sentAt)))
                      + " ms, " + circumstance });
        };
        if (sound && silent && !isAnswered(record)
            && record.endedAt - record.sentAt <= LongestTime) {
            add("ended-in-silence", "while its server was silent");
        } else if (sound && finished && endless && !silent && !record.nodeKilled) {
            add("unserved-beside-endless", "after its server had answered in time");
        }
    }
    return violations;
}

} // namespace jacinthroad
