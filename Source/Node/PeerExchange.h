#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Membership/PeerTable.h"
#include "PeerLink/PeerMessage.h"
#include "Routing/Dispatcher.h"

namespace jacinthroad {

/// Settings of a PeerExchange.
struct PeerExchangeOptions
{
    PeerIdentity self;
    Duration interval = milliseconds(200);
    std::uint32_t bytesPerSecond = 8000;
    /// One in this many block keys is sent; 0 sends none.
    std::uint32_t sampleOneIn = 16;
    std::string key;
};

/// A datagram to send; `target` is `IP:port`.
struct PeerDatagram
{
    std::string target;
    std::string bytes;
};

/// State exchange between nodes: encodes the dispatcher's state in datagrams within a byte budget
/// and converts peers' datagrams to messages for the dispatcher. When the budget doesn't cover a
/// datagram to every peer in each round, successive rounds cycle through the peers. Does no I/O:
/// the time is a parameter, and the caller sends the datagrams.
class PeerExchange
{
public:
    explicit PeerExchange(PeerExchangeOptions options);

    /// Returns the datagrams of one round.
    [[nodiscard]] std::vector<PeerDatagram> nextDatagrams(Dispatcher &dispatcher, Instant now);

    /// Converts a peer's message; empty when it is outdated or a replay.
    [[nodiscard]] std::optional<PeerReported>
    acceptMessage(const PeerMessage &message, const Dispatcher &dispatcher, Instant now);

    void setConfigurationVersion(std::uint64_t version);
    void setLeaving() { options_.self.leaving = true; }

    [[nodiscard]] PeerTable &table() { return table_; }
    [[nodiscard]] const PeerTable &table() const { return table_; }

    /// Number of a team's open requests at other nodes, by their latest reports.
    [[nodiscard]] std::uint32_t teamRequestsAtPeers(const TeamId &team, Instant now) const;

private:
    [[nodiscard]] PeerMessage buildMessage(Dispatcher &dispatcher, Instant now);
    void collectStoredKeys(Dispatcher &dispatcher);
    void refillBudget(Instant now);

    PeerExchangeOptions options_;
    PeerTable table_;
    std::uint64_t sequence_ = 0;
    double budgetBytes_ = 0;
    std::optional<Instant> budgetRefilledAt_;
    std::size_t nextTarget_ = 0;
    std::vector<PeerStoredBlocks> stored_;
    struct ReportedTeamLoads
    {
        Instant receivedAt;
        std::map<std::uint32_t, std::uint32_t> inFlight;
    };
    std::map<NodeId, ReportedTeamLoads> teamLoads_;
};

} // namespace jacinthroad
