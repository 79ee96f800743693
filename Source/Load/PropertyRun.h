#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Load/LoadClient.h"
#include "Load/LocalCluster.h"

namespace jacinthroad {

/// Request outcomes as callers and stand-ins counted them, including violated guarantees.
struct OutcomeCounts
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t rejectedNotRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t brokenStreams = 0;
    /// Streams with a token or event id of another request.
    std::uint64_t crossedStreams = 0;
    std::uint64_t brokenConnections = 0;
    /// Requests rejected as not run that had run.
    std::uint64_t falseNotRun = 0;
    /// Bookings that ran more than once.
    std::uint64_t duplicateExecutions = 0;
    std::uint64_t bookings = 0;
    /// Prompts that reached an engine under another team's cache salt.
    std::uint64_t sharedSalts = 0;
};

/// Compares a client's records with the executions of a cluster's engines and services.
[[nodiscard]] OutcomeCounts countOutcomes(const LocalCluster &cluster,
                                          const std::vector<CallerRecord> &records);

/// Settings of a property run.
struct PropertyRunOptions
{
    std::uint64_t seed = 1;
    /// Duration of the traffic in seconds of clock time.
    double seconds = 2;
};

/// The result of one run: the injected faults in order, and one line for each violation.
struct PropertyRunResult
{
    std::vector<std::string> faults;
    OutcomeCounts counts;
    std::vector<std::string> violations;
};

/// Sends traffic to three nodes, four engines, a service and the platform and injects faults drawn
/// from the seed, two at a time: engine crash with and without a restart, stalled and crossed
/// streams, slow engine, platform outage, lost responses of the platform and the service, node
/// killed and restarted.
[[nodiscard]] PropertyRunResult runProperty(const PropertyRunOptions &options);

} // namespace jacinthroad
