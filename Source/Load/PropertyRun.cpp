#include "Load/PropertyRun.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace jacinthroad {

namespace {

constexpr std::size_t Nodes = 3;
constexpr std::size_t Engines = 4;
constexpr double TimeScale = 8;
constexpr double RequestsPerSecond = 5;
constexpr double BookingShare = 0.3;
constexpr std::uint32_t MaxOutputTokens = 120;
constexpr std::size_t FaultPairs = 3;
constexpr Duration ResponseTimeout = std::chrono::seconds(30);
constexpr Duration MinOutageTime = milliseconds(300);

Profile propertyProfile()
{
    Profile profile = *findProfile("lienzo-andino");
    profile.engines = Engines;
    profile.serviceInstances = 2;
    profile.ratedPerSecond = RequestsPerSecond;
    profile.serviceShare = BookingShare;
    for (JobClass &job : profile.jobs) {
        job.minOutputTokens = std::min(job.minOutputTokens, MaxOutputTokens / 2);
        job.maxOutputTokens = std::min(job.maxOutputTokens, MaxOutputTokens);
    }
    return profile;
}

class PropertyRunner
{
public:
    explicit PropertyRunner(const PropertyRunOptions &options)
        : options_(options)
        , random_(options.seed)
        , cluster_({ .profile = propertyProfile(),
                     .nodes = Nodes,
                     .engines = Engines,
                     .timeScale = TimeScale })
        , client_(TimeScale)
    { }

    PropertyRunResult run()
    {
        if (!cluster_.start()) {
            result_.violations.emplace_back("a node did not become ready");
            return result_;
        }
        sendTraffic();
        clearFaults();
        if (!client_.waitForAll(ResponseTimeout)) {
            result_.violations.push_back(std::to_string(client_.openRequests())
                                         + " requests got no response");
        }
        checkGuarantees();
        return result_;
    }

private:
    std::size_t pickIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    void sendTraffic()
    {
        const double seconds = options_.seconds * TimeScale;
        Workload workload(propertyProfile(), seconds, options_.seed);
        const Instant began = std::chrono::steady_clock::now();
        std::size_t nextNode = 0;
        std::size_t injectedPairs = 0;
        while (const auto request = workload.next()) {
            const Instant intended
                = began + fromMilliseconds(request->atSeconds * 1000 / TimeScale);
            std::this_thread::sleep_until(intended);
            const double due = static_cast<double>(injectedPairs + 1) / (FaultPairs + 1);
            if (injectedPairs < FaultPairs && request->atSeconds > due * seconds) {
                ++injectedPairs;
                clearFaults();
                injectFault();
                injectFault();
            }
            std::string url;
            while (url.empty()) {
                url = cluster_.callerUrl(nextNode++ % Nodes);
            }
            client_.send(url, workload.profile(), *request, intended);
        }
    }

    void injectFault()
    {
        struct Fault
        {
            const char *name;
            std::function<void()> apply;
        };
        EngineStandIn &engine = *cluster_.engines()[pickIndex(Engines)];
        ServiceStandIn &service = *cluster_.services()[pickIndex(cluster_.services().size())];
        const std::array<Fault, 9> faults { {
            { "engine crash",
              [&] {
                  engine.crash();
                  engine.start();
              } },
            { "engine down", [&] { engine.crash(); } },
            { "stalled stream", [&] { engine.stallNextStreams(1); } },
            { "crossed stream", [&] { engine.crossNextStreams(2); } },
            { "slow engine", [&] { engine.setSlowdown(4); } },
            { "platform outage",
              [&] {
                  cluster_.platform().setOutage(true);
                  outageEndsAt_ = std::chrono::steady_clock::now() + MinOutageTime;
              } },
            { "platform loses responses", [&] { cluster_.platform().dropNextResponses(3); } },
            { "service loses responses", [&] { service.dropNextResponses(2); } },
            { "node killed", [&] { killRandomNode(); } },
        } };
        const Fault &fault = faults[pickIndex(faults.size())];
        result_.faults.emplace_back(fault.name);
        fault.apply();
    }

    void killRandomNode()
    {
        if (lostNode_.has_value()) {
            return;
        }
        lostNode_ = pickIndex(Nodes);
        nodeLostAt_.push_back(std::chrono::steady_clock::now());
        cluster_.killNode(*lostNode_);
    }

    /// Clears the faults of the previous pair, so that at most two are active at a time.
    void clearFaults()
    {
        if (outageEndsAt_.has_value()) {
            std::this_thread::sleep_until(*outageEndsAt_);
            cluster_.platform().setOutage(false);
            outageEndsAt_.reset();
        }
        for (auto &engine : cluster_.engines()) {
            engine->setSlowdown(1);
            engine->start();
        }
        if (lostNode_.has_value()) {
            if (!cluster_.startNode(*lostNode_)) {
                result_.violations.emplace_back("a node did not become ready again");
            }
            lostNode_.reset();
        }
    }

    void checkGuarantees()
    {
        const std::vector<CallerRecord> records = client_.records();
        result_.counts = countOutcomes(cluster_, records);
        for (const CallerRecord &record : records) {
            if (record.outcome == CallerOutcome::Broken && nodeLostAt_.empty()) {
                result_.violations.push_back("stream " + record.requestId + " ended with "
                                             + record.errorKind);
            }
        }
        const OutcomeCounts &counts = result_.counts;
        const auto expectNone = [&](std::uint64_t count, const std::string &what) {
            if (count > 0) {
                result_.violations.push_back(std::to_string(count) + " " + what);
            }
        };
        expectNone(counts.duplicateExecutions, "bookings ran twice");
        expectNone(counts.falseNotRun, "requests rejected as 'not run' had run");
        expectNone(counts.crossedStreams, "streams carried another request's tokens");
        expectNone(counts.sharedSalts, "prompts reached an engine under another team's salt");
        if (nodeLostAt_.empty()) {
            // Only a killed node may break a connection; its caller resumes on another node.
            expectNone(counts.brokenStreams, "streams broke although no node was killed");
            expectNone(counts.brokenConnections,
                       "connections were lost although no node was killed");
        }
    }

    PropertyRunOptions options_;
    std::mt19937_64 random_;
    PropertyRunResult result_;
    LocalCluster cluster_;
    LoadClient client_;
    std::optional<std::size_t> lostNode_;
    std::vector<Instant> nodeLostAt_;
    std::optional<Instant> outageEndsAt_;
};

} // namespace

OutcomeCounts countOutcomes(const LocalCluster &cluster, const std::vector<CallerRecord> &records)
{
    OutcomeCounts counts;
    const auto executions = cluster.engineExecutions();
    const auto bookings = cluster.serviceExecutions();
    for (const CallerRecord &record : records) {
        ++counts.requests;
        counts.brokenConnections += record.errorKind == "connection" ? 1 : 0;
        switch (record.outcome) {
        case CallerOutcome::Completed:
            ++counts.completed;
            break;
        case CallerOutcome::RejectedNotRun: {
            ++counts.rejectedNotRun;
            const auto &executed = record.toService ? bookings : executions;
            const auto &name = record.toService ? record.idempotencyKey : record.requestId;
            counts.falseNotRun += executed.contains(name) ? 1 : 0;
            break;
        }
        case CallerOutcome::Failed:
            ++counts.failed;
            break;
        case CallerOutcome::Broken:
            ++counts.brokenStreams;
            break;
        case CallerOutcome::Crossed:
            ++counts.crossedStreams;
            break;
        }
    }
    for (const auto &[key, count] : bookings) {
        ++counts.bookings;
        counts.duplicateExecutions += count > 1 ? 1 : 0;
    }
    for (const auto &engine : cluster.engines()) {
        counts.sharedSalts += engine->counters().sharedSalts;
    }
    return counts;
}

PropertyRunResult runProperty(const PropertyRunOptions &options)
{
    return PropertyRunner(options).run();
}

} // namespace jacinthroad
