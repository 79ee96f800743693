#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "NodeProcess.h"
#include "RunLog.h"

namespace jacinthroad {

/// From the rules of the platform: `configApplyMs`.
constexpr Duration ConfigurationTime = std::chrono::seconds(3);

/// What a caller saw of one request.
enum class CallerOutcome : std::uint8_t {
    /// A response that looks complete.
    Answered,
    /// The connection ended before a complete response.
    ConnectionClosed,
    /// Bytes that are not HTTP.
    NotHttp,
    /// Nothing within the caller's time limit.
    TimedOut,
};

/// One request of a caller.
struct CallerRecord
{
    std::string id;
    /// Request whose response this one goes on with; its own id unless it takes a stream up again.
    std::string stream;
    /// Number of the last event that the caller had; 0 for a request from the start.
    unsigned resumeAfter = 0;
    std::string node;
    /// The build that the node ran.
    NodeBuild build = NodeBuild::Only;
    Instant sentAt;
    Instant endedAt;
    std::string route;
    std::string key;
    /// Identifier of the first prompt part; empty if the request has none.
    std::string firstPart;
    /// True if a prompt part crashes servers.
    bool deadly = false;
    /// True if its response takes so long that the end of a stop may cut it.
    bool slow = false;
    /// True if its key came with a configuration that was written `ConfigurationTime` before.
    bool newKey = false;
    CallerOutcome outcome = CallerOutcome::TimedOut;
    /// 0 if no header came.
    int status = 0;
    /// True if the response has the request's id.
    bool idMatches = false;
    /// True if the response has a server's stamp.
    bool stamped = false;
    /// The body, as far as it came.
    std::string body;
    /// True if the node asked to close the connection.
    bool closing = false;
    /// True if bytes other than a failure response came on the connection after the response.
    bool unsolicited = false;
    /// True if the node was killed while the request was in progress.
    bool nodeKilled = false;
    /// How long its connection had been idle.
    Duration idle {};
    /// The idle limit of the configuration that was written last when it was sent.
    Duration idleLimit {};
    /// Number of requests that were sent before on its connection.
    unsigned earlierRequests = 0;
    /// Why sending or receiving ended; empty after a complete response.
    std::string error;
};

/// What the logs of the nodes tell.
struct NodeLog
{
    /// Requests that a node has read, with the outcome that it logged.
    std::map<std::string, std::string> outcomes;
    /// Lines that report a failure of the node itself, with its name.
    std::vector<std::string> failures;
    /// Lines that report bytes that a node read behind its last response on a connection and
    /// dropped, with its build, by its name.
    std::map<std::string, std::vector<std::string>> dropped;
    /// Lines of requests that a node cut though neither caller, limit, server nor stop ended them.
    std::vector<std::string> cutByNode;
    /// The lines of requests whose response exceeded a size, by request.
    std::map<std::string, std::string> cutBySize;
    /// By request that a node forwarded: the node that it forwarded it to last.
    std::map<std::string, std::string> forwardedTo;
    /// By request that a node got from another one: the build that it ran.
    std::map<std::string, NodeBuild> helperBuilds;
};

/// What a soak run observed.
struct SoakObservations
{
    std::vector<CallerRecord> records;
    std::vector<ServerRun> runs;
    std::vector<ServerCrash> crashes;
    std::vector<ServerArrival> arrivals;
    std::vector<ServingSpan> servingSpans;
    std::vector<ServerSilence> silences;
    /// Requests on whose connections servers had sent bytes of no response before.
    std::set<std::string> spoiled;
    /// By name of the node.
    std::map<std::string, std::vector<TimeSpan>> disturbances;
    std::map<std::string, std::vector<NodeStop>> stops;
    /// Moments at which nodes were killed, by name.
    std::map<std::string, std::vector<Instant>> kills;
    /// Spans in which lines may be missing from the logs of nodes, by name.
    std::map<std::string, std::vector<TimeSpan>> logGaps;
    /// The `timeoutMs` of each route, which all configurations of a run have in common.
    std::map<std::string, Duration> routeTimeouts;
    /// Spans in which what nodes logged went nowhere, by name.
    std::map<std::string, std::vector<TimeSpan>> logLosses;
    std::vector<LinkCut> linkCuts;
    std::vector<CacheUse> cacheUses;
    std::vector<CacheRead> cacheReads;
    /// `IP:port` of all engine servers and of the cache store; empty unless caches tell of their
    /// content.
    std::set<std::string> cacheAddresses;
    std::string cacheStoreAddress;
    /// End of the time in which cache events must be read.
    Instant callersEnded;
    /// Spans in which the store was away or lacked what had been written.
    std::vector<TimeSpan> storeDisturbances;
    std::vector<WeightsSet> weightsSet;
    /// Requests without end at the addresses for callers, by name of the node.
    std::map<std::string, std::size_t> endlessRequests;
    NodeLog nodeLog;
};

/// One broken promise.
struct Violation
{
    /// Name of the check, for counts.
    std::string check;
    std::string text;
    /// The requests that a count in the text counts.
    std::vector<std::string> requests;
};

/// Figures of the checks on deadly prompt parts.
struct DeadlyPartFigures
{
    unsigned crashes = 0;
    /// Requests with the part that reached servers once nodes must hold them back; those of all
    /// nodes, and those of nodes that were undisturbed.
    unsigned lateArrivals = 0;
    unsigned lateArrivalsFromCalmNodes = 0;
    std::vector<std::string> lateFromCalmNodes;
    /// Sound requests with the same key or first part once they must be served again, and how many
    /// were. Requests whose server broke off are in neither.
    unsigned related = 0;
    unsigned relatedServed = 0;
    std::vector<std::string> relatedUnserved;
};

/// True if a node was undisturbed for the stable window before `moment`.
[[nodiscard]] bool wasCalm(const std::vector<TimeSpan> &disturbances, Instant moment);
[[nodiscard]] DeadlyPartFigures countDeadlyPart(const SoakObservations &observations);
/// The same for the deadly key; related requests are not counted.
[[nodiscard]] DeadlyPartFigures countDeadlyKey(const SoakObservations &observations);
/// True if the end of a stop of its node may cut this request by the rules.
[[nodiscard]] bool mayBeCutByStop(const SoakObservations &observations, const CallerRecord &record);
/// Checks the promises of the gateway on single responses, runs and deadly prompt parts.
[[nodiscard]] std::vector<Violation> findViolations(const SoakObservations &observations);

} // namespace jacinthroad
