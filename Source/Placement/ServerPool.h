#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Fleet/CallerRequest.h"
#include "Fleet/DesiredWeightsHistory.h"
#include "Fleet/FleetConfiguration.h"
#include "Fleet/ListedServer.h"
#include "FleetPeers/NodeDigest.h"
#include "Placement/CachedPartSet.h"
#include "Placement/ReportingPeers.h"
#include "Placement/ServerStatements.h"
#include "Placement/UnfinishedResponses.h"

namespace jacinthroad {

/// The properties of a request that its placement depends on.
struct PlacementRequest
{
    ServiceId service;
    /// Empty for a plain service.
    ModelId model;
    /// The prompt parts that other requests may share.
    std::span<const PromptPart> parts;
    /// Requests share cached parts only with those of the same scope; see
    /// RouteTable::cacheScope().
    std::string_view cacheScope;
    std::uint32_t promptTokens = 0;
    /// Servers that this request must not be sent to again.
    std::span<const ServerId> tried;
    /// The server that takes the request if it can; null for the one with the lowest cost.
    const ServerId *preferred = nullptr;
    /// True if no other server than the preferred one may take it.
    bool onlyPreferred = false;
    /// Spreads the return of callers that are refused together.
    std::uint64_t seed = 0;
    /// The software versions of the servers that may take it; null for any.
    const std::set<SoftwareVersion> *softwareVersions = nullptr;
    /// Name of the route; empty if what servers did for others of it doesn't matter.
    std::string_view route;
};

/// The server chosen for a request.
struct Placement
{
    ServerId server;
    std::string address;
    /// Boot time of the server in Unix milliseconds.
    std::int64_t bootedAt = 0;
    SoftwareVersion softwareVersion;
    /// Version of the weights that the server is known to run; none if it runs no model.
    std::optional<WeightsVersion> weights;
    /// Prompt tokens that the server is believed to have cached.
    std::uint32_t cachedPromptTokens = 0;
    /// Prompt tokens that it will have cached after it has fetched from `fetchFrom`; 0 without one.
    std::uint32_t tokensAfterFetch = 0;
    /// `IP:port` of a server with the same weights, or of the store, that has more of the prompt
    /// cached; empty if there is none.
    std::string fetchFrom;
    /// `IP:port` of the store that the parts are to be saved to; empty if it has them already, if
    /// they are being saved, or if there is no store.
    std::string saveTo;
    /// The cost that was minimized: expected milliseconds to the first byte, including the penalty
    /// for recomputing shared parts.
    double cost = 0;
    /// Expected wait behind other requests before the prefill starts.
    Duration wait {};
    /// Expected time of the request's own prefill.
    Duration prefillTime {};
    /// Number of servers that could have taken the request.
    unsigned candidates = 0;
};

/// No server can take the request now.
struct NoPlacement
{
    /// Time after which a retry is worthwhile.
    Duration retryAfter {};
    /// Number of listed servers of the service, whatever their state.
    unsigned listed = 0;
    /// What the server that takes requests again first has stated, if servers would have taken the
    /// request but for that.
    SendPermission withheld;
};

/// The weights of one engine and this node's requests in flight on it.
struct EngineLoad
{
    ServerId server;
    ModelId model;
    WeightsVersion weights = 0;
    unsigned inFlight = 0;
    /// Whether this node may send status reports and orders to it.
    SendPermission permission;
};

/// Events reported by the cache of one server, or by a cache store.
struct CacheEvents
{
    /// The cache has restarted, so everything known of it before is void.
    bool restarted = false;
    std::vector<CachedPart> stored;
    std::vector<std::uint64_t> removed;
};

/// The outcome of an attempt as far as it concerns the server's health.
enum class AttemptOutcome : std::uint8_t {
    Served,
    /// The server responded that it did not run the request.
    Rejected,
    /// The request failed on the server.
    Failed,
    /// The server could not be reached or stopped responding.
    Unreachable,
    /// Another server has taken over the request because this one sent nothing for a while.
    Silent,
    /// The caller disconnected or the time ran out; not attributed to the server.
    Abandoned,
};

/// On what evidence a server gets no requests for a while.
enum class SuspensionCause : std::uint8_t {
    /// This node could not connect to it.
    NotConnected,
    /// It ended a connection without a response, or runs under another name.
    ConnectionLost,
    /// It has sent nothing for longer than the work ahead explains.
    Silent,
    /// Several requests in a row failed on it.
    Failed,
    /// It leaves requests of a route without an end that the other servers of its service answer.
    Unfinished,
    /// A peer, or another zone, could not reach it.
    PeerReport,
    /// A peer, or another zone, knows that it is leaving or no longer listed.
    Leaving,
};

/// A server that gets no requests for `time`.
struct Suspension
{
    ServerId server;
    SuspensionCause cause = SuspensionCause::NotConnected;
    /// The peer that reported it; empty without one.
    std::string_view peer;
    Duration time {};
    /// The route whose requests it gets none of, how long a response was not complete, and what the
    /// others usually take; empty if it gets no requests at all.
    std::string_view route;
    Duration ran {};
    Duration usual {};
};

/// Whose load a peer's update reports.
enum class PeerScope : std::uint8_t {
    /// That of one node.
    Node,
    /// That of one node that has lost its links to the servers, whose reports of loads, silence and
    /// unreachable servers say nothing about the servers.
    NodeWithoutLinks,
    /// The sum over the nodes of another availability zone.
    Zone,
};

/// Name under which the sums of an availability zone are kept beside the loads of nodes.
[[nodiscard]] std::string zonePeerName(std::string_view zone);

/// The backend servers as one node sees them, from the platform's list, the responses, the peers
/// and the requests that this node has sent. Chooses the server with the lowest expected time to
/// the first byte, to which a penalty for recomputing shared prompt parts is added. Does no I/O;
/// the caller passes the time.
class ServerPool
{
public:
    struct Options
    {
        /// The node's own availability zone.
        ZoneId zone;
        /// Milliseconds to the first byte for each token of the prompt that is not cached, and for
        /// each token of requests ahead that is not prefilled yet. They include the slowdown by
        /// other VMs on the same hosts at usual load.
        double prefillMsPerToken = 0.025;
        double queuedMsPerToken = 0.019;
        /// Penalty for recomputing a shared token, as a multiple of its prefill time and in
        /// addition to it.
        double recomputeWeight = 1.5;
        /// Milliseconds to fetch cached parts from another server, plus milliseconds for each
        /// thousand tokens.
        double fetchMs = 4;
        double fetchMsPerThousand = 1;
        /// The latter for the store, where all servers share one network link.
        double storeMsPerThousand = 6;
        /// Milliseconds that each request on an engine adds to the time to first token of the next.
        double engineLoadMs = 0.5;
        /// Processing time of a plain service's request, in milliseconds.
        double serviceWorkMs = 40;
        /// Penalty for a server in another availability zone, in milliseconds.
        double otherZoneMs = 1;
        /// Time without any data after which a server with requests counts as unresponsive, in
        /// addition to twice the expected time of the work ahead. It covers the time that a live
        /// server may wait for its CPU.
        Duration unresponsiveAfter = milliseconds(350);
        /// Penalty for outdated weights, in milliseconds. Work on outdated weights is worth a fifth
        /// less, which equals the cost of that delay in late first tokens.
        double outdatedWeightsMs = 80;
        /// Penalty for a server that names a limit, in milliseconds; about the prefill of a long
        /// prompt.
        double limitedServerMs = 200;
        /// Time after newer weights became desired from which a server with older ones gets no
        /// work.
        Duration outdatedWeightsGrace = std::chrono::seconds(12);
    };

    explicit ServerPool(const Options &options);

    /// Called when a server is suspended, or its suspension lasts longer.
    std::function<void(const Suspension &, Instant now)> onSuspended
        = [](const Suspension &, Instant) {};

    /// Applies the services of a new configuration.
    void applyServices(std::span<const ServiceDefinition> services);
    /// Adds or updates a server as the platform lists it now.
    void applyServer(const ListedServer &server, Instant now);
    /// Removes a server that the platform no longer lists, and reports it to peers that have not
    /// read the new list yet.
    void removeServer(const ServerId &id, Instant now);
    /// Returns the listed server, or null.
    [[nodiscard]] const ListedServer *listed(const ServerId &id) const;
    /// Returns the listed servers of a service without this one, in no order.
    [[nodiscard]] std::vector<ServerId> othersOf(const ServiceId &service,
                                                 const ServerId &id) const;
    /// Applies the newest weights that operators have set as desired. Returns true if they are new
    /// to this node.
    bool applyDesiredWeights(const DesiredWeights &desired, Instant now);
    /// Merges how long ago a peer first saw weights to be desired. A node that has just started
    /// knows only which weights are desired, not since when. Returns what this node has learned.
    std::vector<DesiredWeightsAge>
    applyDesiredWeightsAges(std::span<const DesiredWeightsAge> reportedAges, Instant now);
    /// Returns how long ago this node, or a peer that reported it, first saw weights to be desired.
    [[nodiscard]] std::vector<DesiredWeightsAge> desiredWeightsAges(Instant now) const;
    /// Records the weights that a response reported for its server.
    void noteWeights(const ServerId &id, const ModelId &model, WeightsVersion version);
    /// Cordons a server until it runs `version` of the model, at most until `until`.
    void cordonForLoad(const ServerId &id, const ModelId &model, WeightsVersion version,
                       Instant until);
    /// Sets the names of this node and of all nodes, which share the limits of servers.
    void setNodes(const std::string &self, std::span<const std::string> names);
    /// Sets the registered peers whose loads are kept: nodes, and zonePeerName() of other zones.
    void setReportingPeers(std::span<const std::string> names);
    /// Applies what a response stated about its server, unless another start of it is listed by
    /// now. Returns what changed.
    ServerStatements::Changes noteStatement(const ServerInstance &server,
                                            const ServerStatement &statement, Instant now);
    /// Records that a request of a route is about to be sent to a server. noteSent() or
    /// noteNotSent() follows.
    void noteSending(const ServerId &id, Instant now, std::string_view route = {});
    /// Records that it was not sent after all.
    void noteNotSent(const ServerId &id);
    /// Records a call of the node itself to a server.
    void noteControlCall(const ServerId &id, Instant now);
    /// Returns the number of listed servers whose statements keep requests from them, by reason.
    [[nodiscard]] std::map<WithholdReason, std::size_t> withheldServers(Instant now) const;
    /// Applies a peer's updates: its requests in flight, weight loads in progress and weights seen.
    /// The peer has no links to the servers of `lostServices`.
    void applyPeer(const std::string &peer, std::span<const ServerUpdate> updates, Instant now,
                   PeerScope scope = PeerScope::Node, std::span<const ServiceId> lostServices = {});
    /// Applies the cache events of a server or store.
    void applyCacheEvents(const ServerId &id, const CacheEvents &events);
    /// Queues all cached parts of a server or store to be sent to the peers again, as when a peer
    /// has just started. Parts that are queued already stay where they are.
    void resendCachedParts(const ServerId &id);
    /// Returns the updates for the peers since the last call, with at most `maxParts` prompt parts
    /// and about `maxBytes` when encoded. The rest follows with the next calls: servers not to be
    /// used come first and are never left out, then those that were not reported for longest.
    [[nodiscard]] std::vector<ServerUpdate>
    takeServerUpdates(Instant now, std::size_t maxParts,
                      std::size_t maxBytes = std::numeric_limits<std::size_t>::max());
    /// Returns the sums over this node and the nodes that report to it, for other availability
    /// zones, of about `maxBytes` when encoded. The rest follows with the next calls: servers not
    /// to be used come first, then those that were not reported for longest.
    [[nodiscard]] std::vector<ServerUpdate> takeZoneSummary(Instant now, std::size_t maxBytes);
    /// Returns true while prompt parts are left to send to the peers.
    [[nodiscard]] bool hasPendingParts() const;

    /// Chooses a server for a request.
    [[nodiscard]] std::variant<Placement, NoPlacement> choose(const PlacementRequest &request,
                                                              Instant now) const;

    /// Records that a request was sent to a server that has `cachedPromptTokens` of it cached.
    void noteSent(const ServerId &id, const PlacementRequest &request,
                  std::uint32_t cachedPromptTokens, Instant now);
    /// Records the first byte of the response to a request that was sent while the server ran
    /// `weights`: the prefill of its `prefilledTokens` is complete.
    void noteFirstByte(const ServerId &id, const PlacementRequest &request,
                       std::optional<WeightsVersion> weights, std::uint32_t prefilledTokens);
    /// Records that a server has accepted a connection, which proves the links of this node.
    void noteConnected(const ServerId &id, Instant now);
    /// Sets the services to whose servers this node has lost its links. Meanwhile it reports
    /// nothing that it finds out about its link; at the end no server stays suspended because of
    /// that.
    void setLostServices(std::set<ServiceId> lost);
    /// Records that a server could not be reached, so that nothing was sent to it.
    void noteUnreachable(const ServerId &id, Instant now);
    /// Records the end of a request that was sent. `unprefilledTokens` are the tokens that
    /// noteFirstByte() has not subtracted.
    void noteEnd(const ServerId &id, AttemptOutcome outcome, std::uint32_t unprefilledTokens,
                 Instant now);
    /// Records that a server has answered a request of a route, or has sent the first event of a
    /// stream, `after` it was sent.
    void noteAnswered(const ServerId &id, std::string_view route, Duration after, Instant now);
    /// Records an attempt that was ended, at its limit or by the caller, without an answer.
    void noteUnfinished(const ServerId &id, std::string_view route,
                        const UnfinishedAttempt &attempt, Instant now);
    /// Records that a server has ended a stream `after` its request was sent.
    void noteStreamEnded(const ServerId &id, std::string_view route, Duration after, Instant now);
    /// Records a stream with events that was ended, at its limit or by the caller, before its
    /// server has ended it.
    void noteUnfinishedStream(const ServerId &id, std::string_view route,
                              const UnfinishedAttempt &attempt, Instant now);
    /// Records that data was received from a server.
    void noteReceived(const ServerId &id, Instant now);
    /// Returns true while a server with requests in flight has sent no data to any node for longer
    /// than the work ahead explains; it has probably failed.
    [[nodiscard]] bool unresponsive(const ServerId &id, Instant now) const;
    /// Returns the weights that each model engine is known to run and the requests in flight on it.
    [[nodiscard]] std::vector<EngineLoad> engineLoads(Instant now) const;
    /// Returns the `IP:port` of all cache stores and of the engines that neither name a limit nor
    /// ask for a pause, to be read for cache events.
    [[nodiscard]] std::map<ServerId, std::string> cacheAddresses(Instant now) const;

private:
    /// The load on a server that one peer reported.
    struct PeerLoad
    {
        unsigned inFlight = 0;
        std::uint32_t pendingPrefillTokens = 0;
        std::uint32_t silentMs = 0;
        /// End of the time for which the peer avoids a server that it could not reach.
        Instant unreachableUntil;
        Instant at;
        PeerScope scope = PeerScope::Node;
    };

    struct Server
    {
        ListedServer facts;
        std::uint64_t hash = 0;
        CachedPartSet cache { 0 };
        unsigned inFlight = 0;
        /// Requests that are about to be sent.
        unsigned sending = 0;
        /// Prompt tokens sent and not prefilled yet.
        std::uint64_t pendingPrefillTokens = 0;
        ServerStatements statements;
        /// When this boot of the server was first listed, and when its limit last changed.
        Instant listedAt;
        Instant limitChangedAt;
        unsigned inFlightAtLoad = 0;
        unsigned failures = 0;
        /// End of the pause after requests that it rejected or that failed on it.
        Instant pausedUntil;
        /// When this node could not reach it, and the end of the suspension for that.
        Instant unreachableAt;
        Instant avoidedUntil;
        /// End of the suspension because it was silent; it ends before when data arrives.
        Instant silentUntil;
        /// End of the suspensions that peers reported: because it is leaving or no longer listed,
        /// and the latest one because they could not reach it.
        Instant leavingUntil;
        Instant unreachableForPeersUntil;
        /// When it last sent data to this node or accepted a connection, unless this node could not
        /// reach it since.
        std::optional<Instant> reachedAt;
        /// When data was last received, or when the first of the current requests was sent.
        Instant lastReceivedAt;
        /// Weights that it is to load; it is cordoned until `cordonedUntil` for it.
        ModelId loadingModel;
        WeightsVersion loadingVersion = 0;
        Instant cordonedUntil;
        /// The peer that reported the cordon; empty if this node set it.
        std::string cordonedBy;
        /// Keyed by the hashes of the peers' names.
        std::unordered_map<std::uint64_t, PeerLoad> peers;
        /// Parts sent to it, prefilled by it and removed from it that no digest has reported yet.
        std::vector<CachedPart> pendingSent;
        std::vector<CachedPart> pendingPrefilled;
        std::vector<std::uint64_t> pendingRemoved;
        /// State in the last digest; servers without a change are left out of the next one.
        unsigned reportedInFlight = 0;
        WeightsVersion reportedWeights = 0;
        bool reportedCordoned = false;
        /// When it was last in a summary for other zones, and what that reported.
        Instant summarizedAt;
        bool summarizedLoad = false;
        bool summarizedCordon = false;
        /// The value of `updateRound_` at which it was last reported.
        std::uint64_t reportedRound = 0;
    };

    /// Returns the listed server, or null.
    [[nodiscard]] Server *find(const ServerId &id);
    void noteWeights(Server &server, const ModelId &model, WeightsVersion version);
    /// Returns true if newer weights are desired.
    [[nodiscard]] bool runsOutdatedWeights(const Server &server, const ModelId &model) const;
    /// Returns true if newer weights have been desired for so long that these must not be used.
    [[nodiscard]] bool outdatedWeightsExpired(const Server &server, const ModelId &model,
                                              Instant now) const;
    [[nodiscard]] bool unresponsive(const Server &server, Instant now) const;
    void noteUnfinished(UnfinishedResponses &responses, const ServerId &id, std::string_view route,
                        const UnfinishedAttempt &attempt, Instant now);
    void forgetUnfinished(const ServerId &id);
    void applyPeerLoad(Server &server, const std::string &peer, const ServerUpdate &update,
                       Instant now, PeerScope scope);
    /// Returns true once nothing depends on a peer's report any more.
    [[nodiscard]] static bool expired(const PeerLoad &load, Instant now);
    /// Removes those reports, from time to time.
    void removeExpiredLoads(Instant now);
    void noteLeaving(Server &server, const std::string &peer, const ServerUpdate &update,
                     Instant now);
    /// Returns true while a server gets no requests after failures, or because of what peers
    /// report.
    [[nodiscard]] static bool suspended(const Server &server, Instant now);
    /// Returns until when peers avoid a server that they could not reach, as far as nothing speaks
    /// against it: fresh data for this node or for another peer outweighs the report of a peer,
    /// whose own link may be to blame.
    [[nodiscard]] static Instant unreachableUntil(const Server &server, Instant now);
    /// What this node reports about a server, without prompt parts.
    [[nodiscard]] ServerUpdate updateWithoutParts(const ServerId &id, const Server &server,
                                                  Instant now) const;
    /// The same summed over this node and the nodes that report to it.
    [[nodiscard]] ServerUpdate summaryUpdate(const ServerId &id, const Server &server,
                                             Instant now) const;
    /// Encoded size of an update without its parts, as an upper estimate.
    [[nodiscard]] static std::size_t encodedSizeWithoutParts(const ServerUpdate &update);
    /// Age from which the report of a node is left out of summaries.
    static constexpr Duration SummarizedReportLifetime = std::chrono::seconds(1);
    /// Returns true if a server could take requests, apart from what it stated and from
    /// suspensions after failures.
    [[nodiscard]] bool acceptsWork(const Server &server, Instant now) const;
    /// Returns whether the statements of a server allow this node to send a request.
    [[nodiscard]] SendPermission permission(const Server &server, Instant now) const;
    /// Returns this node's place in the order of nodes of a server; unset if it doesn't know the
    /// nodes.
    [[nodiscard]] std::optional<LimitRank> limitRank(const Server &server) const;
    /// Returns the number of requests of peers that a server has, as they and the server report.
    [[nodiscard]] double loadOfPeers(const Server &server, Instant now) const;
    [[nodiscard]] ServerRoom room(const Server &server, Instant now) const;
    /// Returns the rejections a second that a server tolerates, if it is brittle. Servers of a
    /// service are alike, so the latest statement counts for those that have not responded since.
    [[nodiscard]] std::optional<unsigned> toleratedRejections(const Server &server) const;
    /// Returns the same place, or the last of very many if it is unknown.
    [[nodiscard]] LimitRank placeAmongNodes(const Server &server) const;
    /// What the latest response of any server of a service stated about rejections.
    struct ServiceRejections
    {
        std::optional<unsigned> perSecond;
        Instant observedAt;
    };
    /// The statements of a server that is not listed any more. It may be listed again.
    struct FormerServer
    {
        ServerInstance instance;
        ServerStatements statements;
        Instant forgetAt;
    };
    /// True if the peers may not have heard of a server's limit or of its end.
    [[nodiscard]] static bool hasLimitNews(const Server &server, Instant now);
    /// A store for cached parts outside the servers.
    struct CacheStore
    {
        std::string address;
        CachedPartSet cache { 0 };
        /// Parts being saved to it, with the start times; a transfer may fail without a report.
        std::unordered_map<std::uint64_t, Instant> pendingSaves;
        std::vector<CachedPart> pendingPrefilled;
        std::vector<std::uint64_t> pendingRemoved;
    };

    /// A server or store that parts of the prompt can be fetched from.
    struct Holder
    {
        std::string_view address;
        std::uint32_t tokens = 0;
        bool isStore = false;
    };

    /// The shared parts of a prompt under one version of the weights.
    struct VersionParts
    {
        std::vector<CachedPart> parts;
        /// The available server, or the store, that has most of them cached.
        Holder holder;
    };

    /// Returns the shared parts under each version that a server of the service runs.
    [[nodiscard]] std::map<WeightsVersion, VersionParts>
    versionParts(const PlacementRequest &request, Instant now) const;
    /// Suspends a server that can't be reached, each time for longer.
    void suspend(Server &server, SuspensionCause cause, Instant now);
    void applyOutcome(Server &server, AttemptOutcome outcome, SuspensionCause cause, Instant now);
    /// True if the server is an engine and it isn't known which weights of a model that a request
    /// names it runs, so that nothing tells whose cached parts it would use.
    [[nodiscard]] bool lacksWeights(const Server &server, const ModelId &model) const;
    [[nodiscard]] static WeightsVersion weightsOf(const Server &server, const ModelId &model);
    /// The expected cost of a request on one server, in milliseconds.
    struct Cost
    {
        /// Until its prefill or its processing starts.
        double waitMs = 0;
        /// For its own prefill.
        double prefillMs = 0;
        /// Until the first byte, including the penalty for recomputing shared parts.
        double totalMs = 0;
    };

    [[nodiscard]] Cost cost(const Server &server, const PlacementRequest &request,
                            std::uint32_t cachedPromptTokens, const Holder *source,
                            Instant now) const;
    /// Returns the shared parts as a server with `weights` caches them.
    [[nodiscard]] static std::vector<CachedPart> cachedParts(WeightsVersion weights,
                                                             const PlacementRequest &request);
    [[nodiscard]] static std::uint32_t sharedTokens(const PlacementRequest &request);
    /// Returns true unless the store has all parts cached or all are being saved to it.
    [[nodiscard]] static bool needsSaving(const CacheStore &cacheStore,
                                          std::span<const CachedPart> parts, Instant now);
    static void noteSaving(CacheStore &cacheStore, std::span<const CachedPart> parts, Instant now);
    /// Returns the store of cached parts, or null if the configuration has none.
    [[nodiscard]] const CacheStore *store() const;
    [[nodiscard]] CacheStore *store();
    [[nodiscard]] std::uint64_t cacheCapacity(const ServiceId &service) const;

    Options options_;
    /// Hashes of the names of this node and of all nodes.
    std::uint64_t selfHash_ = 0;
    std::vector<std::uint64_t> nodeHashes_;
    ReportingPeers reportingPeers_;
    Instant expiredLoadsRemovedAt_;
    std::unordered_map<ServiceId, ServiceDefinition> services_;
    std::unordered_map<ServerId, Server> servers_;
    std::unordered_map<ServiceId, ServiceRejections> serviceRejections_;
    /// Servers that the platform no longer lists, and until when they are reported to peers.
    std::map<ServerId, Instant> removedServers_;
    std::map<ServerId, FormerServer> formerServers_;
    /// Keyed by the name of the service.
    std::map<ServerId, CacheStore> stores_;
    DesiredWeightsHistory desiredWeights_;
    /// Requests without an answer, and streams that were answered and have no end.
    UnfinishedResponses unfinished_;
    UnfinishedResponses unfinishedStreams_;
    /// When a server of each service last accepted a connection of this node.
    std::unordered_map<ServiceId, Instant> linksProvenAt_;
    std::set<ServiceId> lostServices_;
    /// Counts the calls of takeServerUpdates().
    std::uint64_t updateRound_ = 0;
};

} // namespace jacinthroad
