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

/// Number of an attempt within its request, from 1.
using AttemptNumber = std::uint32_t;

/// A request arrived and was found well-formed and authorised.
struct RequestArrived
{
    RequestInfo info;
    /// The team's weight between teams.
    double teamWeight = 1;
    /// Requests that the team may have under way at this node.
    std::uint32_t teamLimit = UINT32_MAX;
};

/// The first token of an attempt came.
struct FirstTokenReceived
{
    RequestId id;
    AttemptNumber attempt = 0;
};

/// An attempt delivered more tokens.
struct AttemptProgress
{
    RequestId id;
    AttemptNumber attempt = 0;
    /// Tokens of the answer that the caller has by now.
    std::uint32_t deliveredTokens = 0;
    /// Mean gap between the tokens since the last progress, in milliseconds.
    double gapMs = 0;
};

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
    /// The whole stream came.
    Completed,
    /// Nothing reached the server.
    NotSent,
    /// The server answered that it does not take the request.
    Rejected,
    /// The connection or stream broke.
    Broken,
    /// Nothing came for longer than expected.
    Stalled,
    /// The answer was another request's or out of order.
    Crossed,
    /// Ended at our own wish.
    Cancelled,
};

/// An attempt ended.
struct AttemptEnded
{
    RequestId id;
    AttemptNumber attempt = 0;
    AttemptEnd end = AttemptEnd::Completed;
    /// Tokens of the answer that the caller has by now.
    std::uint32_t deliveredTokens = 0;
    /// The engine's own count, when it gave one.
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

/// Cache events of an engine, in its own sequence.
struct CacheEventsReceived
{
    ServerId server;
    std::uint64_t incarnation = 0;
    /// Number of the first event of this batch; a jump shows a gap.
    std::uint64_t firstSequence = 0;
    std::uint64_t count = 0;
    std::vector<BlockKey> stored;
    std::vector<BlockKey> removed;
};

/// A peer told its own work on servers and its quarantine.
struct PeerReported
{
    NodeId peer;
    std::vector<std::pair<ServerId, ServerLoad>> loads;
    std::vector<QuarantineRecord> quarantine;
    /// Blocks that servers hold, as the peer knows from its own dispatches.
    std::vector<std::pair<ServerId, std::vector<BlockKey>>> stored;
};

/// Time passed.
struct Tick
{ };

/// No new request is to be taken.
struct DrainStarted
{ };

/// Anything the dispatcher is told.
using DispatcherMessage = std::variant<RequestArrived, FirstTokenReceived, AttemptProgress,
                                       AttemptEnded, CallerDisconnected, ServerReported,
                                       CacheEventsReceived, PeerReported, Tick, DrainStarted>;

/// Send the request to a server.
struct StartAttempt
{
    RequestId id;
    AttemptNumber attempt = 0;
    ServerId server;
    /// Place in the engine's queue: the earlier goes first. Absent to leave the order to the
    /// engine. Long jobs rank later than short ones, and every one comes forward with time.
    std::optional<Instant> rank;
    /// Tokens to leave out because the caller has them.
    std::uint32_t resumeAfterTokens = 0;
    /// Predicted time to the first token, in milliseconds.
    double predictedMs = 0;
};

/// Stop an attempt; its end need not be reported.
struct CancelAttempt
{
    RequestId id;
    AttemptNumber attempt = 0;
};

/// Answer the caller with a refusal, or break its stream if it has begun.
struct RefuseRequest
{
    RequestId id;
    ErrorKind kind = ErrorKind::Internal;
    NotRun notRun = NotRun::Unknown;
    std::int64_t retryAfterMs = 0;
};

/// Everything of the request is over and the caller has its whole answer.
struct RequestFinished
{
    RequestId id;
};

/// The caller left and nothing of the request is under way any more.
struct RequestAbandoned
{
    RequestId id;
};

/// An event met a service-level objective or missed it.
struct ObjectiveObserved
{
    TeamId team;
    ModelId model;
    Objective objective = Objective::Success;
    bool met = false;
};

/// Anything the dispatcher wants done.
using DispatcherEffect = std::variant<StartAttempt, CancelAttempt, RefuseRequest, RequestFinished,
                                      RequestAbandoned, ObjectiveObserved>;

} // namespace jacinthroad
