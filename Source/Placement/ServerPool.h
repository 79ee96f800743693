#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
#include "Placement/HeldParts.h"

namespace jacinthroad {

/// What placing needs to know of one request.
struct PlacementRequest
{
    ServiceId service;
    /// Empty for a plain service.
    ModelId model;
    /// The parts of the prompt that other requests may share.
    std::span<const PromptPart> parts;
    /// Name of the team where it shares nothing with others; empty otherwise.
    std::string_view wall;
    std::uint32_t promptTokens = 0;
    /// Servers that this request must not go to again.
    std::span<const ServerId> tried;
};

/// The server to send to.
struct Placement
{
    ServerId server;
    std::string address;
    /// Version of the weights that the server is known to run; none where it runs no model.
    std::optional<WeightsVersion> weights;
    /// Tokens of the prompt that it probably holds.
    std::uint32_t heldTokens = 0;
    /// Tokens that it will hold once it has fetched from `fetchFrom`.
    std::uint32_t fetchedTokens = 0;
    /// `IP:port` of a server of the same weights that holds more of the prompt; empty where none
    /// does.
    std::string fetchFrom;
    /// `IP:port` of the store that is to keep the parts; empty where it holds them already.
    std::string saveTo;
    /// The figure by which it was chosen: milliseconds expected until the first byte, with the
    /// price of reading parts again.
    double cost = 0;
    /// The part of it that the request waits behind others before its prompt is read.
    Duration wait {};
    /// The part of it in which its own prompt is read.
    Duration reading {};
    /// Servers that could have taken the request.
    unsigned candidates = 0;
};

/// No server can take the request now.
struct NoPlacement
{
    /// When asking again is worth while.
    Duration retryAfter {};
    /// Servers of the service that are listed, whatever their state.
    unsigned listed = 0;
};

/// The load that a server has reported with an answer.
struct ReportedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    double pace = 1;
};

/// The weights of one engine and the requests that this node has on it.
struct EngineLoad
{
    ServerId server;
    ModelId model;
    WeightsVersion weights = 0;
    unsigned inFlight = 0;
};

/// What the events of one server's cache, or of a cache store, told.
struct CacheEvents
{
    /// Nothing of before holds: it has started again.
    bool restarted = false;
    std::vector<CachedPart> held;
    std::vector<std::uint64_t> dropped;
};

/// How an attempt at a server ended, as far as the server's health goes.
enum class AttemptVerdict : std::uint8_t {
    Served,
    /// It answered that it did not run the request.
    Rejected,
    /// It failed the request itself.
    Failed,
    /// It could not be reached or fell silent.
    Unreachable,
    /// The caller left or the time ran out; says nothing of the server.
    Abandoned,
};

/// The backend servers as one node sees them: what the platform lists, what answers have told, and
/// what this node has sent. Answers where a request should go under the load of many callers with
/// shared prompts: to the server with the lowest expected time to the first byte, reading shared
/// parts again counted as time. Pure: the caller passes the time.
class ServerPool
{
public:
    struct Options
    {
        /// The node's own availability zone.
        ZoneId zone;
        /// Milliseconds until the first byte that each token of the prompt costs which is not
        /// cached, and each unread token of the requests before it: slopes of a regression over
        /// the decision log of a day at usual load, where VMs have busy neighbours.
        double ownTokenMs = 0.025;
        double aheadTokenMs = 0.019;
        /// What reading one shared token again costs beside its time, in the same unit.
        double rereadWeight = 1.5;
        /// Milliseconds to fetch cached parts from another server, and further ones for each
        /// thousand tokens.
        double fetchMs = 4;
        double fetchMsPerThousand = 1;
        /// The same from the store, whose one link serves all servers.
        double storeMsPerThousand = 6;
        /// Milliseconds that each request on an engine adds to the first token of the next one.
        double engineLoadMs = 0.5;
        /// Milliseconds of work of a plain service's request.
        double serviceWorkMs = 40;
        /// Milliseconds charged for a server in another zone.
        double otherZoneMs = 1;
        /// Silence of a server that is explained by nothing but waiting for its processor, beside
        /// twice the time that the work ahead should take.
        Duration unexplainedSilence = milliseconds(350);
        /// Milliseconds charged for weights that newer ones have replaced: work on them is worth a
        /// fifth less, as much as that delay costs in late first tokens.
        double oldWeightsMs = 80;
        /// From this time after newer weights were named, a server with older ones gets no work.
        Duration weightsOverdue = std::chrono::seconds(12);
    };

    explicit ServerPool(const Options &options);

    /// Takes the services of a new configuration.
    void applyServices(std::span<const ServiceDefinition> services);
    /// Takes a server as the platform lists it now.
    void applyServer(const ListedServer &server, Instant now);
    /// Drops a server that the platform lists no longer; peers that have not read it yet are told.
    void removeServer(const ServerId &id, Instant now);
    /// Takes the newest weights that operators have named.
    void applyNamedWeights(const DesiredWeights &named, Instant now);
    /// Takes how long ago a peer saw weights to be named: a node that has just started knows only
    /// which are.
    void applyNamedAges(std::span<const DesiredWeightsAge> named, Instant now);
    /// How long ago this node, or a peer that told it, saw weights to be named.
    [[nodiscard]] std::vector<DesiredWeightsAge> namedAges(Instant now) const;
    /// Takes what an answer said of its server's weights.
    void noteWeights(const ServerId &id, const ModelId &model, WeightsVersion version);
    /// Keeps new work off a server until it runs `version` of the model, or until `until`.
    void closeForLoad(const ServerId &id, const ModelId &model, WeightsVersion version,
                      Instant until);
    /// Takes what a peer told of its own sends, loads under way and weights seen.
    void applyPeer(const std::string &peer, std::span<const ServerUpdate> notices, Instant now);
    /// Takes what a server's or store's own events tell of its cache.
    void applyCacheEvents(const ServerId &id, const CacheEvents &events);
    /// Has peers told again of all that a server or store holds, as when one has just started.
    void retellCache(const ServerId &id);
    /// What peers should know of this node's sends since the last call, with `mostParts` parts of
    /// prompts at most; the rest follows with the next call.
    [[nodiscard]] std::vector<ServerUpdate> takeNotices(Instant now, std::size_t mostParts);
    /// True while parts are left to tell.
    [[nodiscard]] bool partsLeftToTell() const;

    /// Chooses a server for a request.
    [[nodiscard]] std::variant<Placement, NoPlacement> choose(const PlacementRequest &request,
                                                              Instant now) const;

    /// Notes that a request was sent to a server.
    void noteSent(const ServerId &id, const PlacementRequest &request, std::uint32_t heldTokens,
                  Instant now);
    /// Notes that the server has begun to answer a request that it was sent while it ran
    /// `weights`: the prompt has been read.
    void noteFirstByte(const ServerId &id, const PlacementRequest &request,
                       std::optional<WeightsVersion> weights, std::uint32_t readTokens);
    /// Notes that a server could not be reached, so that nothing was sent to it.
    void noteUnreachable(const ServerId &id, Instant now);
    /// Notes the end of a request that was sent; `unreadTokens` are those that noteFirstByte()
    /// has not taken off.
    void noteEnd(const ServerId &id, AttemptVerdict verdict, std::uint32_t unreadTokens,
                 Instant now);
    /// Notes that something was received from a server.
    void noteHeard(const ServerId &id, Instant now);
    /// True while a server with requests on it has been silent towards all nodes for longer than
    /// the work ahead explains: it is probably gone.
    [[nodiscard]] bool silent(const ServerId &id, Instant now) const;
    /// Takes the load that came with an answer.
    void noteLoad(const ServerId &id, const ReportedLoad &load, Instant now);

    /// The weights that each model engine is known to run and the requests on it.
    [[nodiscard]] std::vector<EngineLoad> modelLoads() const;
    /// `IP:port` of all engines and cache stores, whose cache tells events.
    [[nodiscard]] std::map<ServerId, std::string> caches() const;

private:
    /// What one peer said of its sends to a server.
    struct PeerLoad
    {
        unsigned inFlight = 0;
        std::uint32_t unreadTokens = 0;
        std::uint32_t silentMs = 0;
        Instant at;
    };

    struct Server
    {
        ListedServer facts;
        std::uint64_t hash = 0;
        HeldParts held { 0 };
        unsigned inFlight = 0;
        /// Prompt tokens sent and not read yet.
        std::uint64_t unreadTokens = 0;
        ReportedLoad load;
        Instant loadAt;
        unsigned inFlightAtLoad = 0;
        unsigned failures = 0;
        Instant suspendedUntil;
        /// Of that, the part that this node has found out itself and tells.
        Instant avoidedUntil;
        /// When something was last received, or the first of the present requests was sent.
        Instant heardAt;
        /// Weights that it is to load, for which new work stays off it until closedUntil.
        ModelId loadingModel;
        WeightsVersion loadingVersion = 0;
        Instant closedUntil;
        /// The peer that closed it; empty where this node did.
        std::string closedBy;
        std::unordered_map<std::string, PeerLoad> peers;
        /// Parts sent to it, and read by it, since the last digest to the peers.
        std::vector<CachedPart> untoldSent;
        std::vector<CachedPart> untoldRead;
        std::vector<std::uint64_t> untoldDropped;
        /// What the last digest said; a server of which nothing changed is left out.
        unsigned toldInFlight = 0;
        WeightsVersion toldWeights = 0;
        bool toldClosed = false;
    };

    /// The server as it is listed, or null.
    [[nodiscard]] Server *find(const ServerId &id);
    void noteWeights(Server &server, const ModelId &model, WeightsVersion version);
    /// True where newer weights have been named.
    [[nodiscard]] bool replaced(const Server &server, const ModelId &model) const;
    /// True where newer weights were named so long ago that these may not be used any more.
    [[nodiscard]] bool overdue(const Server &server, const ModelId &model, Instant now) const;
    [[nodiscard]] bool silent(const Server &server, Instant now) const;
    [[nodiscard]] bool takesWork(const Server &server, Instant now) const;
    /// A store of cached parts beside the servers.
    struct CacheStore
    {
        std::string address;
        HeldParts held { 0 };
        /// Parts on their way to it, and since when; a transfer may fail without a word.
        std::unordered_map<std::uint64_t, Instant> saving;
        std::vector<CachedPart> untoldRead;
        std::vector<std::uint64_t> untoldDropped;
    };

    /// A place that holds parts of the prompt and may be fetched from.
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
        /// The open server or store that holds most of them.
        Holder holder;
    };

    /// The shared parts under each version that a server of the service runs.
    [[nodiscard]] std::map<WeightsVersion, VersionParts>
    versionParts(const PlacementRequest &request, Instant now) const;
    static void judge(Server &server, AttemptVerdict verdict, Instant now);
    [[nodiscard]] static WeightsVersion weightsOf(const Server &server, const ModelId &model);
    /// What a request is expected to take on one server, in milliseconds.
    struct Cost
    {
        /// Until its prompt is read, or its work begun.
        double wait = 0;
        /// For reading its own prompt.
        double reading = 0;
        /// Until the first byte, with the price of reading parts again.
        double total = 0;
    };

    [[nodiscard]] Cost cost(const Server &server, const PlacementRequest &request,
                            std::uint32_t heldTokens, const Holder *source, Instant now) const;
    /// The shared parts as a server with `weights` caches them.
    [[nodiscard]] static std::vector<CachedPart> cachedParts(WeightsVersion weights,
                                                             const PlacementRequest &request);
    [[nodiscard]] static std::uint32_t sharedTokens(const PlacementRequest &request);
    /// True where parts are neither held by the store nor on their way to it.
    [[nodiscard]] static bool worthSaving(const CacheStore &kept, std::span<const CachedPart> parts,
                                          Instant now);
    static void noteSaving(CacheStore &kept, std::span<const CachedPart> parts, Instant now);
    /// The store of cached parts, or null where the configuration names none.
    [[nodiscard]] const CacheStore *store() const;
    [[nodiscard]] CacheStore *store();
    [[nodiscard]] std::uint64_t cacheRoom(const ServiceId &service) const;

    Options options_;
    std::unordered_map<ServiceId, ServiceDefinition> services_;
    std::unordered_map<ServerId, Server> servers_;
    /// Servers that the platform has ceased to list, and until when peers are told.
    std::map<ServerId, Instant> departed_;
    /// By the name of the service.
    std::map<ServerId, CacheStore> stores_;
    DesiredWeightsHistory named_;
};

} // namespace jacinthroad
