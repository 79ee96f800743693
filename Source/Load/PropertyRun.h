#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Load/LoadClient.h"
#include "Load/LocalCluster.h"

namespace jacinthroad {

/// What callers and stand-ins counted, held against the promises.
struct OutcomeCounts
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejectedNotRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t brokenStreams = 0;
    std::uint64_t crossedStreams = 0;
    std::uint64_t brokenConnections = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t duplicateExecutions = 0;
    std::uint64_t bookings = 0;
    std::uint64_t sharedSalts = 0;
};

/// Counts the records of a client against the executions of a bench's engines and services.
[[nodiscard]] OutcomeCounts countOutcomes(const LocalCluster &cluster,
                                          const std::vector<CallerRecord> &records);

/// Settings of a property run.
struct PropertyRunOptions
{
    std::uint64_t seed = 1;
    /// Length of the traffic on the clock.
    double seconds = 2;
};

/// The result of one run: the faults in order, and one line for each promise that was broken.
struct PropertyRunResult
{
    std::vector<std::string> faults;
    OutcomeCounts counts;
    std::vector<std::string> violations;
};

/// Three nodes, four engines, a service and the platform under traffic, with faults drawn from
/// the seed, two at a time: engine crash, silent and crossed streams, slow engine, platform
/// outage, lost answers of platform and service, planned stop, node lost and started again.
[[nodiscard]] PropertyRunResult runProperty(const PropertyRunOptions &options);

} // namespace jacinthroad
