#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Core/Time.h"
#include "Http/HttpServer.h"
#include "Routing/ServerTable.h"
#include "StandIns/BlockCache.h"
#include "StandIns/ComputeTracker.h"

namespace jacinthroad {

/// Settings of an EngineStandIn. Durations are in model time, which runs `timeScale` times faster
/// than real time.
struct EngineStandInOptions
{
    std::string name = "engine";
    std::string model = "model";
    std::string weights = "v1";
    double timeScale = 1;
    /// Sequences that run at the same time.
    std::uint32_t slots = 12;
    double prefillTokensPerMs = 16;
    /// Base duration of a decoding step.
    double stepMs = 20;
    /// Added to a step for each decoding sequence.
    double stepMsPerSequence = 0.5;
    /// Prompt tokens that a step prefills at most; their prefill time is added to the step.
    std::uint32_t prefillTokensPerStep = 256;
    std::uint32_t blockTokens = 64;
    std::size_t cacheBlocks = 4000;
    /// Age of the load that the engine reports, in milliseconds.
    double reportLagMs = 1000;
    /// Shared by the engines of a run; may be null.
    ComputeTracker *computeTracker = nullptr;
    /// TCP port; 0 picks a free one.
    std::uint16_t port = 0;
};

/// A prompt with this text crashes the engine stand-in after its prefill.
inline constexpr std::string_view CrashTriggerText = "crash-the-engine-that-runs-this";

/// The token at a position of a response, counted from 1. It is the same on every engine, so that
/// tests can check a resumed stream.
[[nodiscard]] std::string standInToken(std::uint64_t responseSeed, std::uint32_t position);

/// The seed of the response to a prompt, for `standInToken`.
[[nodiscard]] std::uint64_t standInResponseSeed(std::string_view prompt);

/// Simulates a model engine behind a real HTTP server: continuous batching with chunked prefill, a
/// bounded block cache, priorities, resumption and cancellation, delayed load reports, and fault
/// injection.
class EngineStandIn
{
public:
    /// Counts that tests and experiments compare with the router's behavior.
    struct Counters
    {
        std::uint64_t accepted = 0;
        std::uint64_t completed = 0;
        std::uint64_t tokens = 0;
        std::uint64_t crashes = 0;
        /// Requests that arrived after `markLeaving`.
        std::uint64_t afterLeaving = 0;
        /// Requests whose cache salt was first used by another team.
        std::uint64_t sharedSalts = 0;
    };

    explicit EngineStandIn(EngineStandInOptions options);
    EngineStandIn(const EngineStandIn &) = delete;
    EngineStandIn &operator=(const EngineStandIn &) = delete;
    ~EngineStandIn();

    /// Starts the HTTP server, on the previous port after a crash. Does nothing if it is running.
    void start();
    /// Closes every connection, stops listening and clears the cache, as a process crash would.
    void crash();

    [[nodiscard]] std::string url() const;
    [[nodiscard]] const std::string &name() const { return options_.name; }

    /// Multiplies the duration of every later step by `factor`.
    void setSlowdown(double factor) { slowdown_ = factor; }
    /// Makes the next `count` streams stop sending after their first tokens, without closing the
    /// connection.
    void stallNextStreams(int count) { stallNext_ = count; }
    /// Makes the next `count` streams send one token under another request's id.
    void crossNextStreams(int count) { crossNext_ = count; }
    /// Counts later requests in `Counters::afterLeaving`.
    void markLeaving() { leaving_ = true; }

    [[nodiscard]] Counters counters() const;
    /// The number of attempts that the engine accepted for each request, by request id.
    [[nodiscard]] std::map<std::string, int> executions() const;

private:
    struct Sequence;

    void handle(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    void handleCompletion(const HttpRequest &request,
                          const std::shared_ptr<ResponseWriter> &writer);
    void run();
    /// Plans one step under the lock and returns its duration in model milliseconds.
    [[nodiscard]] double planStep();
    void finishStep();
    /// Removes cancelled sequences and sorts the waiting ones by priority and arrival.
    void removeCancelled();
    void admitNextWaiting();
    void sendToken(Sequence &sequence);
    void completeSequence(Sequence &sequence);
    [[nodiscard]] LoadReport measureLoad() const;
    [[nodiscard]] HttpHeaders reportHeaders() const;
    void clearCache(RecomputeReason reason);

    EngineStandInOptions options_;
    std::uint16_t port_ = 0;
    std::atomic<double> slowdown_ { 1 };
    std::atomic<int> stallNext_ { 0 };
    std::atomic<int> crossNext_ { 0 };
    std::atomic<bool> leaving_ { false };

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool crashRequested_ = false;
    std::uint64_t incarnation_ = 0;
    std::uint64_t lastArrival_ = 0;
    std::vector<std::shared_ptr<Sequence>> waiting_;
    std::vector<std::shared_ptr<Sequence>> running_;
    BlockCache cache_;
    Counters counters_;
    std::map<std::string, int> executions_;
    /// The team that first used a cache salt.
    std::map<BlockKey, std::string> teamBySalt_;
    /// Recent loads, oldest first; the first one is reported.
    std::deque<std::pair<Instant, LoadReport>> reports_;

    std::mutex serverMutex_;
    std::unique_ptr<HttpServer> server_;
    std::thread thread_;
};

} // namespace jacinthroad
