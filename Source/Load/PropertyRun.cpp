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
constexpr std::uint32_t MostOutputTokens = 120;
constexpr std::size_t FaultPairs = 3;
constexpr Duration AnswerPatience = std::chrono::seconds(30);
constexpr Duration OutageTime = milliseconds(300);

Profile propertyProfile()
{
    Profile profile = *findProfile("lienzo-andino");
    profile.engines = Engines;
    profile.serviceInstances = 2;
    profile.ratedPerSecond = RequestsPerSecond;
    profile.serviceShare = BookingShare;
    for (JobClass &job : profile.jobs) {
        job.leastOutput = std::min(job.leastOutput, MostOutputTokens / 2);
        job.mostOutput = std::min(job.mostOutput, MostOutputTokens);
    }
    return profile;
}

class Run
{
public:
    explicit Run(const PropertyRunOptions &options)
        : options_(options)
        , random_(options.seed)
        , bench_({ .profile = propertyProfile(),
                   .nodes = Nodes,
                   .engines = Engines,
                   .timeScale = TimeScale })
        , client_(TimeScale)
    { }

    PropertyRunResult run()
    {
        if (!bench_.start()) {
            result_.violations.emplace_back("a node did not become ready");
            return result_;
        }
        drive();
        restore();
        if (!client_.waitForAll(AnswerPatience)) {
            result_.violations.push_back(std::to_string(client_.open())
                                         + " requests were never answered");
        }
        judge();
        return result_;
    }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    void drive()
    {
        const double seconds = options_.seconds * TimeScale;
        Workload workload(propertyProfile(), seconds, options_.seed);
        const Instant began = std::chrono::steady_clock::now();
        std::size_t turn = 0;
        std::size_t pairs = 0;
        while (const auto request = workload.next()) {
            const Instant intended = began + fromMilliseconds(request->at * 1000 / TimeScale);
            std::this_thread::sleep_until(intended);
            const double due = static_cast<double>(pairs + 1) / (FaultPairs + 1);
            if (pairs < FaultPairs && request->at > due * seconds) {
                ++pairs;
                restore();
                inject();
                inject();
            }
            std::string url;
            while (url.empty()) {
                url = bench_.callerUrl(turn++ % Nodes);
            }
            client_.send(url, workload.profile(), *request, intended);
        }
    }

    void inject()
    {
        struct Fault
        {
            const char *name;
            std::function<void()> act;
        };
        EngineStandIn &engine = *bench_.engines()[pick(Engines)];
        ServiceStandIn &service = *bench_.services()[pick(bench_.services().size())];
        const std::array<Fault, 9> faults { {
            { "engine crash",
              [&] {
                  engine.crash();
                  engine.start();
              } },
            { "engine gone for a while", [&] { engine.crash(); } },
            { "silent stream", [&] { engine.stallNextStreams(1); } },
            { "crossed stream", [&] { engine.crossNextStreams(2); } },
            { "slow engine", [&] { engine.setSlowdown(4); } },
            { "platform outage",
              [&] {
                  bench_.platform().setOutage(true);
                  outageEnds_ = std::chrono::steady_clock::now() + OutageTime;
              } },
            { "platform loses answers", [&] { bench_.platform().dropNextResponses(3); } },
            { "service loses answers", [&] { service.dropNextResponses(2); } },
            { "node lost", [&] { loseNode(); } },
        } };
        const Fault &fault = faults[pick(faults.size())];
        result_.faults.emplace_back(fault.name);
        fault.act();
    }

    void loseNode()
    {
        if (lost_.has_value()) {
            return;
        }
        lost_ = pick(Nodes);
        lostAt_.push_back(std::chrono::steady_clock::now());
        bench_.killNode(*lost_);
    }

    /// Ends the faults of the last pair, so that no more than two act together.
    void restore()
    {
        if (outageEnds_.has_value()) {
            std::this_thread::sleep_until(*outageEnds_);
            bench_.platform().setOutage(false);
            outageEnds_.reset();
        }
        for (auto &engine : bench_.engines()) {
            engine->setSlowdown(1);
            engine->start();
        }
        if (lost_.has_value()) {
            if (!bench_.startNode(*lost_)) {
                result_.violations.emplace_back("a node did not become ready again");
            }
            lost_.reset();
        }
    }

    void judge()
    {
        const std::vector<CallerRecord> records = client_.records();
        result_.counts = countPromises(bench_, records);
        for (const CallerRecord &record : records) {
            if (record.outcome == CallerOutcome::Broken && lostAt_.empty()) {
                result_.violations.push_back("stream " + record.requestId + " ended with "
                                             + record.errorKind);
            }
        }
        const PromiseCounts &counts = result_.counts;
        const auto never = [&](std::uint64_t count, const std::string &what) {
            if (count > 0) {
                result_.violations.push_back(std::to_string(count) + " " + what);
            }
        };
        never(counts.duplicateExecutions, "bookings ran twice");
        never(counts.falseNotRun, "refusals said 'not run' of what had run");
        never(counts.crossedStreams, "streams carried what was not theirs");
        never(counts.sharedSalts, "prompts came under another team's salt");
        if (lostAt_.empty()) {
            // Only the loss of a node may break a connection; its caller resumes elsewhere.
            never(counts.brokenStreams, "streams broke though no node was lost");
            never(counts.cutConnections, "connections were cut though no node was lost");
        }
    }

    PropertyRunOptions options_;
    std::mt19937_64 random_;
    PropertyRunResult result_;
    Bench bench_;
    LoadClient client_;
    std::optional<std::size_t> lost_;
    std::vector<Instant> lostAt_;
    std::optional<Instant> outageEnds_;
};

} // namespace

PromiseCounts countPromises(const Bench &bench, const std::vector<CallerRecord> &records)
{
    PromiseCounts counts;
    const auto executions = bench.engineExecutions();
    const auto bookings = bench.serviceExecutions();
    for (const CallerRecord &record : records) {
        ++counts.requests;
        counts.cutConnections += record.errorKind == "connection" ? 1 : 0;
        switch (record.outcome) {
        case CallerOutcome::Completed:
            ++counts.completed;
            break;
        case CallerOutcome::RefusedNotRun: {
            ++counts.refusedNotRun;
            const auto &ran = record.toService ? bookings : executions;
            const auto &name = record.toService ? record.idempotencyKey : record.requestId;
            counts.falseNotRun += ran.contains(name) ? 1 : 0;
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
    for (const auto &engine : bench.engines()) {
        counts.sharedSalts += engine->counters().sharedSalts;
    }
    return counts;
}

PropertyRunResult runProperty(const PropertyRunOptions &options)
{
    return Run(options).run();
}

} // namespace jacinthroad
