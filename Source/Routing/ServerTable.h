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

/// What the configuration says of one model engine.
struct ServerInfo
{
    ServerId id;
    ZoneId zone;
    ModelId model;
    /// Sequences that the engine decodes at once.
    std::uint32_t slots = 16;
    /// Tokens of prompt that it computes in a millisecond when undisturbed.
    double prefillTokensPerMs = 8;
    /// True once the list of VMs says that it leaves.
    bool leaving = false;

    friend bool operator==(const ServerInfo &, const ServerInfo &) = default;
};

/// Work on one server.
struct ServerLoad
{
    double inFlight = 0;
    double longJobs = 0;
    /// Prompt tokens sent for which no first token came yet.
    double waitingPrefill = 0;

    ServerLoad &operator+=(const ServerLoad &other);
    ServerLoad &operator-=(const ServerLoad &other);
};

/// An engine's own report of its load, which is late by an unknown time.
struct LoadReport
{
    /// Changes with every start of the engine; 0 when the engine does not say.
    std::uint64_t incarnation = 0;
    /// Version of the weights in use.
    std::string weights;
    ServerLoad load;
};

/// One row of the table.
struct ServerState
{
    ServerInfo info;
    /// False once the configuration no longer names the server; its row stays reserved.
    bool configured = true;
    std::uint64_t hash = 0;
    std::uint64_t incarnation = 0;
    std::string weights;
    ServerHealth health { ServerHealthOptions {} };
    /// This node's own work. In-flight counts are exact; waitingPrefill is the whole prompt
    /// work of attempts without a first token.
    ServerLoad own;
    /// The part of own.waitingPrefill that the engine has probably not computed yet.
    double ownBacklog = 0;
    /// When the first tokens of own attempts are due that have none yet.
    std::multiset<Instant> firstTokensDue;
    Instant ownBacklogAt;
    /// Other nodes' work by the last report of the engine, less our own.
    ServerLoad reported;
    Instant reportedAt;
    /// When a token or an answer of this server last came.
    Instant lastReceivedAt;
    /// Mean gap between tokens that this node saw, in milliseconds; 0 before the first.
    double tokenGapMs = 0;
    /// Suspect requests that run alone here for this node.
    std::uint32_t exclusiveRuns = 0;
    /// True while this node keeps other work away so that a suspect can run alone here.
    bool reserved = false;
    /// When the incarnation or weights last changed, for the ledger.
    std::optional<Instant> epochChangedAt;
    bool epochChangedByWeights = false;
};

/// The backend servers of the configuration and what is known of their load. Slots are stable:
/// a server keeps its row while the node runs.
class ServerTable
{
public:
    explicit ServerTable(ServerHealthOptions healthOptions);

    /// Takes a new set of servers. Known ones keep their state.
    void configure(std::span<const ServerInfo> servers);

    /// Rows, also of servers that the configuration no longer names.
    [[nodiscard]] ServerSlot size() const { return static_cast<ServerSlot>(rows_.size()); }
    [[nodiscard]] ServerState &at(ServerSlot slot) { return rows_[slot]; }
    [[nodiscard]] const ServerState &at(ServerSlot slot) const { return rows_[slot]; }
    [[nodiscard]] std::optional<ServerSlot> find(const ServerId &id) const;

    /// Slots of the model's servers, whether available or not.
    [[nodiscard]] std::span<const ServerSlot> serversOfModel(const ModelId &model) const;

    /// True when new work may go there.
    [[nodiscard]] bool acceptsNewWork(ServerSlot slot, Instant now) const;

    /// Takes a report; true when it shows that the cache was lost, by restart or new weights.
    [[nodiscard]] bool noteReport(ServerSlot slot, const LoadReport &report, Instant now);

    /// Notes prompt work sent to a server, whose first token is predicted for `due`.
    void notePrefillSent(ServerSlot slot, double prefillTokens, Instant due, Instant now);
    /// Notes that prompt work ended, by its first token or the end of its attempt.
    void notePrefillFinished(ServerSlot slot, double prefillTokens, Instant due, Instant now);
    /// How late the most overdue first token of own attempts is, in milliseconds: what the
    /// server's queue holds beyond all that is known of it.
    [[nodiscard]] double overdueMs(ServerSlot slot, Instant now) const;
    /// This node's own work, with prompt work drained by what the engine has done since.
    [[nodiscard]] ServerLoad ownLoad(ServerSlot slot, Instant now) const;

    /// Takes a peer's own work on a server.
    void notePeerLoad(const NodeId &peer, ServerSlot slot, const ServerLoad &load, Instant now);
    /// Forgets a peer that left.
    void dropPeer(const NodeId &peer);

    /// All nodes' work on a server, as well as it is known at `now`: own work exactly, peers'
    /// digests where they are fresh, and otherwise the engine's report, each drained by what the
    /// engine will have done since.
    [[nodiscard]] ServerLoad totalLoad(ServerSlot slot, Instant now) const;

    /// Sets the time that the model's servers take for a token of prompt, in milliseconds.
    void setPrefillTime(const ModelId &model, double msPerToken);

    /// Takes a mean token gap in milliseconds from a stream of this server.
    void noteTokenGap(ServerSlot slot, double gapMs, Instant now);

    /// Usual token gap of the model's servers: the median; 0 when unknown.
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
