#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "PrefixIndex/PrefixIndex.h"
#include "Retry/ServerHealth.h"

namespace jacinthroad {

/// Configured attributes of one model engine.
struct ServerInfo
{
    ServerId id;
    ZoneId zone;
    ModelId model;
    /// Sequences that the engine decodes concurrently.
    std::uint32_t slots = 16;
    /// Prompt tokens per millisecond that the idle engine computes in prefill.
    double prefillTokensPerMs = 8;
    /// True once the list of VMs marks the server as leaving.
    bool leaving = false;

    friend bool operator==(const ServerInfo &, const ServerInfo &) = default;
};

/// Load of one server.
struct ServerLoad
{
    double inFlight = 0;
    double longJobs = 0;
    /// Prompt tokens of requests that have no first token yet.
    double waitingPrefill = 0;

    ServerLoad &operator+=(const ServerLoad &other);
    ServerLoad &operator-=(const ServerLoad &other);
};

/// An engine's report of its load, delayed by an unknown time.
struct LoadReport
{
    /// Changes with every start of the engine; 0 if the engine doesn't report it.
    std::uint64_t incarnation = 0;
    /// Version of the weights in use.
    std::string weights;
    ServerLoad load;
};

/// One row of the table.
struct ServerState
{
    ServerInfo info;
    /// False once the server is removed from the configuration; its row is kept.
    bool configured = true;
    std::uint64_t hash = 0;
    std::uint64_t incarnation = 0;
    std::string weights;
    ServerHealth health { ServerHealthOptions {} };
    /// This node's own load. In-flight counts are exact; waitingPrefill counts the complete prompt
    /// work of attempts that have no first token yet.
    ServerLoad own;
    /// The part of own.waitingPrefill that the engine has probably not computed yet.
    double ownBacklog = 0;
    /// Predicted first-token times of this node's attempts that have no first token yet.
    std::multiset<Instant> firstTokensDue;
    Instant ownBacklogAt;
    /// Other nodes' load: the engine's last report less this node's own load.
    ServerLoad reported;
    Instant reportedAt;
    /// When a token or a response of this server was last received.
    Instant lastReceivedAt;
    /// Mean token gap that this node observed, in milliseconds; 0 before the first observation.
    double tokenGapMs = 0;
    /// Suspect requests of this node that run exclusively on this server.
    std::uint32_t exclusiveRuns = 0;
    /// True while this node sends no other work here so that a suspect can run exclusively.
    bool reserved = false;
    /// When the cache was last lost by a crash, a restart or new weights; determines the ledger's
    /// recompute reason.
    std::optional<Instant> epochChangedAt;
    bool epochChangedByWeights = false;
};

/// The configured backend servers and their known load. Slots are stable: a server keeps its row
/// while the node runs.
class ServerTable
{
public:
    explicit ServerTable(ServerHealthOptions healthOptions);

    /// Applies a new set of servers. Known servers keep their state.
    void configure(std::span<const ServerInfo> servers);

    /// Number of rows, including those of servers removed from the configuration.
    [[nodiscard]] ServerSlot size() const { return static_cast<ServerSlot>(rows_.size()); }
    [[nodiscard]] ServerState &at(ServerSlot slot) { return rows_[slot]; }
    [[nodiscard]] const ServerState &at(ServerSlot slot) const { return rows_[slot]; }
    [[nodiscard]] std::optional<ServerSlot> find(const ServerId &id) const;

    /// Slots of the model's servers, available or not.
    [[nodiscard]] std::span<const ServerSlot> serversOfModel(const ModelId &model) const;

    /// True if the server may receive new work.
    [[nodiscard]] bool acceptsNewWork(ServerSlot slot, Instant now) const;

    /// Records a load report; returns true if a restart or new weights discarded the cache.
    [[nodiscard]] bool noteReport(ServerSlot slot, const LoadReport &report, Instant now);

    /// Records prefill work sent to a server whose first token is predicted for `firstTokenDue`.
    void notePrefillSent(ServerSlot slot, double prefillTokens, Instant firstTokenDue, Instant now);
    /// Records that prefill work ended, by its first token or the end of its attempt.
    void notePrefillFinished(ServerSlot slot, double prefillTokens, Instant firstTokenDue,
                             Instant now);
    /// Delay of the most overdue first token of this node's attempts, in milliseconds. It
    /// estimates queued work on the server that the known loads don't show.
    [[nodiscard]] double overdueMs(ServerSlot slot, Instant now) const;
    /// This node's own load, with waitingPrefill reduced by the estimated progress since the last
    /// update.
    [[nodiscard]] ServerLoad ownLoad(ServerSlot slot, Instant now) const;

    /// Records a peer's own load on a server.
    void notePeerLoad(const NodeId &peer, ServerSlot slot, const ServerLoad &load, Instant now);
    /// Discards the load of a peer that left.
    void dropPeer(const NodeId &peer);

    /// Estimated load of all nodes on a server at `now`: this node's own load, plus the peers'
    /// digests if any is recent, otherwise plus the engine's report if recent. Each waitingPrefill
    /// is reduced by the estimated progress of the engine since.
    [[nodiscard]] ServerLoad totalLoad(ServerSlot slot, Instant now) const;

    /// Sets the prefill time per prompt token of the model's servers, in milliseconds.
    void setPrefillTime(const ModelId &model, double msPerToken);

    /// Records a mean token gap, in milliseconds, of a stream from this server.
    void noteTokenGap(ServerSlot slot, double gapMs, Instant now);

    /// Median token gap of the model's servers, in milliseconds; 0 if unknown.
    [[nodiscard]] double medianTokenGapMs(const ModelId &model) const;

private:
    [[nodiscard]] double prefillRate(const ServerState &row) const;
    [[nodiscard]] ServerLoad othersLoad(ServerSlot slot, Instant now) const;

    struct PeerLoad
    {
        ServerLoad load;
        Instant at;
    };

    ServerHealthOptions healthOptions_;
    std::vector<ServerState> rows_;
    std::map<ServerId, ServerSlot> byId_;
    std::map<ModelId, std::vector<ServerSlot>> byModel_;
    std::map<ModelId, double> prefillTimes_;
    std::map<NodeId, std::map<ServerSlot, PeerLoad>> peers_;
};

} // namespace jacinthroad
