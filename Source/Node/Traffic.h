#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "Configuration/Configuration.h"
#include "Http/HttpClient.h"
#include "Node/ControlLoop.h"
#include "Node/NodeSettings.h"

namespace jacinthroad {

/// What traffic threads see of the control state: an immutable snapshot, swapped on change.
struct NodeView
{
    std::shared_ptr<const Configuration> configuration;
    bool draining = false;
    /// True once a configuration is in force.
    bool ready = false;
};

/// What sessions use: the way to the control thread, the backend-side clients and the snapshot.
struct Traffic
{
    const NodeSettings &settings;
    ControlLoop &control;
    std::vector<std::unique_ptr<HttpClient>> clients;
    std::atomic<std::shared_ptr<const NodeView>> view;

    /// The client of one session; sessions spread over the clients by number.
    [[nodiscard]] HttpClient &client(std::uint64_t session)
    {
        return *clients[session % clients.size()];
    }
};

} // namespace jacinthroad
