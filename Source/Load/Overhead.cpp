#include "Load/Overhead.h"

#include <array>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <vector>

#include "Http/HttpClient.h"
#include "Load/LocalCluster.h"

namespace jacinthroad {

namespace {

constexpr double TimeScale = 400;
constexpr int SequentialCalls = 400;
constexpr int ConcurrentCalls = 24;
constexpr int OutputTokens = 50;
constexpr Duration LoadDuration = std::chrono::seconds(3);
constexpr std::size_t PromptBytes = 4000;
constexpr std::size_t MemoryBytes = 256 * 1024 * 1024;

/// URL, headers and body of the calls on one path.
struct CallTarget
{
    std::string url;
    HttpHeaders headers;
    std::string body;
};

std::string bodyOf(const std::string &extra)
{
    return R"({"model":"orientador","stream":true,"metadata":{"output_tokens":")"
        + std::to_string(OutputTokens) + R"("},)" + extra
        + R"("messages":[{"role":"user","content":")" + std::string(PromptBytes, 'p') + R"("}]})";
}

HttpCall callOf(const CallTarget &target)
{
    return { .method = "POST", .url = target.url, .headers = target.headers, .body = target.body };
}

double singleCallMs(HttpClient &client, const CallTarget &target)
{
    const Instant began = std::chrono::steady_clock::now();
    static_cast<void>(performCall(client, callOf(target)));
    return toMilliseconds(std::chrono::steady_clock::now() - began);
}

/// Keeps a constant number of concurrent calls open for LoadDuration and counts those that
/// complete within it.
class ConcurrentLoad
{
public:
    ConcurrentLoad(HttpClient &client, const CallTarget &target)
        : client_(client)
        , target_(target)
        , endsAt_(std::chrono::steady_clock::now() + LoadDuration)
    { }

    /// Returns the completed calls per second.
    double run()
    {
        for (int index = 0; index < ConcurrentCalls; ++index) {
            send();
        }
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return open_ == 0; });
        return completed_ / (toMilliseconds(LoadDuration) / 1000);
    }

private:
    void send()
    {
        {
            const std::scoped_lock lock(mutex_);
            ++open_;
        }
        client_.start(callOf(target_),
                      { .onEnd = [this](CallOutcome outcome) { onEnd(outcome); } });
    }

    void onEnd(CallOutcome outcome)
    {
        const bool withinTime = std::chrono::steady_clock::now() < endsAt_;
        if (withinTime) {
            send();
        }
        const std::scoped_lock lock(mutex_);
        --open_;
        completed_ += withinTime && outcome == CallOutcome::Completed ? 1 : 0;
        changed_.notify_all();
    }

    HttpClient &client_;
    const CallTarget &target_;
    Instant endsAt_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int open_ = 0;
    double completed_ = 0;
};

} // namespace

Result<OverheadReport> measureOverhead()
{
    Profile profile = *findProfile("lienzo-andino");
    profile.serviceInstances = 1;
    LocalCluster cluster({ .profile = profile,
                           .nodes = 1,
                           .engines = 1,
                           .timeScale = TimeScale,
                           .firstTokenTargetMs = 1e6 });
    if (!cluster.start()) {
        return makeError(ErrorKind::NotReady, "the node of the local cluster did not become ready");
    }
    const std::string path = "/v1/chat/completions";
    const CallTarget direct { .url = cluster.engines()[0]->url() + path,
                              .body = bodyOf(R"("request_id":"direct.1","cache_salt":"1",)") };
    const CallTarget throughNode { .url = cluster.callerUrl(0) + path,
                                   .headers
                                   = { { "Authorization", "Bearer " + LocalCluster::teamKey(0) } },
                                   .body = bodyOf("") };
    HttpClient client(std::make_shared<MemoryBudget>(MemoryBytes));
    std::vector<double> directMs;
    std::vector<double> throughNodeMs;
    for (int index = 0; index < SequentialCalls; ++index) {
        // Interleaved so that both paths see the same machine load.
        directMs.push_back(singleCallMs(client, direct));
        throughNodeMs.push_back(singleCallMs(client, throughNode));
    }
    OverheadReport report;
    report.direct.latency = quantilesOf(directMs);
    report.throughNode.latency = quantilesOf(throughNodeMs);
    report.direct.requestsPerSecond = ConcurrentLoad(client, direct).run();
    report.throughNode.requestsPerSecond = ConcurrentLoad(client, throughNode).run();
    report.direct.tokensPerSecond = report.direct.requestsPerSecond * OutputTokens;
    report.throughNode.tokensPerSecond = report.throughNode.requestsPerSecond * OutputTokens;
    return report;
}

std::string overheadText(const OverheadReport &report)
{
    std::array<char, 512> text {};
    const auto &direct = report.direct;
    const auto &node = report.throughNode;
    const int length = std::snprintf(
        text.data(), text.size(),
        "%-22s %10s %10s %12s %12s\n%-22s %10.2f %10.2f %12.0f %12.0f\n%-22s %10.2f %10.2f %12.0f "
        "%12.0f\n%-22s %10.2f %10.2f\n",
        "", "p50, ms", "p99, ms", "requests/s", "tokens/s", "engine directly", direct.latency.p50,
        direct.latency.p99, direct.requestsPerSecond, direct.tokensPerSecond, "through one node",
        node.latency.p50, node.latency.p99, node.requestsPerSecond, node.tokensPerSecond, "added",
        node.latency.p50 - direct.latency.p50, node.latency.p99 - direct.latency.p99);
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace jacinthroad
