#pragma once

#include <atomic>
#include <barrier>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Disturbance.h"
#include "NodeProcess.h"
#include "RunLog.h"

namespace jacinthroad {

/// Counts of injected faults, shared by the threads that inject them.
struct FaultCounts
{
    std::atomic<unsigned> stops { 0 };
    std::atomic<unsigned> kills { 0 };
    std::atomic<unsigned> pauses { 0 };
    std::atomic<unsigned> reloads { 0 };
    std::atomic<unsigned> earlySignals { 0 };
    std::atomic<unsigned> commonRestarts { 0 };
    std::atomic<unsigned> configurations { 0 };
    std::atomic<unsigned> storeRestores { 0 };
    std::atomic<unsigned> releases { 0 };
    std::atomic<unsigned> oddEntries { 0 };
    std::atomic<unsigned> replacements { 0 };
    std::atomic<unsigned> logLimits { 0 };
    std::atomic<unsigned> pausesBesideRejections { 0 };
    std::atomic<unsigned> logStandstills { 0 };
    std::atomic<int> storeCalls { 0 };
    std::mutex endsMutex;
    /// Names of the nodes, with their builds.
    std::vector<std::string> overdueStops;
    std::vector<std::string> unexpectedEnds;
    /// Spans in which the store was away or lacked what had been written; written by one thread.
    std::vector<TimeSpan> storeDisturbances;
    /// Written by one thread.
    std::vector<LinkCut> linkCuts;
    std::vector<WeightsSet> weightsSet;
    /// Requests without end at the addresses for callers, by name of the node; written by one
    /// thread.
    std::map<std::string, std::size_t> endlessRequests;
};

/// A moment at which all nodes are stopped, before any starts again.
struct CommonRestart
{
    Instant at;
    /// All are killed; otherwise each is killed or stopped with SIGTERM.
    bool killsAll = false;
};

/// A moment at which a node is stopped and started again with another build.
struct Replacement
{
    Instant at;
    NodeBuild build = NodeBuild::New;
};

/// Injects faults at one node, one after the other with calm times between them. Signals overlap: a
/// node may be paused, reloaded or killed while it stops.
class NodeFaults
{
public:
    struct Options
    {
        Disturbances disturbances;
        /// Grace period of every stop; unset lets late requests vary it.
        std::optional<Duration> stopGrace;
        std::uint64_t seed = 0;
        /// End of the faults.
        Instant until;
        /// In order.
        std::vector<CommonRestart> commonRestarts;
        /// In order.
        std::vector<Replacement> replacements;
    };

    NodeFaults(NodeProcess &node, Options options, std::barrier<> &allStopped, FaultCounts &counts);

    /// Injects faults until their end; returns with the node running.
    void run();

private:
    void injectFault();
    void stop();
    /// Stops the node, with the faults that overlap a stop; returns with its process ended.
    void endByStop();
    void replace(NodeBuild build);
    void noteOverdue();
    void pause();
    void reload();
    void restartWithAll(bool killsAll);
    void startAgain();
    /// Signals a process that is being started, and stops and starts it again in one case of six.
    void signalEarly();
    void endProcess(bool withTerm);
    /// Starts the node again if its process has ended although nothing ended it.
    void checkRunning();
    [[nodiscard]] bool chance(Disturbance disturbance, int oneIn);
    void wait(int lowMs, int highMs);

    NodeProcess &node_;
    Options options_;
    std::barrier<> &allStopped_;
    FaultCounts &counts_;
    std::mt19937_64 random_;
    /// Lengths of reload series and early signals don't change the other faults of a seed.
    std::mt19937_64 reloadRandom_;
    std::mt19937_64 earlyRandom_;
    std::vector<Disturbance> kinds_;
    unsigned endsOverMemory_ = 0;
};

} // namespace jacinthroad
