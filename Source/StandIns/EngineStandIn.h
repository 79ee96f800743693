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
#include "StandIns/ComputeJudge.h"

namespace jacinthroad {

/// Settings of an EngineStandIn. Times are in model time, which runs `timeScale` times faster
/// than the clock.
struct EngineStandInOptions
{
    std::string name = "engine";
    std::string model = "model";
    std::string weights = "v1";
    double timeScale = 1;
    std::uint32_t slots = 12;
    double prefillTokensPerMs = 16;
    /// A decoding step lasts this long,
    double stepMs = 20;
    /// this much longer for each sequence that decodes,
    double stepMsPerSequence = 0.5;
    /// and as long as the prefill of up to so many tokens takes beside it.
    std::uint32_t prefillTokensPerStep = 256;
    std::uint32_t blockTokens = 64;
    std::size_t cacheBlocks = 4000;
    /// Delay of the load that it reports, in milliseconds.
    double reportLagMs = 1000;
    /// Judge shared by the engines of a run; may be null.
    ComputeJudge *judge = nullptr;
    /// TCP port; 0 takes a free one.
    std::uint16_t port = 0;
};

/// Prompt text that makes an engine stand-in crash when it runs it.
inline constexpr std::string_view CrashText = "crash-the-engine-that-runs-this";

/// The token of an answer at a position, from 1; the same on every engine, so that a resumed
/// stream can be checked.
[[nodiscard]] std::string standInToken(std::uint64_t answerSeed, std::uint32_t position);

/// The seed of the answer to a prompt.
[[nodiscard]] std::uint64_t standInAnswerSeed(std::string_view prompt);

/// A model engine over real HTTP: continuous batching with chunked prefill, a limited block
/// cache, priorities, resume and cancel, late load reports, and faults on demand.
class EngineStandIn
{
public:
    /// What it counts of itself, for judges.
    struct Counters
    {
        std::uint64_t accepted = 0;
        std::uint64_t completed = 0;
        std::uint64_t tokens = 0;
        std::uint64_t crashes = 0;
        std::uint64_t afterLeaving = 0;
        /// Requests that came with the cache salt of another team.
        std::uint64_t sharedSalts = 0;
    };

    explicit EngineStandIn(EngineStandInOptions options);
    EngineStandIn(const EngineStandIn &) = delete;
    EngineStandIn &operator=(const EngineStandIn &) = delete;
    ~EngineStandIn();

    /// Begins to listen, at the same port as before when it has one; nothing when it listens.
    void start();
    /// Breaks every connection and loses the cache, as a dead process would.
    void crash();

    [[nodiscard]] std::string url() const;
    [[nodiscard]] const std::string &name() const { return options_.name; }

    /// Multiplies every duration from now on.
    void setSlowdown(double factor) { slowdown_ = factor; }
    /// Lets the next streams stop without a word after their first tokens.
    void silenceNextStreams(int count) { silenceNext_ = count; }
    /// Lets the next streams carry another request's id half-way.
    void crossNextStreams(int count) { crossNext_ = count; }
    /// Counts requests that arrive from now on as sent to a leaving server.
    void markLeaving() { leaving_ = true; }

    [[nodiscard]] Counters counters() const;
    /// How many attempts of each request began to run, by the request's id.
    [[nodiscard]] std::map<std::string, int> executions() const;

private:
    struct Sequence;

    void handle(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    void accept(const HttpRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    void run();
    /// Plans one step under the lock and returns its duration in model milliseconds.
    [[nodiscard]] double planStep();
    void finishStep();
    void dropCancelled();
    void admitFirst();
    void emitToken(Sequence &sequence);
    void endSequence(Sequence &sequence);
    [[nodiscard]] LoadReport currentLoad() const;
    [[nodiscard]] HttpHeaders reportHeaders() const;
    void dropCache(RecomputeReason reason);

    EngineStandInOptions options_;
    std::uint16_t port_ = 0;
    std::atomic<double> slowdown_ { 1 };
    std::atomic<int> silenceNext_ { 0 };
    std::atomic<int> crossNext_ { 0 };
    std::atomic<bool> leaving_ { false };

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool crashWanted_ = false;
    std::uint64_t incarnation_ = 0;
    std::uint64_t arrivals_ = 0;
    std::vector<std::shared_ptr<Sequence>> waiting_;
    std::vector<std::shared_ptr<Sequence>> running_;
    BlockCache cache_;
    Counters counters_;
    std::map<std::string, int> executions_;
    std::map<BlockKey, std::string> teamOfSalt_;
    std::deque<std::pair<Instant, LoadReport>> reports_;

    std::mutex serverMutex_;
    std::unique_ptr<HttpServer> server_;
    std::thread thread_;
};

} // namespace jacinthroad
