#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jacinthroad {

/// A kind of fault or change that a soak run injects; each can be switched off.
enum class Disturbance : std::uint8_t {
    /// Backend servers break off responses, by a reset, a close or the end of their process.
    BreakOff,
    /// Backend servers send a second response or other bytes after a response.
    SecondResponse,
    /// Requests with one prompt part crash each backend server that begins to respond to them.
    DeadlyPart,
    /// Requests of one key crash each backend server of a plain service that begins to run them.
    DeadlyKey,
    /// Backend servers state that they leave, that they want a pause, or a limit.
    Statements,
    /// Callers keep connections open until the process of the node has ended.
    HeldConnections,
    /// SIGTERM to a node, and its restart.
    Stop,
    /// SIGKILL to a node, and its restart.
    Kill,
    /// SIGHUP and SIGTERM to a node within the first 50 ms of its process.
    EarlySignals,
    /// SIGSTOP and SIGCONT to a node.
    Pause,
    /// Changed settings and SIGHUP to a node.
    Reload,
    /// All nodes are down at the same time.
    RestartAll,
    /// New configurations.
    Configuration,
    /// The store comes back from an earlier copy.
    StoreRestore,
    /// Releases replace engine servers by those of a newer software version.
    SoftwareVersions,
    /// Callers take streams that broke off up again; all nodes are killed at once several times.
    TakeUps,
    /// Another writer leaves entries that can't be used among the servers and elsewhere.
    OddEntries,
    /// Long requests until the process of the node has ended, and grace periods of several lengths.
    LateRequests,
    /// Sound backend servers neither send nor read for a second or so.
    SilentServers,
    /// Sound backend servers are silent while most others of their service reject, soon after a new
    /// configuration.
    PausesBesideRejections,
    /// Some nodes lose their links to all backend servers for seconds.
    LinkCuts,
    /// Nodes are replaced by another build of the program, one after the other, and back.
    Upgrade,
    /// The log of a node reaches the limit on its size.
    LogLimit,
    /// More engine servers, whose caches tell of their content; with a cache store that restarts.
    CacheEvents,
    /// Plain servers have few slots and a short queue, and reject what comes when both are full.
    FullServers,
    /// The reader of a node's log pipe stands still.
    LogPipe,
    /// Backend servers send bytes without end, until their connection is closed.
    EndlessResponses,
    /// The disk of a node's log is full from its start to its end.
    FullDisk,
    /// New weights are set, and all nodes are killed at once several times.
    NewWeights,
};

using Disturbances = std::set<Disturbance>;

/// Every disturbance.
[[nodiscard]] const Disturbances &allDisturbances();
/// The disturbances of a run whose options name none.
[[nodiscard]] Disturbances usualDisturbances();
/// The name on the command line.
[[nodiscard]] std::string_view disturbanceName(Disturbance disturbance);
/// The disturbance with this name on the command line; unset if there is none.
[[nodiscard]] std::optional<Disturbance> findDisturbance(std::string_view name);

} // namespace jacinthroad
