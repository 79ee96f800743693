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
    /// One block key in so many is told; 0 tells none.
    std::uint32_t sampleOneIn = 16;
    std::string key;
};

/// A datagram to send.
struct PeerDatagram
{
    std::string target;
    std::string bytes;
};

/// What nodes tell each other: it turns the dispatcher's state into datagrams within a byte
/// budget, and peers' datagrams into the dispatcher's messages. When the budget does not allow a
/// datagram to every peer in each round, rounds take the peers in turn. Pure: the time is passed
/// in, datagrams come out.
class PeerExchange
{
public:
    explicit PeerExchange(PeerExchangeOptions options);

    /// The datagrams of one round.
    [[nodiscard]] std::vector<PeerDatagram> round(Dispatcher &dispatcher, Instant now);

    /// Takes a peer's message; nothing when it is old or a replay.
    [[nodiscard]] std::optional<PeerReported> take(const PeerMessage &message,
                                                   const Dispatcher &dispatcher, Instant now);

    void setConfigurationVersion(std::uint64_t version);
    void setLeaving() { options_.self.leaving = true; }

    [[nodiscard]] PeerTable &table() { return table_; }
    [[nodiscard]] const PeerTable &table() const { return table_; }

    /// Requests of a team under way at other nodes, as they last told.
    [[nodiscard]] std::uint32_t teamElsewhere(const TeamId &team, Instant now) const;

private:
    [[nodiscard]] PeerMessage compose(Dispatcher &dispatcher, Instant now);
    void gatherStored(Dispatcher &dispatcher);
    void refillBudget(Instant now);

    PeerExchangeOptions options_;
    PeerTable table_;
    std::uint64_t sequence_ = 0;
    double budgetBytes_ = 0;
    std::optional<Instant> budgetAt_;
    std::size_t nextTarget_ = 0;
    std::vector<PeerStoredBlocks> stored_;
    struct TeamsOfPeer
    {
        Instant at;
        std::map<std::uint32_t, std::uint32_t> inFlight;
    };
    std::map<NodeId, TeamsOfPeer> teams_;
};

} // namespace jacinthroad
