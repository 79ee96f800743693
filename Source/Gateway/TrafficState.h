#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/signals2/signal.hpp>

#include "Core/MemoryBudget.h"
#include "Core/ProcessFailure.h"
#include "Fleet/ConfigurationIdentity.h"
#include "Fleet/Freshness.h"
#include "Fleet/ListedServer.h"
#include "Fleet/RouteTable.h"
#include "Fleet/StopSchedule.h"
#include "Fleet/UsualDuration.h"
#include "Gateway/ConfigurationTiming.h"
#include "Gateway/ConnectionPool.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/ReadTurns.h"
#include "Gateway/StreamVersionGate.h"
#include "Gateway/SuspensionLog.h"
#include "Placement/AttemptBudget.h"
#include "Placement/ForwardChoice.h"
#include "Placement/LinkHealth.h"
#include "Placement/QueueLimit.h"
#include "Placement/ServerPool.h"
#include "Placement/ServicePaths.h"
#include "Quarantine/CrashHistory.h"
#include "Retry/RejectionShare.h"

namespace jacinthroad {

/// Which of the connections without a request in progress are closed.
enum class IdleConnections : std::uint8_t {
    /// Those that have carried a request and are kept open for the next one.
    Kept,
    /// Also those whose first request would have arrived by now.
    Overdue,
    All,
};

/// Counts one request as active while it exists.
class ActiveRequest
{
public:
    explicit ActiveRequest(std::shared_ptr<unsigned> count)
        : count_(std::move(count))
    {
        ++*count_;
        noteOpenRequests(1);
    }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;
    ~ActiveRequest()
    {
        --*count_;
        noteOpenRequests(-1);
    }

private:
    std::shared_ptr<unsigned> count_;
};

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
    /// Applies a newer configuration. One that is not newer is ignored; an older one, as a restored
    /// store returns it, is logged too.
    void applyConfiguration(const ConfigurationIdentity &identity,
                            std::shared_ptr<const RouteTable> routes,
                            const ConfigurationTiming &timing = {});
    /// Notes whether the store's configuration can be decoded. While it can't, the one in force may
    /// not be the newest.
    void noteConfigurationReadable(bool readable) { configurationReadable_ = readable; }
    /// How far the configuration in force may be relied on now.
    [[nodiscard]] FreshnessLevel configurationTrust() const;
    /// Notes the version of the configuration in force at a peer.
    void notePeerConfiguration(std::uint64_t version);
    /// Records that a read of the store found nothing newer than the configuration in force at
    /// `moment`. With `mayBeRestored` that proves nothing if a peer has a newer version, which a
    /// restored store has lost.
    void confirmConfiguration(BootInstant moment, bool mayBeRestored);
    /// Applies the platform's complete list of servers; servers missing from it are removed.
    void applyServers(const std::vector<ListedServer> &servers, Instant now);
    /// Applies what a response stated about its server.
    void noteStatement(const ServerInstance &server, const ServerStatement &statement);
    /// Applies desired weights that the store holds, and logs those that are new to this node.
    void noteDesiredWeights(const DesiredWeights &desired, Instant now);
    /// Merges for how long `witness`, a node or an object of the store, says that weights have been
    /// desired, and logs what this node has learned.
    void mergeDesiredWeights(std::span<const DesiredWeightsAge> ages, std::string_view witness,
                             Instant now);
    /// Records that a server has accepted a connection of this node.
    void noteConnected(const ServerId &server, Instant now);
    /// Records that a connection to a server could not be made.
    void noteConnectFailed(const ServerId &server, Instant now);
    /// Records that data was received from a server.
    void noteReceived(const ServerId &server, Instant now);
    /// Records that a connection to a server, opened at `since`, carried the response to a request
    /// sent at `until`, which disproves crashes in between.
    void noteLived(const ServerId &server, Instant since, Instant until);
    /// Applies records of requests that were running on servers that crashed, from a peer or from
    /// the store.
    void mergeCrashes(std::span<const CrashRecord> records, Instant now);

    boost::asio::io_context &context;
    const GatewaySettings settings;
    GatewayMetrics &metrics;

    /// Null before the first configuration.
    std::shared_ptr<const RouteTable> routes;
    Freshness freshness;
    ServerPool pool;
    ConnectionPool connections;
    /// The nodes that help when this one can't reach the backend servers, and the connections to
    /// them, by name.
    ForwardChoice forwarding;
    ConnectionPool peerConnections;
    /// Other nodes have reported lately that they reach backend servers.
    bool othersHaveLinks = false;
    /// Of this node to the backend servers.
    LinkHealth links;
    /// Which services this node can't reach, whatever the reason.
    ServicePaths paths;
    AttemptBudget retryBudget;
    /// What the servers of each service have rejected lately.
    RejectionShare rejections;
    /// Memory for the bodies of requests and responses. Shared with the requests, which may outlive
    /// this object while the event loop is destroyed.
    const std::shared_ptr<MemoryBudget> bodyMemory;
    /// Turns of the connections to servers that send more than any engine. Shared likewise.
    const std::shared_ptr<ReadTurns> readTurns;
    QueueLimit queueLimit { {} };
    /// Hash of the name and the boot of this node, as the reporter of crashes.
    const std::uint64_t crashReporter;
    CrashHistory crashHistory;
    CrashDetector crashDetector;
    StreamVersionGate streamVersions;

    /// When the list of servers was first applied.
    std::optional<Instant> serverListLoadedAt;
    /// Set by SIGTERM. Responses then ask callers to close their connection.
    bool draining = false;
    Instant drainingSince;
    /// What is still done between SIGTERM and the end of the process. Set with `draining`.
    StopSchedule stopSchedule;
    /// Closes connections of callers on which no request is in progress or has arrived.
    boost::signals2::signal<void(IdleConnections)> closeIdleConnections;
    /// True while a connection of a caller is open.
    [[nodiscard]] bool hasCallerConnections() const { return !closeIdleConnections.empty(); }
    /// Ends requests that have no response yet with a refusal or an error, because the process
    /// ends.
    boost::signals2::signal<void()> answerOpenRequests;

    /// Called when peers should be notified of a sent request or of the first byte of its response.
    std::function<void()> notifyPeersSoon = [] {};

    /// Returns true if another node has links to the servers of a service.
    std::function<bool(const ServiceId &)> peersHaveLinks = [](const ServiceId &) { return false; };

    /// Called when a server has asked for a pause, which binds the node's own calls too.
    std::function<void()> onServerPaused = [] {};

    /// Counts a request from its first byte until its response is written and, unless the
    /// connection stays open, the connection is closed.
    [[nodiscard]] ActiveRequest beginRequest() { return ActiveRequest(activeRequests_); }
    [[nodiscard]] unsigned activeRequests() const { return *activeRequests_; }

    /// Identity of `routes`; nothing before the first configuration.
    [[nodiscard]] const std::optional<ConfigurationIdentity> &configuration() const
    {
        return configuration_;
    }
    /// Age from which the configuration of a peer counts as outdated, so that the peer needs a
    /// confirmation from this node.
    [[nodiscard]] Duration outdatedConfigurationAge() const;
    /// Limits on what callers send: those of the configuration, or defaults before the first one.
    [[nodiscard]] CallerLimits limits() const;
    /// True if the balancer may send new connections to this node. A node without links to the
    /// servers is ready if others can help, and if all are alike.
    [[nodiscard]] bool ready() const;
    /// Returns the time within which a request that has arrived at `now` is served, at most
    /// `limit`; nothing if the node is stopping and must refuse it.
    [[nodiscard]] std::optional<Duration> serviceLimit(const Route &route, Duration limit,
                                                       Instant now) const;
    /// False in a stop once the balancer has left: callers may still use idle connections before.
    [[nodiscard]] bool callersMayStay(Instant now) const;
    /// True in a stop once callers have had the time to move away. Each connection is kept only for
    /// requests that have been read.
    [[nodiscard]] bool readsNoFurtherRequests(Instant now) const;
    /// Records how long a request of a route took to complete.
    void noteCompleted(const Route &route, Duration duration);

private:
    /// True if streams can be sent, or if the versions for that are overdue.
    [[nodiscard]] bool readyForStreams(Instant now) const;
    /// Returns what a refused connection tells of a server. If all nodes have lost their links, the
    /// servers have failed.
    [[nodiscard]] RefusalCause causeOfRefusal(const ServerId &server, Instant refusedAt);
    /// Records that a server crashed while it ran a request.
    void noteCrash(const ServerId &server, const LostRequest &loss);
    void rememberPart(const SharedPart &part);
    void logQuarantined(const DeniedRequest &denied) const;

    /// The settings in effect, which a reload may have changed.
    GatewaySettings currentSettings_;
    /// Shared with the requests, which may outlive this object while the event loop is destroyed.
    std::shared_ptr<unsigned> activeRequests_ = std::make_shared<unsigned>(0);
    std::size_t nodeCount_ = 0;
    std::optional<ConfigurationIdentity> configuration_;
    bool configurationReadable_ = true;
    /// Content hashes that the version in force had before.
    std::vector<std::uint64_t> replacedContents_;
    /// The highest version in force that a peer has reported.
    std::uint64_t peerConfigurationVersion_ = 0;
    /// The versions for which the node has logged that the store or this node lacks them.
    std::uint64_t loggedOlderVersion_ = 0;
    std::uint64_t loggedPeerVersion_ = 0;
    SuspensionLog suspensionLog_;
    std::unordered_map<ServerId, bool> listedServers_;
    /// By name of the route.
    std::unordered_map<std::string, UsualDuration> usualDurations_;
    /// Names of the parts and groups that this node has seen at crashes, for the log.
    std::unordered_map<RequestFingerprint, std::string> partNames_;
};

} // namespace jacinthroad
