#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Tells which services this node can't reach, whether because its links are lost or because the
/// servers have failed: half of the servers of such a service have accepted no connection lately,
/// and no other server of it has accepted one since. Connections that live on prove nothing,
/// because new ones may fail all the same. Does no I/O; the caller passes the time, reports
/// connections and makes the probes that it is asked for, which find the end of the loss.
class ServicePaths
{
public:
    struct Options
    {
        /// How long a failed connection counts.
        Duration evidenceLifetime = std::chrono::seconds(2);
        /// Time between two rounds of probes of a service.
        Duration probeInterval = milliseconds(150);
        /// Number of probes of a round before the service counts as unreachable; one a round then.
        std::size_t probesOfRound = 3;
    };

    ServicePaths() = default;
    explicit ServicePaths(const Options &options)
        : options_(options)
    { }

    /// Sets the listed servers and their services.
    void setServers(const std::map<ServerId, ServiceId> &servers);
    /// Records that a connection to a server could not be made, or was made.
    void noteFailed(const ServerId &server, Instant now);
    void noteReached(const ServerId &server);

    /// True if no server of the service can be reached from here.
    [[nodiscard]] bool unreachable(const ServiceId &service, Instant now) const;
    /// Returns the servers to which a connection is to be opened now as a probe, which is to be
    /// reported as any other.
    [[nodiscard]] std::vector<ServerId> probes(Instant now);

private:
    struct Server
    {
        ServiceId service;
        std::optional<Instant> failedAt;
        Instant probedAt;
    };

    [[nodiscard]] bool hasFailed(const Server &server, Instant now) const;

    Options options_;
    std::map<ServerId, Server> servers_;
    std::map<ServiceId, Instant> probedAt_;
};

} // namespace jacinthroad
