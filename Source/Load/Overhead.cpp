#include "Load/Overhead.h"

#include <array>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <vector>

#include "Http/HttpClient.h"
#include "Load/Bench.h"

namespace jacinthroad {

namespace {

constexpr double TimeScale = 400;
constexpr int SingleCalls = 400;
constexpr int ConcurrentCalls = 24;
constexpr int TokensOfAnswer = 50;
constexpr Duration LoadTime = std::chrono::seconds(3);
constexpr std::size_t PromptBytes = 4000;

/// One way of calling.
struct Way
{
    std::string url;
    HttpHeaders headers;
    std::string body;
};

std::string bodyOf(const std::string &extra)
{
    return R"({"model":"orientador","stream":true,"metadata":{"output_tokens":")"
        + std::to_string(TokensOfAnswer) + R"("},)" + extra
        + R"("messages":[{"role":"user","content":")" + std::string(PromptBytes, 'p') + R"("}]})";
}

HttpCall callOf(const Way &way)
{
    return { .method = "POST", .url = way.url, .headers = way.headers, .body = way.body };
}

double singleCallMs(HttpClient &client, const Way &way)
{
    const Instant began = std::chrono::steady_clock::now();
    static_cast<void>(performCall(client, callOf(way)));
    return toMilliseconds(std::chrono::steady_clock::now() - began);
}

/// Keeps so many calls under way for a while and returns how many ended in a second.
class Storm
{
public:
    Storm(HttpClient &client, const Way &way)
        : client_(client)
        , way_(way)
        , ends_(std::chrono::steady_clock::now() + LoadTime)
    { }

    double run()
    {
        for (int index = 0; index < ConcurrentCalls; ++index) {
            send();
        }
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return open_ == 0; });
        return ended_ / (toMilliseconds(LoadTime) / 1000);
    }

private:
    void send()
    {
        {
            const std::scoped_lock lock(mutex_);
            ++open_;
        }
        client_.start(callOf(way_), { .onEnd = [this](CallOutcome outcome) { onEnd(outcome); } });
    }

    void onEnd(CallOutcome outcome)
    {
        const bool more = std::chrono::steady_clock::now() < ends_;
        if (more) {
            send();
        }
        const std::scoped_lock lock(mutex_);
        --open_;
        ended_ += more && outcome == CallOutcome::Completed ? 1 : 0;
        changed_.notify_all();
    }

    HttpClient &client_;
    const Way &way_;
    Instant ends_;
    std::mutex mutex_;
    std::condition_variable changed_;
    int open_ = 0;
    double ended_ = 0;
};

} // namespace

Result<OverheadReport> measureOverhead()
{
    Profile profile = *findProfile("lienzo-andino");
    profile.serviceInstances = 1;
    Bench bench({ .profile = profile,
                  .nodes = 1,
                  .engines = 1,
                  .timeScale = TimeScale,
                  .firstTokenTargetMs = 1e6 });
    if (!bench.start()) {
        return makeError(ErrorKind::NotReady, "the node of the bench did not become ready");
    }
    const std::string path = "/v1/chat/completions";
    const Way direct { .url = bench.engines()[0]->url() + path,
                       .body = bodyOf(R"("request_id":"direct.1","cache_salt":"1",)") };
    const Way throughNode { .url = bench.callerUrl(0) + path,
                            .headers = { { "Authorization", "Bearer " + Bench::teamKey(0) } },
                            .body = bodyOf("") };
    HttpClient client;
    std::vector<double> directMs;
    std::vector<double> throughNodeMs;
    for (int index = 0; index < SingleCalls; ++index) {
        // In turn, so that both see the same moments of the machine.
        directMs.push_back(singleCallMs(client, direct));
        throughNodeMs.push_back(singleCallMs(client, throughNode));
    }
    OverheadReport report;
    report.direct.latency = quantilesOf(directMs);
    report.throughNode.latency = quantilesOf(throughNodeMs);
    report.direct.requestsPerSecond = Storm(client, direct).run();
    report.throughNode.requestsPerSecond = Storm(client, throughNode).run();
    report.direct.tokensPerSecond = report.direct.requestsPerSecond * TokensOfAnswer;
    report.throughNode.tokensPerSecond = report.throughNode.requestsPerSecond * TokensOfAnswer;
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
