#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "Burn/BurnTracker.h"
#include "Core/ErrorKind.h"
#include "Core/Ids.h"
#include "Routing/DispatchRecord.h"
#include "Routing/RequestInfo.h"
#include "Routing/ServerTable.h"

namespace jacinthroad {

/// Number of an attempt within its request, counted from 1.
using AttemptNumber = std::uint32_t;

/// A well-formed and authorised request arrived.
struct RequestArrived
{
    RequestInfo info;
    /// The team's weight in fair queueing.
    double teamWeight = 1;
    /// Most requests that the team may have open at this node.
    std::uint32_t teamLimit = UINT32_MAX;
};

/// The first token of an attempt was received.
struct FirstTokenReceived
{
    RequestId id;
    AttemptNumber attempt = 0;
};

/// More tokens of an attempt were delivered to the caller.
struct AttemptProgress
{
    RequestId id;
    AttemptNumber attempt = 0;
    /// Tokens of the response that the caller has received so far.
    std::uint32_t deliveredTokens = 0;
    /// Mean gap between tokens since the last progress message, in milliseconds.
    double gapMs = 0;
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
    /// The stream was received completely.
    Completed,
    /// The request did not reach the server.
    NotSent,
    /// The server rejected the request.
    Rejected,
    /// The connection or stream ended prematurely.
    Broken,
    /// No data was received for longer than expected.
    Stalled,
    /// The response belonged to another request or was out of order.
    Crossed,
    /// The node cancelled the attempt.
    Cancelled,
};

/// An attempt ended.
struct AttemptEnded
{
    RequestId id;
    AttemptNumber attempt = 0;
    AttemptEnd end = AttemptEnd::Completed;
    /// Tokens of the response that the caller has received so far.
    std::uint32_t deliveredTokens = 0;
    /// Token counts reported by the engine, if any.
    std::optional<std::uint64_t> promptTokens;
    std::optional<std::uint64_t> cachedTokens;
};

/// The caller closed its connection.
struct CallerDisconnected
{
    RequestId id;
};

/// An engine reported its load.
struct ServerReported
{
    ServerId server;
    LoadReport report;
};

/// Cache events of an engine, in the engine's sequence.
struct CacheEventsReceived
{
    ServerId server;
    std::uint64_t incarnation = 0;
    /// Sequence number of the first event of this batch; a jump means that events were lost.
    std::uint64_t firstSequence = 0;
    std::uint64_t count = 0;
    std::vector<BlockKey> stored;
    std::vector<BlockKey> removed;
};

/// A peer reported its load on servers and its quarantine entries.
struct PeerReported
{
    NodeId peer;
    std::vector<std::pair<ServerId, ServerLoad>> loads;
    std::vector<QuarantineRecord> quarantine;
    /// Blocks that servers have cached according to the peer's own dispatches.
    std::vector<std::pair<ServerId, std::vector<BlockKey>>> stored;
};

/// Periodic timer tick.
struct Tick
{ };

/// The node is draining and accepts no new requests.
struct DrainStarted
{ };

/// Any input of the dispatcher.
using DispatcherMessage = std::variant<RequestArrived, FirstTokenReceived, AttemptProgress,
                                       AttemptEnded, CallerDisconnected, ServerReported,
                                       CacheEventsReceived, PeerReported, Tick, DrainStarted>;

/// Sends the request to a server.
struct StartAttempt
{
    RequestId id;
    AttemptNumber attempt = 0;
    ServerId server;
    /// Priority in the engine's queue: earlier goes first. Absent to leave the order to the
    /// engine. Long jobs rank later than short ones that arrive at the same time, and every job
    /// moves ahead of later arrivals as it waits.
    std::optional<Instant> rank;
    /// Tokens to skip because the caller already has them.
    std::uint32_t resumeAfterTokens = 0;
    /// Predicted time to the first token, in milliseconds.
    double predictedMs = 0;
};

/// Stops an attempt; its end need not be reported.
struct CancelAttempt
{
    RequestId id;
    AttemptNumber attempt = 0;
};

/// Rejects the request, or ends its stream with an error if it has started.
struct RefuseRequest
{
    RequestId id;
    ErrorKind kind = ErrorKind::Internal;
    NotRun notRun = NotRun::Unknown;
    std::int64_t retryAfterMs = 0;
};

/// The request is finished and the caller has the complete response.
struct RequestFinished
{
    RequestId id;
};

/// The caller disconnected and no attempt of the request is in progress.
struct RequestAbandoned
{
    RequestId id;
};

/// An event met or missed a service-level objective.
struct ObjectiveObserved
{
    TeamId team;
    ModelId model;
    Objective objective = Objective::Success;
    bool met = false;
};

/// Any output of the dispatcher.
using DispatcherEffect = std::variant<StartAttempt, CancelAttempt, RefuseRequest, RequestFinished,
                                      RequestAbandoned, ObjectiveObserved>;

} // namespace jacinthroad
