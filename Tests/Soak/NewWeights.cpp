#include "NewWeights.h"

#include <map>
#include <thread>

#include <json/value.h>

#include "LinkJudge.h"
#include "SoakTraffic.h"

namespace jacinthroad {

namespace {

constexpr Duration SetAfter = milliseconds(1000);
/// Ends of all nodes after the new weights were set; the last leaves time to judge calm nodes.
constexpr unsigned Restarts = 3;
constexpr int LongestFirstDelayMs = 600;
constexpr Duration RestartPeriod = milliseconds(2700);

} // namespace

std::vector<CommonRestart> restartsBesideNewWeights(Instant begin, std::mt19937_64 &random)
{
    std::vector<CommonRestart> restarts;
    Instant at = begin + SetAfter + milliseconds(between(random, 10, LongestFirstDelayMs));
    for (unsigned number = 0; number < Restarts; ++number) {
        restarts.push_back({ .at = at, .killsAll = true });
        at += RestartPeriod;
    }
    return restarts;
}

void setNewWeights(StoreStandIn &store, Instant begin, FaultCounts &counts)
{
    std::this_thread::sleep_until(begin + SetAfter);
    Json::Value spec;
    spec["model"] = "m";
    spec["version"] = 2;
    store.put("versions", "m", spec);
    counts.weightsSet.push_back({ .version = 2, .at = std::chrono::steady_clock::now() });
}

std::vector<Violation> findWeightsViolations(const SoakObservations &observations)
{
    std::map<std::string, const CallerRecord *> records;
    for (const CallerRecord &record : observations.records) {
        records[record.id] = &record;
    }
    std::vector<Violation> violations;
    for (const ServerRun &run : observations.runs) {
        const auto record = records.find(run.requestId);
        if (record == records.end() || run.weights == 0) {
            continue;
        }
        const std::string node = sendingNode(observations, *record->second);
        for (const WeightsSet &set : observations.weightsSet) {
            if (run.weights < set.version && run.startedAt > set.at + SoakWeightsLimit
                && wasCalm(observations.disturbances.at(node), run.startedAt)) {
                violations.push_back(
                    { .check = "replaced-weights",
                      .text = "request " + run.requestId + " from " + node + " began on version "
                          + std::to_string(run.weights) + ", "
                          + std::to_string(wholeMilliseconds(run.startedAt - set.at))
                          + " ms after version " + std::to_string(set.version) + " was set" });
            }
        }
    }
    return violations;
}

} // namespace jacinthroad
