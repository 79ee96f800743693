#pragma once

#include <cstddef>
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

/// The state on which the traffic thread bases its decisions. Only that thread accesses it; the
/// control thread posts changes to its io_context.
class TrafficState
{
public:
    TrafficState(boost::asio::io_context &context, const GatewaySettings &settings,
                 GatewayMetrics &metrics);

    /// Applies the changed limits of a reloaded settings file.
    void applySettings(const GatewaySettings &settings);
    /// Sets the number of nodes among which fleet-wide budgets are divided.
    void setNodeCount(std::size_t count);
    /// Applies a newer configuration; one that is not newer is ignored.
    void applyConfiguration(std::shared_ptr<const RouteTable> routes);
    /// Applies the platform's complete list of servers; servers missing from it are removed.
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

    /// True once the list of servers has been applied.
    bool serverListLoaded = false;
    /// Set by SIGTERM. Responses then ask callers to close their connection.
    bool draining = false;
    Instant drainingSince;
    /// Bytes of response bodies that are held until they are complete and sent.
    std::size_t bufferedResponseBytes = 0;
    /// Number of requests being processed.
    unsigned activeRequests = 0;

    /// Called when peers should be notified of a sent request or of the first byte of its response.
    std::function<void()> notifyPeersSoon = [] {};

    /// Age from which the configuration of a peer counts as outdated, so that the peer needs a
    /// confirmation from this node.
    [[nodiscard]] Duration outdatedConfigurationAge() const;
    /// Limits on what callers send: those of the configuration, or defaults before the first one.
    [[nodiscard]] CallerLimits limits() const;
    /// True if the balancer may send new connections to this node.
    [[nodiscard]] bool ready() const;
    /// True while requests are accepted. A draining node accepts them until the balancer has
    /// stopped sending, and none after that because it might have to abort them.
    [[nodiscard]] bool acceptsRequests(Instant now) const;

private:
    /// The settings in effect, which a reload may have changed.
    GatewaySettings currentSettings_;
    std::size_t nodeCount_ = 0;
    std::unordered_map<ServerId, bool> listedServers_;
};

} // namespace jacinthroad
