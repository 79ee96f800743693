#include "RunLog.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// A node may receive the end of a connection together with the bytes before it.
constexpr Duration DeliveryTime = milliseconds(100);
/// A node that waits after a response without length for news of its server's end may take so long.
constexpr Duration CloseDelimitedDecisionTime = std::chrono::seconds(1);

} // namespace

std::size_t RunLog::noteStarted(const std::string &requestId, const std::string &boot, bool deadly,
                                bool deadlyKey)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back({ .requestId = requestId,
                      .boot = boot,
                      .startedAt = std::chrono::steady_clock::now(),
                      .finishedAt = {},
                      .deadly = deadly,
                      .deadlyKey = deadlyKey });
    ++runCounts_[requestId];
    return runs_.size() - 1;
}

void RunLog::noteWeights(std::size_t run, int version)
{
    const std::lock_guard lock(mutex_);
    runs_[run].weights = version;
}

void RunLog::noteDelimitedByClose(std::size_t run)
{
    const std::lock_guard lock(mutex_);
    runs_[run].delimitedByClose = true;
}

void RunLog::noteFinished(std::size_t run)
{
    const std::lock_guard lock(mutex_);
    runs_[run].finished = true;
    runs_[run].finishedAt = std::chrono::steady_clock::now();
}

void RunLog::noteBrokenOff(std::size_t run)
{
    const std::lock_guard lock(mutex_);
    runs_[run].brokenOff = true;
}

void RunLog::noteEndless(std::size_t run, std::size_t form, unsigned status)
{
    const std::lock_guard lock(mutex_);
    runs_[run].endlessForm = form;
    runs_[run].status = status;
}

void RunLog::noteArrival(const ServerArrival &arrival)
{
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(arrival);
}

std::vector<ServerArrival> RunLog::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

void RunLog::noteCrash(const std::string &boot, bool byDeadlyPart, bool byDeadlyKey)
{
    noteServingEnded(boot);
    const std::lock_guard lock(mutex_);
    const Instant now = std::chrono::steady_clock::now();
    crashes_.push_back(
        { .boot = boot, .at = now, .byDeadlyPart = byDeadlyPart, .byDeadlyKey = byDeadlyKey });
    breakRuns(boot, now);
}

void RunLog::noteProcessEnded(const std::string &boot)
{
    const std::lock_guard lock(mutex_);
    breakRuns(boot, std::chrono::steady_clock::now());
}

void RunLog::breakRuns(const std::string &boot, Instant now)
{
    for (ServerRun &run : runs_) {
        const Duration margin = run.delimitedByClose ? CloseDelimitedDecisionTime : DeliveryTime;
        if (run.boot == boot && (!run.finished || now < run.finishedAt + margin)) {
            run.brokenOff = true;
        }
    }
}

unsigned RunLog::runCount(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runCounts_.find(requestId);
    return found == runCounts_.end() ? 0 : found->second;
}

std::vector<ServerRun> RunLog::runs() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<ServerCrash> RunLog::crashes() const
{
    const std::lock_guard lock(mutex_);
    return crashes_;
}

void RunLog::noteServing(const std::string &boot, const std::string &version)
{
    const std::lock_guard lock(mutex_);
    servingSpans_.push_back(
        { .boot = boot, .version = version, .begin = std::chrono::steady_clock::now() });
}

void RunLog::noteServingEnded(const std::string &boot)
{
    const Instant now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    for (ServingSpan &span : servingSpans_) {
        if (span.boot == boot) {
            span.end = std::min(span.end, now);
        }
    }
}

std::vector<ServingSpan> RunLog::servingSpans() const
{
    const std::lock_guard lock(mutex_);
    return servingSpans_;
}

void RunLog::noteSpoiled(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    spoiled_.insert(requestId);
}

std::set<std::string> RunLog::spoiled() const
{
    const std::lock_guard lock(mutex_);
    return spoiled_;
}

void RunLog::noteSilence(const ServerSilence &silence)
{
    const std::lock_guard lock(mutex_);
    silences_.push_back(silence);
}

std::vector<ServerSilence> RunLog::silences() const
{
    const std::lock_guard lock(mutex_);
    return silences_;
}

void RunLog::noteCacheUse(const CacheUse &use)
{
    const std::lock_guard lock(mutex_);
    cacheUses_.push_back(use);
}

void RunLog::noteCacheRead(const CacheRead &read)
{
    const std::lock_guard lock(mutex_);
    cacheReads_.push_back(read);
}

std::vector<CacheUse> RunLog::cacheUses() const
{
    const std::lock_guard lock(mutex_);
    return cacheUses_;
}

std::vector<CacheRead> RunLog::cacheReads() const
{
    const std::lock_guard lock(mutex_);
    return cacheReads_;
}

} // namespace jacinthroad
