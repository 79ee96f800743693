#include "SoakJudge.h"

namespace jacinthroad {

namespace {

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string violation(const CallerRecord &record, const std::string &what)
{
    return "request " + record.id + " at node " + record.node + ": " + what;
}

} // namespace

void RunCounter::noteStarted(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    ++runs_[id];
}

unsigned RunCounter::runs(const std::string &id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

std::vector<std::string> findViolations(const std::vector<CallerRecord> &records,
                                        const RunCounter &runs)
{
    std::vector<std::string> violations;
    for (const CallerRecord &record : records) {
        const unsigned count = runs.runs(record.id);
        if (record.outcome == CallerOutcome::ConnectionClosed && count > 0 && !record.nodeKilled) {
            violations.push_back(violation(record, "ran, and its connection closed unanswered"));
        }
        if (record.outcome == CallerOutcome::TimedOut) {
            violations.push_back(violation(record, "neither answered nor closed in time"));
        }
        if (!record.repeatable && count > 1) {
            violations.push_back(violation(record, "ran more than once"));
        }
        if (record.outcome == CallerOutcome::Answered) {
            if (promisesNotRun(record.status) && !record.repeatable && count > 0) {
                violations.push_back(violation(record, "refused as not run, and ran"));
            }
            if (record.status == 200 && !record.matches) {
                violations.push_back(violation(record, "got a response that is not its own"));
            }
        }
    }
    return violations;
}

} // namespace jacinthroad
