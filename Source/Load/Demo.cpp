#include "Load/Demo.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include <json/value.h>

#include "Core/Json.h"
#include "Load/Bench.h"
#include "Load/LoadClient.h"
#include "Load/PropertyRun.h"

namespace jacinthroad {

namespace {

constexpr double TimeScale = 2;
constexpr std::size_t Nodes = 4;
constexpr std::size_t Engines = 6;
constexpr double RequestsPerSecond = 4;
constexpr double CrestFactor = 2;
constexpr double BookingShare = 0.15;
constexpr std::uint32_t MostOutputTokens = 200;
constexpr Duration PatchLimit = std::chrono::seconds(4);
constexpr Duration RestartLimit = std::chrono::seconds(1);
constexpr Duration LeavingLimit = std::chrono::seconds(3);
constexpr Duration AnswerPatience = std::chrono::seconds(30);

Profile demoProfile(std::string_view kind)
{
    Profile profile = *findProfile(kind);
    profile.model = "demo-model";
    profile.service = "bookings";
    profile.zones = { "zone-a", "zone-b" };
    profile.engines = Engines;
    profile.serviceInstances = 1;
    profile.ratedPerSecond = RequestsPerSecond;
    profile.crestFactor = CrestFactor;
    profile.serviceShare = BookingShare;
    // A planned stop waits for the longest answer, and the demonstration is short.
    for (JobClass &job : profile.jobs) {
        job.leastOutput = std::min(job.leastOutput, MostOutputTokens / 2);
        job.mostOutput = std::min(job.mostOutput, MostOutputTokens);
    }
    return profile;
}

/// Something that happens at a share of the run.
struct Happening
{
    double at = 0;
    std::string text;
    std::function<void()> act;
};

class DemoRun
{
public:
    DemoRun(DemoOptions options, std::function<void(const std::string &)> progress)
        : options_(options)
        , progress_(std::move(progress))
        , bench_({ .profile = demoProfile("lienzo-andino"),
                   .nodes = Nodes,
                   .engines = Engines,
                   .timeScale = TimeScale })
        , client_(TimeScale)
    { }

    DemoResult run()
    {
        if (!bench_.start()) {
            return { .promises = { { "the nodes start", false, "a node did not become ready" } },
                     .summary = "nothing ran" };
        }
        progress_("2 zones, 4 nodes, 6 engines, 1 plain service and the platform run in this "
                  "process");
        planHappenings();
        drive();
        allAnswered_ = client_.waitForAll(AnswerPatience);
        return judge();
    }

private:
    void planHappenings()
    {
        happenings_ = {
            { 0.10, "two streams carry another request's id half-way",
              [this] { bench_.engines()[2]->crossNextStreams(2); } },
            { 0.15, "an engine crashes and comes back empty",
              [this] {
                  bench_.engines()[1]->crash();
                  bench_.engines()[1]->start();
              } },
            { 0.22, "two streams of an engine fall silent",
              [this] { bench_.engines()[3]->stallNextStreams(2); } },
            { 0.28, "an operator patches a team's weight", [this] { patch(2.0); } },
            { 0.32, "a node is stopped as planned", [this] { beginStop(); } },
            { 0.45, "the platform loses the answers to its next 6 writes",
              [this] { bench_.platform().dropNextResponses(6); } },
            { 0.50, "the service loses the answers to its next 2 bookings",
              [this] { bench_.services()[0]->dropNextResponses(2); } },
            { 0.55, "the platform goes away", [this] { bench_.platform().setOutage(true); } },
            { 0.60, "the stopped node starts again while the platform is away",
              [this] { restart(); } },
            { 0.70, "the platform comes back", [this] { bench_.platform().setOutage(false); } },
            { 0.78, "the platform lists an engine as leaving", [this] { leave(); } },
            { 0.85, "an operator patches again", [this] { patch(3.0); } },
        };
    }

    void patch(double weight)
    {
        Json::Value request;
        request["jsonrpc"] = "2.0";
        request["id"] = 1;
        request["method"] = "config.patch";
        const std::uint64_t base = bench_.node(0)->statistics().configurationVersion;
        request["params"]["base"] = Json::UInt64(base);
        request["params"]["patch"]["teams"][teamName(0)]["weight"] = weight;
        request["params"]["author"] = "demo";
        const auto answer
            = performCall(operatorClient_,
                          { .method = "POST",
                            .url = bench_.operatorUrl(0) + "/rpc",
                            .headers = { { "Authorization", "Bearer " + Bench::operatorKey() } },
                            .body = writeJson(request) });
        const auto body = parseJson(answer.response.body);
        if (body.has_value() && body->isObject() && (*body)["result"].isObject()) {
            accepted_ = (*body)["result"]["version"].asUInt64();
            const Instant began = std::chrono::steady_clock::now();
            while (!inForceEverywhere() && std::chrono::steady_clock::now() < began + PatchLimit) {
                std::this_thread::sleep_for(milliseconds(2));
            }
            slowestPatch_ = std::max(slowestPatch_, std::chrono::steady_clock::now() - began);
            ++patches_;
        }
    }

    bool inForceEverywhere()
    {
        for (std::size_t index = 0; index < bench_.nodeCount(); ++index) {
            Node *node = bench_.node(index);
            if (node != nullptr && node->statistics().configurationVersion < accepted_) {
                return false;
            }
        }
        return true;
    }

    void beginStop()
    {
        stopping_ = Nodes - 1;
        stop_ = std::async(std::launch::async, [this] { return bench_.drainNode(Nodes - 1); });
        // The balancer notices /readyz after a while; until then it still sends requests there.
        balancerNotices_ = std::chrono::steady_clock::now() + milliseconds(200);
    }

    void restart()
    {
        stopClean_ = stop_.valid() && stop_.get();
        bench_.killNode(Nodes - 1);
        const Instant began = std::chrono::steady_clock::now();
        restarted_ = bench_.startNode(Nodes - 1);
        restartTook_ = std::chrono::steady_clock::now() - began;
        if (restarted_) {
            stopping_.reset();
        }
    }

    void leave()
    {
        bench_.platform().setVm(Bench::engineName(Engines - 1), "leaving");
        leftAt_ = std::chrono::steady_clock::now();
    }

    void drive()
    {
        const double seconds = options_.seconds * TimeScale;
        std::array<Workload, 2> workloads {
            Workload(demoProfile("lienzo-andino"), seconds, options_.seed),
            Workload(demoProfile("drenthe"), seconds, options_.seed + 1)
        };
        std::array<std::optional<PlannedRequest>, 2> next { workloads[0].next(),
                                                            workloads[1].next() };
        const Instant began = std::chrono::steady_clock::now();
        std::size_t turn = 0;
        while (next[0].has_value() || next[1].has_value()) {
            const std::size_t which
                = !next[1].has_value() || (next[0].has_value() && next[0]->at < next[1]->at) ? 0
                                                                                             : 1;
            const PlannedRequest request = *next[which];
            next[which] = workloads[which].next();
            const Instant intended = began + fromMilliseconds(request.at * 1000 / TimeScale);
            std::this_thread::sleep_until(intended);
            happen(request.at / seconds);
            client_.send(bench_.callerUrl(pickNode(turn)), workloads[which].profile(), request,
                         intended);
        }
        happen(1);
    }

    std::size_t pickNode(std::size_t &turn) const
    {
        while (true) {
            const std::size_t node = turn++ % Nodes;
            const bool avoided = bench_.callerUrl(node).empty()
                || (stopping_ == node && std::chrono::steady_clock::now() > balancerNotices_);
            if (!avoided) {
                return node;
            }
        }
    }

    void happen(double share)
    {
        if (leftAt_.has_value() && !markedLeaving_
            && std::chrono::steady_clock::now() > *leftAt_ + LeavingLimit) {
            markedLeaving_ = true;
            bench_.engines()[Engines - 1]->markLeaving();
        }
        while (!happenings_.empty() && happenings_.front().at <= share) {
            const Happening happening = std::move(happenings_.front());
            happenings_.pop_front();
            progress_(std::to_string(client_.records().size()) + " answered, "
                      + std::to_string(client_.open()) + " open: " + happening.text);
            happening.act();
        }
    }

    DemoResult judge();

    DemoOptions options_;
    std::function<void(const std::string &)> progress_;
    Bench bench_;
    LoadClient client_;
    HttpClient operatorClient_;
    std::deque<Happening> happenings_;
    std::optional<std::size_t> stopping_;
    Instant balancerNotices_;
    std::future<bool> stop_;
    bool stopClean_ = false;
    bool restarted_ = false;
    Duration restartTook_ {};
    std::optional<Instant> leftAt_;
    bool markedLeaving_ = false;
    std::uint64_t accepted_ = 0;
    std::size_t patches_ = 0;
    Duration slowestPatch_ {};
    bool allAnswered_ = false;
};

std::string wholeMs(Duration duration)
{
    return std::to_string(static_cast<long>(toMilliseconds(duration))) + " ms";
}

DemoResult DemoRun::judge()
{
    const PromiseCounts counts = countPromises(bench_, client_.records());
    std::uint64_t afterLeaving = 0;
    std::uint64_t crashes = 0;
    for (const auto &engine : bench_.engines()) {
        afterLeaving += engine->counters().afterLeaving;
        crashes += engine->counters().crashes;
    }
    const auto count = [](std::uint64_t number) { return std::to_string(number); };
    const bool patched = patches_ == 2 && slowestPatch_ < PatchLimit && inForceEverywhere();
    DemoResult result;
    result.promises = {
        { "no cache entry of a dead engine, another team or old weights",
          counts.sharedSalts == 0 && crashes > 0,
          count(counts.sharedSalts) + " prompts under another team's salt; " + count(crashes)
              + " engine crashes" },
        { "every stream arrives complete and in order",
          counts.brokenStreams == 0 && counts.crossedStreams == 0,
          count(counts.brokenStreams) + " broken, " + count(counts.crossedStreams)
              + " out of order" },
        { "a restarted router serves at once", restarted_ && restartTook_ < RestartLimit,
          "ready " + wholeMs(restartTook_) + " after its start, platform away" },
        { "everybody gets the whole answer to their own request",
          counts.crossedStreams == 0 && allAnswered_,
          count(counts.crossedStreams) + " foreign tokens; " + count(counts.completed)
              + " whole answers" },
        { "a refusal that says 'not run' is true", counts.falseNotRun == 0,
          count(counts.falseNotRun) + " of " + count(counts.refusedNotRun)
              + " such refusals had run" },
        { "a booking runs at most once", counts.duplicateExecutions == 0 && counts.bookings > 0,
          count(counts.duplicateExecutions) + " of " + count(counts.bookings)
              + " bookings ran twice" },
        { "a leaving backend server gets no new work after 3 s",
          afterLeaving == 0 && markedLeaving_, count(afterLeaving) + " requests came later" },
        { "a planned stop cuts no request", stopClean_ && counts.cutConnections == 0,
          count(counts.cutConnections) + " connections cut" },
        { "an accepted patch is in force everywhere within 4 s", patched,
          count(patches_) + " patches, the slowest " + wholeMs(slowestPatch_) },
    };
    result.summary = count(counts.requests) + " requests: " + count(counts.completed)
        + " answered whole, " + count(counts.refusedNotRun) + " refused as not run, "
        + count(counts.failed) + " refused with another verdict";
    return result;
}

} // namespace

Demo::Demo(DemoOptions options)
    : options_(options)
{ }

DemoResult Demo::run(const std::function<void(const std::string &)> &progress)
{
    return DemoRun(options_, progress).run();
}

} // namespace jacinthroad
