#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// One run of a request at a backend server.
struct ServerRun
{
    std::string requestId;
    /// The server's boot, which no other process shares.
    std::string boot;
    Instant startedAt;
    Instant finishedAt;
    bool deadly = false;
    bool deadlyKey = false;
    bool finished = false;
    /// The server delimited its response by the end of the connection.
    bool delimitedByClose = false;
    /// The server ended before the response was complete, or broke it off.
    bool brokenOff = false;
    /// Number of the form in which it sent bytes without end; unset if it ended.
    std::optional<std::size_t> endlessForm;
    /// Status of its response.
    unsigned status = 200;
    /// Version of the weights on which it began; 0 if the run has none.
    int weights = 0;
};

/// Weights that were set as desired.
struct WeightsSet
{
    int version = 0;
    Instant at;
};

/// One request that reached a backend server, run or not, and what the response stated.
struct ServerArrival
{
    std::string requestId;
    std::string boot;
    Instant at;
    /// When it came, which is before `at` if the server was silent then.
    Instant cameAt;
    /// When the head of the response was written; unset if it wasn't.
    Instant answeredAt;
    bool leaving = false;
    /// End of the pause that the server asked for; unset without one.
    Instant pausedUntil;
    /// Requests a second that the server named as its limit; 0 without one.
    double limit = 0;
    /// The server turned it away as not run.
    bool rejected = false;
    /// What the response says of the server's load; empty if it says nothing.
    std::string load;
};

/// One end of a backend server's process.
struct ServerCrash
{
    std::string boot;
    Instant at;
    bool byDeadlyPart = false;
    bool byDeadlyKey = false;
};

/// The time in which a server of an engine service took requests, with its software version.
struct ServingSpan
{
    std::string boot;
    std::string version;
    Instant begin;
    /// Set when the server began to leave or ended.
    Instant end = Instant::max();
};

/// A time in which a server neither sent nor read.
struct ServerSilence
{
    std::string boot;
    Instant begin;
    Instant end;
};

/// What a request that reached an engine server said of caches.
struct CacheUse
{
    std::string requestId;
    std::string boot;
    /// The server's `IP:port`.
    std::string address;
    std::string tenant;
    std::string salt;
    /// Cache from which the server was to fetch, and cache store to which it was to save; empty
    /// without one.
    std::string fetchFrom;
    std::string saveTo;
};

/// A call for the cache events of a server.
struct CacheRead
{
    std::string boot;
    Instant at;
};

/// How the links of a node to all backend servers are cut.
enum class LinkCutKind : std::uint8_t {
    None,
    /// Connections are reset, and new ones refused.
    Reset,
    /// Connections live on, and new ones are refused.
    NewRefused,
    /// Nothing gets through, and nothing answers new connections.
    Silent,
};

/// A time in which a node had no links to backend servers.
struct LinkCut
{
    std::string node;
    LinkCutKind kind = LinkCutKind::None;
    Instant begin;
    Instant end;
};

/// Records what backend servers ran and how their runs ended. Thread-safe.
class RunLog
{
public:
    /// Records the start of a run and returns its index.
    [[nodiscard]] std::size_t noteStarted(const std::string &requestId, const std::string &boot,
                                          bool deadly, bool deadlyKey = false);
    /// Records a request that reached a server.
    void noteArrival(const ServerArrival &arrival);
    /// Records that the response of a run ends with its connection.
    void noteDelimitedByClose(std::size_t run);
    /// Records the version of the weights on which a run began.
    void noteWeights(std::size_t run, int version);
    /// Records that a run has written its complete response.
    void noteFinished(std::size_t run);
    /// Records that a run broke off its response.
    void noteBrokenOff(std::size_t run);
    /// Records that the response of a run doesn't end.
    void noteEndless(std::size_t run, std::size_t form, unsigned status);
    /// Records the end of a server's process, which breaks off its runs. Runs that finished shortly
    /// before count as broken off too, as the end may have reached the node before their last
    /// bytes.
    void noteCrash(const std::string &boot, bool byDeadlyPart, bool byDeadlyKey = false);

    /// Records that the process of a server that crashed has ended. Runs may have begun since
    /// noteCrash(); they are broken off too.
    void noteProcessEnded(const std::string &boot);

    /// Records that a server takes requests from now on.
    void noteServing(const std::string &boot, const std::string &version);
    /// Records that a server leaves or has ended.
    void noteServingEnded(const std::string &boot);

    /// Records that bytes of no response came on the connection before this request.
    void noteSpoiled(const std::string &requestId);
    void noteSilence(const ServerSilence &silence);
    void noteCacheUse(const CacheUse &use);
    void noteCacheRead(const CacheRead &read);

    /// Number of runs of a request that have begun.
    [[nodiscard]] unsigned runCount(const std::string &requestId) const;
    [[nodiscard]] std::vector<ServerRun> runs() const;
    [[nodiscard]] std::vector<ServerCrash> crashes() const;
    [[nodiscard]] std::vector<ServerArrival> arrivals() const;
    [[nodiscard]] std::vector<ServingSpan> servingSpans() const;
    [[nodiscard]] std::vector<ServerSilence> silences() const;
    [[nodiscard]] std::vector<CacheUse> cacheUses() const;
    [[nodiscard]] std::vector<CacheRead> cacheReads() const;
    [[nodiscard]] std::set<std::string> spoiled() const;

private:
    /// Marks the runs that the end of a server's process breaks off; the caller holds the mutex.
    void breakRuns(const std::string &boot, Instant now);

    mutable std::mutex mutex_;
    std::vector<ServerRun> runs_;
    std::vector<ServerCrash> crashes_;
    std::vector<ServerArrival> arrivals_;
    std::vector<ServingSpan> servingSpans_;
    std::vector<ServerSilence> silences_;
    std::vector<CacheUse> cacheUses_;
    std::vector<CacheRead> cacheReads_;
    std::set<std::string> spoiled_;
    std::map<std::string, unsigned> runCounts_;
};

} // namespace jacinthroad
