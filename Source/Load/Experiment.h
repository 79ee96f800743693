#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Core/Error.h"
#include "Load/LoadReport.h"
#include "Load/Workload.h"

namespace jacinthroad {

/// Settings of an experiment.
struct ExperimentOptions
{
    Profile profile;
    std::uint64_t seed = 1;
    std::vector<std::string> policies;
    /// Length of one policy's run on the clock, in seconds.
    double seconds = 8;
    double timeScale = 4;
    std::size_t nodes = 7;
    /// Demand as a multiple of the profile's.
    double demand = 1;
    /// Engines slowed by `slowFactor` from a quarter of the run on.
    std::size_t slowServers = 0;
    double slowFactor = 4;
    /// Engines crashed, one after the other, from a third of the run on.
    std::size_t crashes = 0;
    std::uint32_t sampleOneIn = 16;
};

/// Runs the same requests under each policy, one after the other, each on fresh stand-ins.
/// `progress` is called with lines for people.
[[nodiscard]] Result<ExperimentReport>
runExperiment(const ExperimentOptions &options,
              const std::function<void(const std::string &)> &progress);

} // namespace jacinthroad
