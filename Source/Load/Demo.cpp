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
#include "Load/LoadClient.h"
#include "Load/LocalCluster.h"
#include "Load/PropertyRun.h"

namespace jacinthroad {

namespace {

constexpr double TimeScale = 2;
constexpr std::size_t Nodes = 4;
constexpr std::size_t Engines = 6;
constexpr double RequestsPerSecond = 4;
constexpr double PeakFactor = 2;
constexpr double BookingShare = 0.15;
constexpr std::uint32_t MaxOutputTokens = 200;
constexpr Duration PatchLimit = std::chrono::seconds(4);
constexpr Duration RestartLimit = std::chrono::seconds(1);
constexpr Duration LeavingGracePeriod = std::chrono::seconds(3);
constexpr std::size_t OperatorMemoryBytes = 64 * 1024 * 1024;
constexpr Duration ResponseTimeout = std::chrono::seconds(30);

Profile demoProfile(std::string_view profileName)
{
    Profile profile = *findProfile(profileName);
    profile.model = "demo-model";
    profile.service = "bookings";
    profile.zones = { "zone-a", "zone-b" };
    profile.engines = Engines;
    profile.serviceInstances = 1;
    profile.ratedPerSecond = RequestsPerSecond;
    profile.peakFactor = PeakFactor;
    profile.serviceShare = BookingShare;
    // A planned stop waits for the longest response, and the demo is short.
    for (JobClass &job : profile.jobs) {
        job.minOutputTokens = std::min(job.minOutputTokens, MaxOutputTokens / 2);
        job.maxOutputTokens = std::min(job.maxOutputTokens, MaxOutputTokens);
    }
    return profile;
}

/// An action at a point of the run, given as a share of its length.
struct ScheduledEvent
{
    double atShare = 0;
    std::string text;
    std::function<void()> action;
};

class DemoRun
{
public:
    DemoRun(DemoOptions options, std::function<void(const std::string &)> progress)
        : options_(options)
        , progress_(std::move(progress))
        , cluster_({ .profile = demoProfile("lienzo-andino"),
                     .nodes = Nodes,
                     .engines = Engines,
                     .timeScale = TimeScale })
        , client_(TimeScale)
    { }

    DemoResult run()
    {
        if (!cluster_.start()) {
            return { .guarantees = { { "all nodes start", false, "a node did not become ready" } },
                     .summary = "no traffic was sent" };
        }
        progress_("2 zones, 4 nodes, 6 engines, 1 plain service and the platform run in this "
                  "process");
        scheduleEvents();
        sendTraffic();
        allCompleted_ = client_.waitForAll(ResponseTimeout);
        return evaluate();
    }

private:
    void scheduleEvents()
    {
        events_ = {
            { 0.10, "two streams switch to another request's id half-way",
              [this] { cluster_.engines()[2]->crossNextStreams(2); } },
            { 0.15, "an engine crashes and restarts with an empty cache",
              [this] {
                  cluster_.engines()[1]->crash();
                  cluster_.engines()[1]->start();
              } },
            { 0.22, "two streams of an engine stall",
              [this] { cluster_.engines()[3]->stallNextStreams(2); } },
            { 0.28, "an operator patches a team's weight", [this] { patch(2.0); } },
            { 0.32, "a node begins a planned stop", [this] { startDrain(); } },
            { 0.45, "the platform loses the responses to its next 6 writes",
              [this] { cluster_.platform().dropNextResponses(6); } },
            { 0.50, "the service loses the responses to its next 2 bookings",
              [this] { cluster_.services()[0]->dropNextResponses(2); } },
            { 0.55, "the platform becomes unavailable",
              [this] { cluster_.platform().setOutage(true); } },
            { 0.60, "the stopped node restarts while the platform is unavailable",
              [this] { restartNode(); } },
            { 0.70, "the platform is available again",
              [this] { cluster_.platform().setOutage(false); } },
            { 0.78, "the platform lists an engine as leaving", [this] { listEngineLeaving(); } },
            { 0.85, "an operator patches the weight again", [this] { patch(3.0); } },
        };
    }

    void patch(double weight)
    {
        Json::Value request;
        request["jsonrpc"] = "2.0";
        request["id"] = 1;
        request["method"] = "config.patch";
        const std::uint64_t base = cluster_.node(0)->statistics().configurationVersion;
        request["params"]["base"] = Json::UInt64(base);
        request["params"]["patch"]["teams"][teamName(0)]["weight"] = weight;
        request["params"]["author"] = "demo";
        const auto operatorCall = performCall(
            operatorClient_,
            { .method = "POST",
              .url = cluster_.operatorUrl(0) + "/rpc",
              .headers = { { "Authorization", "Bearer " + LocalCluster::operatorKey() } },
              .body = writeJson(request) });
        const auto body = parseJson(operatorCall.response.body);
        if (body.has_value() && body->isObject() && (*body)["result"].isObject()) {
            acceptedVersion_ = (*body)["result"]["version"].asUInt64();
            const Instant began = std::chrono::steady_clock::now();
            while (!activeEverywhere() && std::chrono::steady_clock::now() < began + PatchLimit) {
                std::this_thread::sleep_for(milliseconds(2));
            }
            slowestPatch_ = std::max(slowestPatch_, std::chrono::steady_clock::now() - began);
            ++acceptedPatches_;
        }
    }

    bool activeEverywhere()
    {
        for (std::size_t index = 0; index < cluster_.nodeCount(); ++index) {
            Node *node = cluster_.node(index);
            if (node != nullptr && node->statistics().configurationVersion < acceptedVersion_) {
                return false;
            }
        }
        return true;
    }

    void startDrain()
    {
        drainingNode_ = Nodes - 1;
        drainResult_
            = std::async(std::launch::async, [this] { return cluster_.drainNode(Nodes - 1); });
        // The load balancer polls /readyz and sends requests to the node until it sees the change.
        balancerAvoidsAfter_ = std::chrono::steady_clock::now() + milliseconds(200);
    }

    void restartNode()
    {
        drainedCleanly_ = drainResult_.valid() && drainResult_.get();
        cluster_.killNode(Nodes - 1);
        const Instant began = std::chrono::steady_clock::now();
        restarted_ = cluster_.startNode(Nodes - 1);
        restartDuration_ = std::chrono::steady_clock::now() - began;
        if (restarted_) {
            drainingNode_.reset();
        }
    }

    void listEngineLeaving()
    {
        cluster_.platform().setVm(LocalCluster::engineName(Engines - 1), "leaving");
        listedLeavingAt_ = std::chrono::steady_clock::now();
    }

    void sendTraffic()
    {
        const double seconds = options_.seconds * TimeScale;
        std::array<Workload, 2> workloads {
            Workload(demoProfile("lienzo-andino"), seconds, options_.seed),
            Workload(demoProfile("drenthe"), seconds, options_.seed + 1)
        };
        std::array<std::optional<PlannedRequest>, 2> next { workloads[0].next(),
                                                            workloads[1].next() };
        const Instant began = std::chrono::steady_clock::now();
        std::size_t nextNode = 0;
        while (next[0].has_value() || next[1].has_value()) {
            const std::size_t workloadIndex = !next[1].has_value()
                    || (next[0].has_value() && next[0]->atSeconds < next[1]->atSeconds)
                ? 0
                : 1;
            const PlannedRequest request = *next[workloadIndex];
            next[workloadIndex] = workloads[workloadIndex].next();
            const Instant intended = began + fromMilliseconds(request.atSeconds * 1000 / TimeScale);
            std::this_thread::sleep_until(intended);
            runDueEvents(request.atSeconds / seconds);
            client_.send(cluster_.callerUrl(pickNode(nextNode)), workloads[workloadIndex].profile(),
                         request, intended);
        }
        runDueEvents(1);
    }

    std::size_t pickNode(std::size_t &nextNode) const
    {
        while (true) {
            const std::size_t node = nextNode++ % Nodes;
            const bool avoided = cluster_.callerUrl(node).empty()
                || (drainingNode_ == node
                    && std::chrono::steady_clock::now() > balancerAvoidsAfter_);
            if (!avoided) {
                return node;
            }
        }
    }

    void runDueEvents(double share)
    {
        if (listedLeavingAt_.has_value() && !markedLeaving_
            && std::chrono::steady_clock::now() > *listedLeavingAt_ + LeavingGracePeriod) {
            markedLeaving_ = true;
            cluster_.engines()[Engines - 1]->markLeaving();
        }
        while (!events_.empty() && events_.front().atShare <= share) {
            const ScheduledEvent event = std::move(events_.front());
            events_.pop_front();
            progress_(std::to_string(client_.records().size()) + " ended, "
                      + std::to_string(client_.openRequests()) + " open: " + event.text);
            event.action();
        }
    }

    DemoResult evaluate();

    DemoOptions options_;
    std::function<void(const std::string &)> progress_;
    LocalCluster cluster_;
    LoadClient client_;
    HttpClient operatorClient_ { std::make_shared<MemoryBudget>(OperatorMemoryBytes) };
    std::deque<ScheduledEvent> events_;
    std::optional<std::size_t> drainingNode_;
    Instant balancerAvoidsAfter_;
    std::future<bool> drainResult_;
    bool drainedCleanly_ = false;
    bool restarted_ = false;
    Duration restartDuration_ {};
    std::optional<Instant> listedLeavingAt_;
    bool markedLeaving_ = false;
    std::uint64_t acceptedVersion_ = 0;
    std::size_t acceptedPatches_ = 0;
    Duration slowestPatch_ {};
    bool allCompleted_ = false;
};

std::string formatMs(Duration duration)
{
    return std::to_string(static_cast<long>(toMilliseconds(duration))) + " ms";
}

DemoResult DemoRun::evaluate()
{
    const OutcomeCounts counts = countOutcomes(cluster_, client_.records());
    std::uint64_t afterLeaving = 0;
    std::uint64_t crashes = 0;
    for (const auto &engine : cluster_.engines()) {
        afterLeaving += engine->counters().afterLeaving;
        crashes += engine->counters().crashes;
    }
    const auto count = [](std::uint64_t number) { return std::to_string(number); };
    const bool patched = acceptedPatches_ == 2 && slowestPatch_ < PatchLimit && activeEverywhere();
    DemoResult result;
    result.guarantees = {
        { "no cache entry of a dead engine, another team or old weights",
          counts.sharedSalts == 0 && crashes > 0,
          count(counts.sharedSalts) + " prompts under another team's salt; " + count(crashes)
              + " engine crashes" },
        { "every stream arrives complete and in order",
          counts.brokenStreams == 0 && counts.crossedStreams == 0,
          count(counts.brokenStreams) + " broken, " + count(counts.crossedStreams)
              + " out of order" },
        { "a restarted router serves at once", restarted_ && restartDuration_ < RestartLimit,
          "ready " + formatMs(restartDuration_) + " after its start, platform unavailable" },
        { "every caller gets the complete response to its own request",
          counts.crossedStreams == 0 && allCompleted_,
          count(counts.crossedStreams) + " streams with tokens of other requests; "
              + count(counts.completed) + " complete responses" },
        { "a request rejected as 'not run' did not run", counts.falseNotRun == 0,
          count(counts.falseNotRun) + " of " + count(counts.rejectedNotRun)
              + " such requests had run" },
        { "a booking runs at most once", counts.duplicateExecutions == 0 && counts.bookings > 0,
          count(counts.duplicateExecutions) + " of " + count(counts.bookings)
              + " bookings ran twice" },
        { "a leaving backend server gets no new work after 3 s",
          afterLeaving == 0 && markedLeaving_, count(afterLeaving) + " requests came later" },
        { "a planned stop interrupts no request", drainedCleanly_ && counts.brokenConnections == 0,
          count(counts.brokenConnections) + " connections lost" },
        { "an accepted patch is active on every node within 4 s", patched,
          count(acceptedPatches_) + " patches, the slowest " + formatMs(slowestPatch_) },
    };
    result.summary = count(counts.requests) + " requests: " + count(counts.completed)
        + " completed, " + count(counts.rejectedNotRun) + " rejected as not run, "
        + count(counts.failed) + " failed otherwise";
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
