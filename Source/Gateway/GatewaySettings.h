#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Core/Log.h"
#include "Core/Schema.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The settings of one node that routes requests by host and path to listed backend servers.
struct GatewaySettings
{
    std::string name;
    std::string zone;

    /// All addresses are `IP:port`.
    std::string callerAddress;
    std::string readinessAddress;
    std::string readinessPath;
    std::string metricsAddress;
    std::string peerAddress;
    /// Empty if the node helps no others and no others help it.
    std::string forwardingAddress;
    std::string storeAddress;

    /// Link of this node in Mbit/s; 0 if it is not known.
    double linkMbps = 0;

    /// Memory that this process may use, in units of 1,000,000 bytes.
    double memoryMb = 128;

    /// Time after which a revoked key must be rejected.
    Duration keyRevocation {};
    /// Time within which a new configuration must be in force.
    Duration configurationLimit {};
    /// Time from SIGTERM to SIGKILL.
    Duration stopGrace {};
    /// Time within which the former holder of a lease may still send orders.
    Duration lease {};
    /// Time within which all servers must run the desired weights.
    Duration weightsLimit {};
    /// Share of requests that may be retried, over all nodes.
    double retryShare = 0;
    /// Number of retries above that share that all nodes together may send in a window.
    double retryAllowance = 0;
    Duration retryWindow {};

    LogOptions log;
};

/// The schema of a gateway's settings file.
[[nodiscard]] const ObjectSchema &gatewaySettingsSchema();

/// True if a settings text describes a gateway rather than a node with its own interface.
[[nodiscard]] bool isGatewaySettings(std::string_view text);

/// Returns every error in a settings text, each as one line `FILE:LINE: field 'PATH': ...`.
[[nodiscard]] std::vector<std::string> checkGatewaySettings(std::string_view text,
                                                            std::string_view fileName);

/// Parses a settings text; fails with InvalidSettings and the lines of checkGatewaySettings()
/// unless all of them are those of unknownGatewaySettings().
[[nodiscard]] Result<GatewaySettings> readGatewaySettings(std::string_view text,
                                                          std::string_view fileName);

} // namespace jacinthroad
