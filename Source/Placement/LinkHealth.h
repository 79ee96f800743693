#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// What a refused connection tells.
enum class RefusalCause : std::uint8_t {
    /// Probes will tell.
    Undecided,
    /// The server listens no more, while this node has links.
    Server,
    /// This node has lost its links to all servers.
    Link,
};

/// Tells whether this node has lost its links to the backend servers as a whole, as opposed to
/// servers that have failed. The links count as lost while servers of several services have
/// accepted no connection and no other server has accepted one since; the links to one service
/// while that holds for several of its servers, which may also have failed. Connections that live
/// on prove nothing, because new ones may fail all the same. Does no I/O; the caller passes the
/// time and makes the probes that update() asks for, which find the servers that still accept
/// connections, and the end of the loss.
class LinkHealth
{
public:
    struct Options
    {
        /// Time after which a connection that is not accepted yet counts as failed. Servers in the
        /// same region accept one within a few milliseconds.
        Duration connectTime = milliseconds(150);
        /// Time without data from any server of a service, while requests wait for some, after
        /// which its servers are probed.
        Duration silence = milliseconds(250);
        /// How long a failed connection counts.
        Duration evidenceLifetime = std::chrono::seconds(2);
        /// Time between two rounds of probes.
        Duration probeInterval = milliseconds(150);
        /// Number of servers, and of services unless fewer are known, that must have failed. With
        /// fewer servers a lost link can't be told from their failure.
        std::size_t servers = 3;
        std::size_t services = 3;
        /// Time after an accepted connection in which servers of other services are not probed for
        /// a failure.
        Duration provenTime = milliseconds(300);
        /// Maximum number of probes of a round before the links count as lost; one a round then.
        std::size_t probesOfRound = 3;
    };

    /// Interval at which update() is to be called.
    static constexpr Duration UpdateInterval = milliseconds(50);

    LinkHealth() = default;
    explicit LinkHealth(const Options &options)
        : options_(options)
    { }

    /// Sets the listed servers and their services. Only these count, and are probed.
    void setServers(std::map<ServerId, ServiceId> servers);
    /// Records that a connection to a server is being opened. One of the next three calls follows.
    void noteConnecting(const ServerId &server, Instant now);
    void noteConnected(const ServerId &server, Instant now);
    void noteConnectFailed(const ServerId &server, Instant now);
    /// Records a refused connection that no noteConnecting() has announced.
    void noteRefused(const ServerId &server, Instant now);
    /// Records that an attempt to connect was given up, which proves nothing.
    void noteConnectAbandoned(const ServerId &server);
    /// Records that a request was sent to a server, which is to send data for it.
    void noteSent(const ServerId &server, Instant now);
    /// Records data from a server.
    void noteReceived(const ServerId &server, Instant now);

    /// Judges the connections that are being opened, and returns the servers to be probed now by
    /// opening a connection, which is to be reported as any other. To be called at UpdateInterval;
    /// a longer interval, as after a stall of the calling thread, proves nothing.
    [[nodiscard]] std::vector<ServerId> update(Instant now);

    /// True if this node has lost its links to the servers as a whole.
    [[nodiscard]] bool lost(Instant now) const;
    /// True if the servers of a service accept no connection of this node. Only other nodes can
    /// tell whether the link is to blame.
    [[nodiscard]] bool lost(const ServiceId &service, Instant now) const;
    /// Returns the services for which that holds.
    [[nodiscard]] std::set<ServiceId> lostServices(Instant now) const;
    /// Returns what a connection that was refused at `refusedAt` tells. With few servers it counts
    /// as their failure.
    [[nodiscard]] RefusalCause causeOfRefusal(const ServerId &server, Instant refusedAt,
                                              Instant now) const;
    /// Number of servers that have failed to accept a connection recently.
    [[nodiscard]] std::size_t failedServers(Instant now) const;
    [[nodiscard]] std::size_t listedServers() const { return servers_.size(); }

private:
    struct Listed
    {
        ServiceId service;
        /// Connections that are being opened, and the begin of the oldest one that counts.
        unsigned connecting = 0;
        std::optional<Instant> connectingSince;
        /// When a connection failed last, and when it was begun, unless a server of the service has
        /// accepted one since.
        std::optional<Instant> failedAt;
        Instant failedBegin;
        std::optional<Instant> probedAt;
        std::optional<Instant> receivedAt;
    };

    [[nodiscard]] Listed *find(const ServerId &server);
    [[nodiscard]] bool hasFailed(const Listed &server, Instant now) const;
    /// The same if no server of any service has accepted a connection since.
    [[nodiscard]] bool hasFailedLast(const Listed &server, Instant now) const;
    static void endAttempt(Listed &server);
    /// Returns the servers that are worth a probe, the best ones first.
    [[nodiscard]] std::vector<std::map<ServerId, Listed>::iterator> probeOrder(Instant now);

    Options options_;
    std::map<ServerId, Listed> servers_;
    /// When the first request was sent to each service since data arrived from it.
    std::map<ServiceId, Instant> waitingSince_;
    /// When a server last accepted a connection, and a server of each service.
    std::optional<Instant> connectedAt_;
    std::map<ServiceId, Instant> serviceConnectedAt_;
    std::optional<Instant> updatedAt_;
    std::optional<Instant> probedAt_;
};

} // namespace jacinthroad
