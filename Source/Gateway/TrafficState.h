#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Fleet/Freshness.h"
#include "Fleet/ListedServer.h"
#include "Fleet/RouteTable.h"
#include "Gateway/ConnectionPool.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/GatewaySettings.h"
#include "Placement/AttemptBudget.h"
#include "Placement/QueueLimit.h"
#include "Placement/ServerPool.h"

namespace jacinthroad {

/// All that the traffic thread decides by. Only that thread touches it; the control thread posts
/// changes to its io_context.
class TrafficState
{
public:
    TrafficState(boost::asio::io_context &context, const GatewaySettings &settings,
                 GatewayMetrics &metrics);

    /// Takes changed bounds of a settings file.
    void applySettings(const GatewaySettings &settings);
    /// Takes the number of nodes, among which budgets of the whole fleet are divided.
    void setNodeCount(std::size_t count);
    /// Takes a newer configuration; an older one is ignored.
    void applyConfiguration(std::shared_ptr<const RouteTable> routes);
    /// Takes the whole list of servers as the platform has it.
    void applyServers(const std::vector<ListedServer> &servers, Instant now);

    boost::asio::io_context &context;
    const GatewaySettings settings;
    GatewayMetrics &metrics;

    /// Null before the first configuration.
    std::shared_ptr<const RouteTable> routes;
    Freshness freshness;
    ServerPool pool;
    ConnectionPool connections;
    AttemptBudget retryBudget;
    QueueLimit queueLimit { {} };

    /// True once the list of servers has been read.
    bool serverListLoaded = false;
    /// Set by SIGTERM: answers ask callers to leave.
    bool draining = false;
    Instant drainingSince;
    /// Caller connections that carry a request now.
    unsigned activeRequests = 0;

    /// Called when peers should hear of a send or of its first byte.
    std::function<void()> notifyPeersSoon = [] {};

    /// Age from which a peer's configuration counts as old, so that it wants this node's word.
    [[nodiscard]] Duration outdatedConfigurationAge() const;
    /// Bounds on what callers send: the configuration's, or the usual ones before the first.
    [[nodiscard]] CallerLimits limits() const;
    /// True where new connections are welcome.
    [[nodiscard]] bool ready() const;
    /// True while requests are taken: a stopping node takes them until the balancer has left it,
    /// and none after that which it might have to cut.
    [[nodiscard]] bool acceptsRequests(Instant now) const;

private:
    /// The bounds in force, which a reload may have changed.
    GatewaySettings currentSettings_;
    std::size_t nodeCount_ = 0;
    std::unordered_map<ServerId, bool> listedServers_;
};

} // namespace jacinthroad
