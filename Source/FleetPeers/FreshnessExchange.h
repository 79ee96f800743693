#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Fleet/Freshness.h"
#include "FleetPeers/NodeDigest.h"

namespace jacinthroad {

/// Lets a node that the store turns away learn from its peers that its configuration is still the
/// newest. A digest may lie for seconds in the queue of a suspended VM, so an age that a peer tells
/// means nothing by itself. Peers therefore repeat the sequence number of the last digest that they
/// heard from a node with an old configuration; that node knows when it sent it, and what the peer
/// said later was true no earlier than then. Pure: the caller passes the time.
class FreshnessExchange
{
public:
    struct Options
    {
        std::string self;
        /// Start of this process, as its digests tell it.
        std::uint64_t boot = 0;
    };

    explicit FreshnessExchange(Options options);

    /// Notes that a digest of this node leaves at `now`.
    void noteSent(std::uint64_t sequence, BootInstant now);
    /// Notes a peer's digest; one whose configuration is at least `oldAfter` old is answered with
    /// the next echoes.
    void noteReceived(const NodeDigest &digest, Duration oldAfter);
    /// The echoes for the next digest, each given once.
    [[nodiscard]] std::vector<DigestEcho> takeEchoes();
    /// The moment at which configuration `version` was the newest according to a peer's digest;
    /// nothing where it does not tell.
    [[nodiscard]] std::optional<BootInstant> confirmedBy(const NodeDigest &digest,
                                                         std::uint64_t version) const;

private:
    Options options_;
    /// Sequence and time of the latest digests, oldest first.
    std::deque<std::pair<std::uint64_t, BootInstant>> sent_;
    /// Boot and sequence of what is to be repeated, by node.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> asked_;
};

} // namespace jacinthroad
