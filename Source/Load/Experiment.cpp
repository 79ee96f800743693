#include "Load/Experiment.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "Load/LocalCluster.h"
#include "Load/PropertyRun.h"

namespace jacinthroad {

namespace {

// Shares of a run.
constexpr double SlowdownStart = 0.25;
constexpr double CrashesStart = 0.34;
constexpr double PeakShare = 0.25;
constexpr Duration ResponseTimeout = std::chrono::seconds(90);

class PolicyRun
{
public:
    PolicyRun(const ExperimentOptions &options, std::string policy)
        : options_(options)
        , cluster_({ .profile = options.profile,
                     .policy = std::move(policy),
                     .nodes = options.nodes,
                     .timeScale = options.timeScale,
                     .sampleOneIn = options.sampleOneIn })
        , client_(options.timeScale)
    { }

    Result<PolicyMetrics> run()
    {
        if (!cluster_.start()) {
            return makeError(ErrorKind::NotReady,
                             "the nodes of the local cluster did not become ready",
                             "Check that loopback ports are free.");
        }
        sendTraffic();
        if (!client_.waitForAll(ResponseTimeout)) {
            return makeError(ErrorKind::Internal,
                             std::to_string(client_.openRequests()) + " requests got no response");
        }
        return metrics();
    }

private:
    [[nodiscard]] double modelSeconds() const { return options_.seconds * options_.timeScale; }

    void sendTraffic()
    {
        Profile profile = options_.profile;
        profile.ratedPerSecond *= options_.demand;
        Workload workload(profile, modelSeconds(), options_.seed);
        startedAt_ = std::chrono::steady_clock::now();
        std::size_t nextNode = 0;
        while (const auto request = workload.next()) {
            const Instant intended
                = startedAt_ + fromMilliseconds(request->atSeconds * 1000 / options_.timeScale);
            std::this_thread::sleep_until(intended);
            injectFaults(request->atSeconds);
            client_.send(cluster_.callerUrl(nextNode++ % cluster_.nodeCount()), profile, *request,
                         intended);
        }
    }

    void injectFaults(double atSeconds)
    {
        if (!warmedUp_ && atSeconds > WarmUpShare * modelSeconds()) {
            warmedUp_ = true;
            computeAtWarmUp_ = cluster_.computeTracker().total();
        }
        auto &engines = cluster_.engines();
        if (!slowdownApplied_ && atSeconds > SlowdownStart * modelSeconds()) {
            slowdownApplied_ = true;
            for (std::size_t index = 0; index < options_.slowServers; ++index) {
                engines[index % engines.size()]->setSlowdown(options_.slowFactor);
            }
        }
        const double spacing = (1 - CrashesStart) * modelSeconds()
            / static_cast<double>(std::max<std::size_t>(1, options_.crashes));
        if (crashCount_ < options_.crashes
            && atSeconds
                > CrashesStart * modelSeconds() + static_cast<double>(crashCount_) * spacing) {
            EngineStandIn &engine = *engines[(crashCount_ * 5 + 3) % engines.size()];
            engine.crash();
            engine.start();
            ++crashCount_;
        }
    }

    [[nodiscard]] PolicyMetrics metrics() const
    {
        PolicyMetrics result;
        std::vector<double> first;
        std::vector<double> firstPeak;
        std::vector<double> firstRated;
        std::vector<double> gaps;
        std::vector<double> gapsRated;
        std::vector<double> shortWaits;
        double withinTarget = 0;
        const double target = cluster_.options().firstTokenTargetMs;
        for (const CallerRecord &record : client_.records()) {
            if (record.toService || record.outcome != CallerOutcome::Completed) {
                continue;
            }
            if (record.inPeak) {
                firstPeak.push_back(record.firstTokenMs);
                withinTarget += record.firstTokenMs <= target ? 1 : 0;
            }
            if (record.atSeconds < WarmUpShare * modelSeconds()) {
                continue;
            }
            first.push_back(record.firstTokenMs);
            gaps.insert(gaps.end(), record.tokenGapsMs.begin(), record.tokenGapsMs.end());
            if (!record.inPeak && record.atSeconds < modelSeconds() / 2) {
                firstRated.push_back(record.firstTokenMs);
                gapsRated.insert(gapsRated.end(), record.tokenGapsMs.begin(),
                                 record.tokenGapsMs.end());
            }
            if (record.lengthClass == LengthClass::Short) {
                shortWaits.push_back(record.firstTokenMs);
            }
        }
        result.firstToken = quantilesOf(first);
        result.firstTokenPeak = quantilesOf(firstPeak);
        result.firstTokenRated = quantilesOf(firstRated);
        result.tokenGapP95Ms = quantilesOf(gaps).p95;
        result.tokenGapRatedP95Ms = quantilesOf(gapsRated).p95;
        result.shortWaitP95Ms = quantilesOf(shortWaits).p95;
        result.goodputPeak = withinTarget / (PeakShare * modelSeconds());
        addClusterStatistics(result);
        return result;
    }

    void addClusterStatistics(PolicyMetrics &result) const
    {
        auto &cluster = const_cast<LocalCluster &>(cluster_);
        const OutcomeCounts counts = countOutcomes(cluster_, client_.records());
        result.requests = counts.requests;
        result.completed = counts.completed;
        result.rejectedNotRun = counts.rejectedNotRun;
        result.failed = counts.failed;
        result.brokenStreams = counts.brokenStreams;
        result.crossedStreams = counts.crossedStreams;
        result.falseNotRun = counts.falseNotRun;
        result.duplicateExecutions = counts.duplicateExecutions;
        LedgerLine total = cluster.computeTracker().total();
        total -= computeAtWarmUp_;
        std::uint64_t recomputedTotal = 0;
        for (const std::uint64_t tokens : total.recomputed) {
            recomputedTotal += tokens;
        }
        result.recomputed = total.recomputed;
        result.promptTokens = total.reused + total.firstTime + recomputedTotal;
        result.prefixHitRate = static_cast<double>(total.reused)
            / std::max<double>(1, static_cast<double>(result.promptTokens));
        const NodeStatistics nodes = cluster_.statistics();
        const auto count = static_cast<double>(options_.nodes);
        const double elapsedSeconds
            = toMilliseconds(std::chrono::steady_clock::now() - startedAt_) / 1000;
        result.controlBytesPerNodeSecond
            = static_cast<double>(nodes.peerBytes) / count / (elapsedSeconds * options_.timeScale);
        result.controlCpuShare = toMilliseconds(nodes.controlCpu) / 1000 / count
            / (elapsedSeconds * options_.timeScale);
        result.platformCalls = nodes.platformCalls;
        result.hedges = nodes.hedges;
        result.retries = nodes.retries;
    }

    const ExperimentOptions &options_;
    LocalCluster cluster_;
    LoadClient client_;
    Instant startedAt_;
    bool warmedUp_ = false;
    LedgerLine computeAtWarmUp_;
    bool slowdownApplied_ = false;
    std::size_t crashCount_ = 0;
};

} // namespace

Result<ExperimentReport> runExperiment(const ExperimentOptions &options,
                                       const std::function<void(const std::string &)> &progress)
{
    ExperimentReport report { .profile = std::string(options.profile.name), .seed = options.seed };
    for (const std::string &policy : options.policies) {
        progress("running " + policy + " for " + std::to_string(options.seconds) + " s");
        PolicyRun run(options, policy);
        auto metrics = run.run();
        if (!metrics.has_value()) {
            return tl::make_unexpected(metrics.error());
        }
        report.policies.emplace_back(policy, *metrics);
    }
    return report;
}

} // namespace jacinthroad
