#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "Configuration/Configuration.h"
#include "Core/MemoryBudget.h"
#include "Http/HttpClient.h"
#include "Node/ControlLoop.h"
#include "Node/NodeSettings.h"

namespace jacinthroad {

/// Immutable snapshot of the control state for the traffic threads, replaced on each change.
struct NodeSnapshot
{
    std::shared_ptr<const Configuration> configuration;
    bool draining = false;
    /// True once a configuration is active.
    bool ready = false;
};

/// Shared by all sessions: settings, control thread, HTTP clients for backends and the snapshot.
struct TrafficContext
{
    const NodeSettings &settings;
    ControlLoop &control;
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::atomic<std::shared_ptr<const NodeSnapshot>> snapshot;
    /// Memory of all that is received and not passed on.
    std::shared_ptr<MemoryBudget> memory
        = std::make_shared<MemoryBudget>(settings.responseMemoryBytes);

    /// The client of one session; sessions are distributed over the clients by number.
    [[nodiscard]] HttpClient &client(std::uint64_t session)
    {
        return *clients[session % clients.size()];
    }
};

} // namespace jacinthroad
