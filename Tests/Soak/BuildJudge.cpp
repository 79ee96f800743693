#include "BuildJudge.h"

namespace jacinthroad {

namespace {

/// The build of the node that sent a request to servers.
NodeBuild sendingBuild(const SoakObservations &observations, const CallerRecord &record)
{
    const auto helper = observations.nodeLog.helperBuilds.find(record.id);
    return helper != observations.nodeLog.helperBuilds.end() ? helper->second : record.build;
}

} // namespace

std::map<NodeBuild, BuildFigures> countByBuild(const SoakObservations &observations)
{
    std::map<NodeBuild, BuildFigures> figures;
    std::map<std::string, const CallerRecord *> closed;
    for (const CallerRecord &record : observations.records) {
        if (record.build == NodeBuild::Only) {
            continue;
        }
        BuildFigures &own = figures[record.build];
        ++own.requests;
        own.served += record.outcome == CallerOutcome::Answered && record.status == 200 ? 1 : 0;
        if (observations.nodeLog.helperBuilds.contains(record.id)) {
            ++figures[sendingBuild(observations, record)].helped;
        }
        if (record.outcome == CallerOutcome::ConnectionClosed && !record.nodeKilled) {
            closed[record.id] = &record;
        }
    }
    for (const ServerRun &run : observations.runs) {
        const auto record = closed.find(run.requestId);
        if (record != closed.end() && run.startedAt > record->second->endedAt) {
            ++figures[record->second->build].runsAfterEnd;
        }
    }
    return figures;
}

std::vector<Violation> findLateConfigurations(const SoakObservations &observations)
{
    std::vector<Violation> violations;
    for (const CallerRecord &record : observations.records) {
        if (record.newKey && (record.status == 401 || record.status == 403 || record.status == 404)
            && wasCalm(observations.disturbances.at(record.node), record.sentAt)
            && wasCalm(observations.storeDisturbances, record.sentAt)) {
            violations.push_back(
                { .check = "configuration-late",
                  .text = "request " + record.id + " at " + withBuild(record.node, record.build)
                      + " with " + record.key + " refused with " + std::to_string(record.status) });
        }
    }
    return violations;
}

void nameBuilds(const SoakObservations &observations, std::vector<Violation> &violations)
{
    std::map<std::string, const CallerRecord *> records;
    for (const CallerRecord &record : observations.records) {
        records[record.id] = &record;
    }
    for (Violation &violation : violations) {
        std::map<NodeBuild, unsigned> senders;
        for (const std::string &request : violation.requests) {
            const auto record = records.find(request);
            if (record != records.end() && record->second->build != NodeBuild::Only) {
                ++senders[sendingBuild(observations, *record->second)];
            }
        }
        for (const auto &[build, count] : senders) {
            violation.text += "; " + std::to_string(count) + " by nodes of the "
                + std::string(buildName(build)) + " build";
        }
    }
}

} // namespace jacinthroad
