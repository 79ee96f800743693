#include "FleetPeers/DigestPacing.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Delay of a batch per peer. This limits what a node receives to a thousand datagrams a second.
constexpr Duration BatchDelayPerPeer = milliseconds(1);
/// Number of peers above which the delay per peer itself grows with their number: nodes of a large
/// fleet have little processor time and many servers, so their updates may be older.
constexpr std::size_t PeersAtLinearDelay = 15;

} // namespace

Duration digestBatchDelay(std::size_t peers)
{
    return BatchDelayPerPeer * peers * std::max(PeersAtLinearDelay, peers) / PeersAtLinearDelay;
}

Duration digestPause(std::size_t peers, std::size_t bytes)
{
    return fromMilliseconds(1000.0 * static_cast<double>(peers * bytes)
                            / static_cast<double>(MaxDigestBytesPerSecond));
}

} // namespace jacinthroad
