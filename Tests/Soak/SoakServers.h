#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Disturbance.h"
#include "ResponsePlan.h"
#include "RunLog.h"
#include "ScriptedServer.h"
#include "ServerLinks.h"
#include "SoakCache.h"
#include "SoakSlots.h"
#include "StoreStandIn.h"

namespace jacinthroad {

/// Name of a zone of a run with several.
[[nodiscard]] std::string soakZone(std::size_t number);

/// Stand-ins of backend servers, listed in a store stand-in. Their processes end, by chance or by a
/// deadly prompt part, and start again after some seconds under a new boot.
class SoakServers
{
public:
    struct Options
    {
        Disturbances disturbances;
        /// Number of zones over which servers are spread; 0 has one, that of all nodes.
        std::size_t zones = 0;
    };

    /// Nodes reach the servers through `links`.
    SoakServers(StoreStandIn &store, RunLog &log, const Options &options,
                std::vector<std::shared_ptr<ServerLinks>> links, std::uint64_t seed);
    SoakServers(const SoakServers &) = delete;
    SoakServers &operator=(const SoakServers &) = delete;
    ~SoakServers();

    /// Ends the faults that servers have by themselves. Deadly prompt parts go on crashing them.
    void endOwnFaults() { ownFaults_ = false; }
    /// Writes the entries of all servers anew, as they do after a restore of the store.
    void registerAgain();
    /// The name of the entry of some server.
    [[nodiscard]] std::string entryName(std::uint64_t choice);
    /// Replaces a share of the engine servers, or all, by servers of a newer software version, one
    /// each `gap`. With `overlapping`, each new server starts when its predecessor begins to leave.
    void release(double share, Duration gap, bool overlapping);
    /// `IP:port` of all engine servers so far and of the cache store; empty without one.
    [[nodiscard]] std::set<std::string> cacheAddresses();
    /// `IP:port` of the cache store; empty without one.
    [[nodiscard]] std::string cacheStoreAddress() const;
    /// Lets a third of the sound servers of a service fall silent and nearly all others reject, one
    /// shortly after the other.
    void pauseBesideRejections(std::uint64_t seed);

private:
    /// Time that a server which leaves goes on; longer than nodes may take to send it nothing more.
    static constexpr Duration LeavingTime = milliseconds(3500);

    using ReceivedRequest = boost::beast::http::request<boost::beast::http::string_body>;

    /// One process of a server.
    struct Boot
    {
        /// Unique among all boots.
        std::string name;
        /// Name in the store, which boots may share one after the other.
        std::string id;
        std::string service;
        int number = 1;
        std::string version;
        std::atomic<bool> up { false };
        /// What it states in its responses. The pause ends at this time of the steady clock.
        std::atomic<bool> leaving { false };
        std::atomic<Instant> pausedUntil { Instant() };
        std::atomic<double> limit { 0 };
        std::atomic<Instant> silentUntil { Instant() };
        /// It rejects requests until then, each this time after it has come.
        std::atomic<Instant> rejectsUntil { Instant() };
        std::atomic<int> rejectsAfterMs { 0 };
        /// Another server has taken its place, so that it doesn't start again.
        std::atomic<bool> replaced { false };
        /// Weights before and after the last order, and the time of the change.
        std::atomic<int> weights { 1 };
        std::atomic<int> orderedWeights { 1 };
        std::atomic<Instant> loadedAt { Instant() };
        std::atomic<int> orders { 0 };
        SoakSlots slots;
        SoakCache cache { std::hash<std::string>()(name) };
        std::unique_ptr<ScriptedServer> server;
    };
    struct Start
    {
        Instant at;
        const Boot *former;
        /// Empty to start again with the former version.
        std::string version;
    };
    /// The moment at which a release replaces a server.
    struct Replacement
    {
        Instant at;
        Boot *boot;
        std::string version;
        bool overlapping;
    };
    /// What a server sends on a connection after a response.
    struct LateState
    {
        /// To be sent when the next request comes.
        std::string bytes;
        /// The next request meets bytes of no response.
        bool spoilsNext = false;
    };
    /// The end of what a server states: of its limit, or of the process of one that leaves.
    struct StatementEnd
    {
        Instant at;
        Boot *boot;
        /// Software version with which the server starts again; empty for the same.
        std::string version;
    };

    void startBoot(const std::string &service, const std::string &id, int number,
                   const std::string &version);
    void startAgain(const Start &start);
    void replace(const Replacement &replacement);
    /// Does one thing that is due; the caller holds the mutex. Returns false if nothing is.
    [[nodiscard]] bool doDue(std::unique_lock<std::mutex> &lock);
    void maintain();
    void putEntry(const Boot &boot);
    /// Lets a random server state something; the caller holds the mutex.
    void beginStatement();
    /// Lets a random sound server fall silent; the caller holds the mutex.
    void beginSilence();
    /// Lets the cache store be away for a while and come back empty; the caller holds the mutex.
    void restartCacheStore();
    void startCacheStore();
    /// Answers a call for the content of a cache; returns false if the connection ends.
    [[nodiscard]] bool respondOfCache(SoakCache &cache, const std::atomic<bool> &up,
                                      ScriptedConnection &connection,
                                      const ReceivedRequest &request);
    /// Records what a request says of caches, and caches its parts.
    void noteCacheUse(Boot &boot, const ReceivedRequest &request);
    /// Lets a server turn requests away in some way; the caller holds the mutex.
    void beginRejection(Boot &boot, std::mt19937_64 &random);
    void reject(const Boot &boot, ScriptedConnection &connection, ServerArrival &arrival);
    void write(const Boot &boot, ScriptedConnection &connection, const std::string &bytes);
    void endStatement(const StatementEnd &end);
    /// What the response to a request states, and its header lines.
    [[nodiscard]] ServerArrival statementOf(const Boot &boot, const std::string &requestId) const;
    /// Ends the process of a server, which starts again with `nextVersion`, or with its own if that
    /// is empty; returns false if it has ended before.
    bool crash(Boot &boot, bool byDeadlyPart, bool byDeadlyKey = false,
               const std::string &nextVersion = {});
    [[nodiscard]] bool mayCrash(const Boot &boot);
    void serve(Boot &boot, ScriptedConnection &connection);
    /// Responds to one request; returns false if the connection ends. `late` receives what
    /// is sent after the response.
    [[nodiscard]] bool respond(Boot &boot, ScriptedConnection &connection,
                               const ReceivedRequest &request, Instant cameAt, LateState &late);
    /// Responds to a call of the operator's interface: a report or an order.
    void respondToControl(Boot &boot, ScriptedConnection &connection,
                          const ReceivedRequest &request);
    [[nodiscard]] static int weightsOf(const Boot &boot);
    /// Runs one request; the same.
    [[nodiscard]] bool run(Boot &boot, ScriptedConnection &connection,
                           const ReceivedRequest &request, ServerArrival arrival, LateState &late);
    void crashByRequest(Boot &boot, ScriptedConnection &connection, const ReceivedRequest &request,
                        bool byKey);
    /// Writes what the plan repeats until the node closes the connection, no node would wait or the
    /// faults end.
    void writeEndlessly(const Boot &boot, ScriptedConnection &connection,
                        const ResponsePlan &plan) const;
    [[nodiscard]] bool endResponse(Boot &boot, ScriptedConnection &connection, std::size_t run,
                                   const ResponsePlan &plan);

    StoreStandIn &store_;
    RunLog &log_;
    Disturbances disturbances_;
    std::size_t zones_;
    std::vector<std::shared_ptr<ServerLinks>> links_;
    std::uint64_t seed_;
    std::atomic<bool> ownFaults_ { true };
    /// Numbers of the next responses without end.
    std::atomic<std::size_t> endlessStreams_ { seed_ };
    std::atomic<std::size_t> endlessBodies_ { seed_ };
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Boot>> boots_;
    std::vector<Start> starts_;
    std::vector<StatementEnd> statementEnds_;
    std::vector<Replacement> replacements_;
    int newestVersion_ = 1;
    Instant nextStatement_;
    Instant nextSilence_;
    Instant nextStoreRestart_;
    std::atomic<bool> storeUp_ { true };
    SoakCache storedParts_;
    std::unique_ptr<ScriptedServer> cacheStore_;
    std::thread maintenance_;
};

} // namespace jacinthroad
