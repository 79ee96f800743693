#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Core/Error.h"
#include "Core/Log.h"
#include "Core/Schema.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The settings of one node that routes by host and path in front of listed backend servers.
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
    std::string storeAddress;

    /// Keys that were taken away must be refused after this time.
    Duration keyRevocation {};
    /// Time in which a new configuration has to be in force.
    Duration configurationLimit {};
    /// Time from SIGTERM to SIGKILL.
    Duration stopGrace {};
    /// Time within which a lease's former holder may still give orders.
    Duration lease {};
    /// Time in which named weights have to be everywhere.
    Duration weightsLimit {};
    /// Share of requests that may be sent again, over all nodes.
    double retryShare = 0;
    /// Repeated sends beyond the share that all nodes together may add in a window.
    double retryAllowance = 0;
    Duration retryWindow {};

    LogOptions log;
};

/// The table of a gateway's settings file.
[[nodiscard]] const ObjectSchema &gatewaySettingsSchema();

/// True where a settings text describes a gateway rather than a node with its own interface.
[[nodiscard]] bool isGatewaySettings(std::string_view text);

/// Every fault of a settings text, each as one line `FILE:LINE: field 'PATH': ...`.
[[nodiscard]] std::vector<std::string> checkGatewaySettings(std::string_view text,
                                                            std::string_view fileName);

/// Reads a settings text; the error joins the lines of checkGatewaySettings().
[[nodiscard]] Result<GatewaySettings> readGatewaySettings(std::string_view text,
                                                          std::string_view fileName);

} // namespace jacinthroad
