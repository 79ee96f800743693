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

/// Lets a node whose store requests are rejected learn from its peers that its configuration is
/// still the newest. A digest may stay for seconds in the queue of a suspended VM, so an age sent
/// by a peer proves nothing by itself. Peers therefore echo the sequence number of the last digest
/// received from a node with an old configuration; that node knows when it sent the digest, and the
/// peer's response cannot be older than that. Performs no I/O; the time is passed in.
class FreshnessExchange
{
public:
    struct Options
    {
        std::string self;
        /// Start of this process, as sent in its digests.
        std::uint64_t boot = 0;
    };

    explicit FreshnessExchange(Options options);

    /// Records that a digest of this node is sent at `now`.
    void noteSent(std::uint64_t sequence, BootInstant now);
    /// Records a peer's digest. If its configuration is at least `oldAfter` old, the next echoes
    /// include it.
    void noteReceived(const NodeDigest &digest, Duration oldAfter);
    /// Returns and removes the echoes for the next digest.
    [[nodiscard]] std::vector<DigestEcho> takeEchoes();
    /// The moment at which the configuration of this version and content hash was the newest
    /// according to a peer's digest; nullopt if the digest does not prove it.
    [[nodiscard]] std::optional<BootInstant>
    confirmedBy(const NodeDigest &digest, std::uint64_t version, std::uint64_t contentHash) const;

private:
    Options options_;
    /// Sequence number and sending time of the latest digests, oldest first.
    std::deque<std::pair<std::uint64_t, BootInstant>> sent_;
    /// Boot and sequence number to echo, by node.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> pendingEchoes_;
};

} // namespace jacinthroad
