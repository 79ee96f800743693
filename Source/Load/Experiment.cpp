#include "Load/Experiment.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Load/Bench.h"
#include "Load/PropertyRun.h"

namespace jacinthroad {

namespace {

constexpr double SlowBegins = 0.25;
constexpr double CrashesBegin = 0.34;
constexpr double CrestShare = 0.25;
constexpr Duration AnswerPatience = std::chrono::seconds(90);

class PolicyRun
{
public:
    PolicyRun(const ExperimentOptions &options, std::string policy)
        : options_(options)
        , bench_({ .profile = options.profile,
                   .policy = std::move(policy),
                   .nodes = options.nodes,
                   .timeScale = options.timeScale,
                   .sampleOneIn = options.sampleOneIn })
        , client_(options.timeScale)
    { }

    Result<PolicyFigures> run()
    {
        if (!bench_.start()) {
            return makeError(ErrorKind::NotReady, "the nodes of the bench did not become ready",
                             "Check that loopback ports are free.");
        }
        drive();
        if (!client_.waitForAll(AnswerPatience)) {
            return makeError(ErrorKind::Internal,
                             std::to_string(client_.open()) + " requests were never answered");
        }
        return figures();
    }

private:
    [[nodiscard]] double modelSeconds() const { return options_.seconds * options_.timeScale; }

    void drive()
    {
        Profile profile = options_.profile;
        profile.ratedPerSecond *= options_.demand;
        Workload workload(profile, modelSeconds(), options_.seed);
        began_ = std::chrono::steady_clock::now();
        std::size_t nextNode = 0;
        while (const auto request = workload.next()) {
            const Instant intended
                = began_ + fromMilliseconds(request->at * 1000 / options_.timeScale);
            std::this_thread::sleep_until(intended);
            injectFaults(request->at);
            client_.send(bench_.callerUrl(nextNode++ % bench_.nodeCount()), profile, *request,
                         intended);
        }
    }

    void injectFaults(double at)
    {
        if (!warm_ && at > WarmUpShare * modelSeconds()) {
            warm_ = true;
            computeBefore_ = bench_.judge().total();
        }
        auto &engines = bench_.engines();
        if (!slowed_ && at > SlowBegins * modelSeconds()) {
            slowed_ = true;
            for (std::size_t index = 0; index < options_.slowServers; ++index) {
                engines[index % engines.size()]->setSlowdown(options_.slowFactor);
            }
        }
        const double spacing = (1 - CrashesBegin) * modelSeconds()
            / static_cast<double>(std::max<std::size_t>(1, options_.crashes));
        if (crashed_ < options_.crashes
            && at > CrashesBegin * modelSeconds() + static_cast<double>(crashed_) * spacing) {
            EngineStandIn &engine = *engines[(crashed_ * 5 + 3) % engines.size()];
            engine.crash();
            engine.start();
            ++crashed_;
        }
    }

    [[nodiscard]] PolicyFigures figures() const
    {
        PolicyFigures result;
        std::vector<double> first;
        std::vector<double> firstCrest;
        std::vector<double> firstRated;
        std::vector<double> gaps;
        std::vector<double> gapsRated;
        std::vector<double> shortWaits;
        double good = 0;
        const double target = bench_.options().firstTokenTargetMs;
        for (const CallerRecord &record : client_.records()) {
            if (record.toService || record.outcome != CallerOutcome::Completed) {
                continue;
            }
            if (record.inCrest) {
                firstCrest.push_back(record.firstTokenMs);
                good += record.firstTokenMs <= target ? 1 : 0;
            }
            if (record.at < WarmUpShare * modelSeconds()) {
                continue;
            }
            first.push_back(record.firstTokenMs);
            gaps.insert(gaps.end(), record.gapsMs.begin(), record.gapsMs.end());
            if (!record.inCrest && record.at < modelSeconds() / 2) {
                firstRated.push_back(record.firstTokenMs);
                gapsRated.insert(gapsRated.end(), record.gapsMs.begin(), record.gapsMs.end());
            }
            if (record.lengthClass == LengthClass::Short) {
                shortWaits.push_back(record.firstTokenMs);
            }
        }
        result.firstToken = quantilesOf(first);
        result.firstTokenCrest = quantilesOf(firstCrest);
        result.firstTokenRated = quantilesOf(firstRated);
        result.tokenGapP95Ms = quantilesOf(gaps).p95;
        result.tokenGapRatedP95Ms = quantilesOf(gapsRated).p95;
        result.shortWaitP95Ms = quantilesOf(shortWaits).p95;
        result.goodputCrest = good / (CrestShare * modelSeconds());
        takeBenchFigures(result);
        return result;
    }

    void takeBenchFigures(PolicyFigures &result) const
    {
        auto &bench = const_cast<Bench &>(bench_);
        const PromiseCounts counts = countPromises(bench_, client_.records());
        result.requests = counts.requests;
        result.completed = counts.completed;
        result.refusedNotRun = counts.refusedNotRun;
        result.failed = counts.failed;
        result.brokenStreams = counts.brokenStreams;
        result.crossedStreams = counts.crossedStreams;
        result.falseNotRun = counts.falseNotRun;
        result.duplicateExecutions = counts.duplicateExecutions;
        LedgerLine total = bench.judge().total();
        total -= computeBefore_;
        std::uint64_t again = 0;
        for (const std::uint64_t tokens : total.recomputed) {
            again += tokens;
        }
        result.recomputed = total.recomputed;
        result.promptTokens = total.reused + total.firstTime + again;
        result.prefixHitRate = static_cast<double>(total.reused)
            / std::max<double>(1, static_cast<double>(result.promptTokens));
        const NodeStatistics nodes = bench_.figures();
        const auto count = static_cast<double>(options_.nodes);
        const double passed = toMilliseconds(std::chrono::steady_clock::now() - began_) / 1000;
        result.controlBytesPerNodeSecond
            = static_cast<double>(nodes.peerBytes) / count / (passed * options_.timeScale);
        result.controlCpuShare
            = toMilliseconds(nodes.controlCpu) / 1000 / count / (passed * options_.timeScale);
        result.platformCalls = nodes.platformCalls;
        result.hedges = nodes.hedges;
        result.retries = nodes.retries;
    }

    const ExperimentOptions &options_;
    Bench bench_;
    LoadClient client_;
    Instant began_;
    bool warm_ = false;
    LedgerLine computeBefore_;
    bool slowed_ = false;
    std::size_t crashed_ = 0;
};

} // namespace

Result<ExperimentReport> runExperiment(const ExperimentOptions &options,
                                       const std::function<void(const std::string &)> &progress)
{
    ExperimentReport report { .profile = std::string(options.profile.name), .seed = options.seed };
    for (const std::string &policy : options.policies) {
        progress("running " + policy + " for " + std::to_string(options.seconds) + " s");
        PolicyRun run(options, policy);
        auto figures = run.run();
        if (!figures.has_value()) {
            return tl::make_unexpected(figures.error());
        }
        report.policies.emplace_back(policy, *figures);
    }
    return report;
}

} // namespace jacinthroad
