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
    /// Duration of the run of each policy, in seconds of clock time.
    double seconds = 8;
    /// How many times faster than the clock model time runs.
    double timeScale = 4;
    std::size_t nodes = 7;
    /// Request rate as a multiple of the profile's.
    double demand = 1;
    /// Number of engines slowed down by `slowFactor` after a quarter of the run.
    std::size_t slowServers = 0;
    double slowFactor = 4;
    /// Number of engine crashes, evenly spaced over the run after its first third.
    std::size_t crashes = 0;
    std::uint32_t sampleOneIn = 16;
};

/// Runs the same requests under each policy in turn, each on a new cluster. `progress` is called
/// with lines of text for the user. Fails with NotReady when a node does not start and with
/// Internal when requests get no response.
[[nodiscard]] Result<ExperimentReport>
runExperiment(const ExperimentOptions &options,
              const std::function<void(const std::string &)> &progress);

} // namespace jacinthroad
