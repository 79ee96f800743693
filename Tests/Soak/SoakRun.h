#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// Options of one soak run.
struct SoakOptions
{
    /// Path of the `jacinthroad` program.
    std::string program;
    /// Folder for settings files and logs; it is created.
    std::string folder;
    std::uint64_t seed = 1;
    unsigned nodes = 4;
    unsigned clients = 60;
    /// Time during which faults are injected.
    Duration faultTime = std::chrono::seconds(15);
};

/// The result of one soak run.
struct SoakReport
{
    unsigned requests = 0;
    unsigned served = 0;
    /// Requests whose connection closed although no server had begun to run them.
    unsigned closedNotRun = 0;
    unsigned stops = 0;
    unsigned kills = 0;
    unsigned pauses = 0;
    unsigned reloads = 0;
    unsigned configurations = 0;
    /// One line for each broken promise.
    std::vector<std::string> violations;
};

/// Runs nodes as processes before stand-ins of the store and of backend servers, injects faults
/// (stops with SIGTERM, kills, pauses, reloads, new configurations) that overlap between nodes, and
/// judges what callers on open connections saw. Equal seeds yield equal faults; their timing
/// relative to requests varies with the scheduler.
[[nodiscard]] SoakReport runSoak(const SoakOptions &options);

} // namespace jacinthroad
