#include "NodeLogJudge.h"

#include <algorithm>
#include <array>
#include <set>

#include <json/value.h>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr std::array<std::string_view, 6> FailureEvents {
    "process_failed", "handler_failed",  "session_failed",
    "task_failed",    "request_dropped", "request_ended_twice"
};

/// True if the node was paused while it stopped, so that its grace period may have passed.
bool wasPausedInStop(const SoakObservations &observations, const CallerRecord &record)
{
    const auto &stops = observations.stops.at(record.node);
    return std::any_of(stops.begin(), stops.end(), [&](const NodeStop &stop) {
        return stop.paused && record.endedAt >= stop.at
            && record.endedAt <= stop.at + stop.grace + std::chrono::seconds(1);
    });
}

} // namespace

void readNodeLog(std::string_view node, const std::vector<std::string> &lines, NodeLog &log)
{
    NodeBuild build = NodeBuild::Only;
    for (const std::string &text : lines) {
        const auto line = parseJson(text);
        if (!line.has_value() || !line->isObject()) {
            continue;
        }
        const std::string event = (*line)["event"].asString();
        if (event == StartEvent) {
            build = (*line)["build"] == "earlier" ? NodeBuild::Earlier : NodeBuild::New;
        } else if (event == "request") {
            const std::string id = (*line)["request_id"].asString();
            const std::string forwardedTo = (*line)["forwarded_to"].asString();
            // A node to which a request was forwarded logs it too.
            if ((*line)["forwarded_by"].asString().empty()) {
                log.outcomes[id] = (*line)["outcome"].asString();
            } else {
                log.helperBuilds[id] = build;
            }
            if (!forwardedTo.empty()) {
                log.forwardedTo[id] = forwardedTo;
            }
            if ((*line)["ended_by"] == "node") {
                log.cutByNode.push_back(withBuild(node, build) + ": " + text);
            } else if ((*line)["ended_by"] == "size") {
                log.cutBySize[id] = withBuild(node, build) + ": " + text;
            }
        } else if (event == "request_cut" && (*line)["forwarded_by"].asString().empty()) {
            log.outcomes[(*line)["request_id"].asString()] = event;
        } else if (event == "connection_closed" && (*line)["reason"] == "responded"
                   && (*line)["requests"].asInt() > 0
                   && (*line)["discarded_bytes"].asInt64() + (*line)["read_bytes"].asInt64() > 0) {
            log.dropped[std::string(node)].push_back(withBuild(node, build) + ": " + text);
        } else if (std::find(FailureEvents.begin(), FailureEvents.end(), event)
                   != FailureEvents.end()) {
            log.failures.push_back(withBuild(node, build) + ": " + text);
        }
    }
}

std::vector<Violation> findNodeLogViolations(const SoakObservations &observations)
{
    std::vector<Violation> violations;
    for (const std::string &failure : observations.nodeLog.failures) {
        violations.push_back({ .check = "node-failure", .text = failure });
    }
    for (const std::string &cut : observations.nodeLog.cutByNode) {
        violations.push_back({ .check = "cut-by-node", .text = cut });
    }
    // Callers send nothing behind a response that announces the end of its connection.
    for (const auto &[node, lines] : observations.nodeLog.dropped) {
        // But for those whose request doesn't end; such a line doesn't name its request.
        const auto endless = observations.endlessRequests.find(node);
        const std::size_t allowed
            = endless == observations.endlessRequests.end() ? 0 : endless->second;
        for (std::size_t number = allowed; number < lines.size(); ++number) {
            violations.push_back({ .check = "read-dropped", .text = lines[number] });
        }
    }
    std::set<std::string> run;
    std::set<std::string> brokenOff;
    for (const ServerRun &each : observations.runs) {
        run.insert(each.requestId);
        if (each.brokenOff) {
            brokenOff.insert(each.requestId);
        }
    }
    for (const auto &[id, text] : observations.nodeLog.cutBySize) {
        if (!brokenOff.contains(id)) {
            violations.push_back({ .check = "cut-by-node", .text = text });
        }
    }
    for (const CallerRecord &record : observations.records) {
        const auto found = observations.nodeLog.outcomes.find(record.id);
        // Requests that ran are judged with their runs.
        if (record.outcome == CallerOutcome::ConnectionClosed && !record.nodeKilled
            && found != observations.nodeLog.outcomes.end() && !run.contains(record.id)
            && !wasPausedInStop(observations, record)) {
            violations.push_back({ .check = "read-unanswered",
                                   .text = "request " + record.id + " on " + record.route + " at "
                                       + withBuild(record.node, record.build)
                                       + ": read, not run, and its connection closed (outcome "
                                       + found->second + ")" });
        }
    }
    return violations;
}

} // namespace jacinthroad
