#include "FleetPeers/DigestPacing.h"

#include <algorithm>

namespace jacinthroad {

namespace {

/// Delay of a batch per peer. This limits what a node receives to a thousand datagrams a second.
constexpr Duration BatchDelayPerPeer = milliseconds(1);
/// Number of peers above which the delay per peer itself grows with their number: nodes of a large
/// fleet have little processor time and many servers, so their updates may be older.
constexpr std::size_t PeersAtLinearDelay = 15;
/// Shortest period: a fraction of the time that a request runs on a server.
constexpr Duration MinDigestPeriod = milliseconds(200);
/// Number of digests in a row whose loss makes a node count as down, and the least time for it.
constexpr int LostDigests = 3;
constexpr Duration MinNodeTimeout = milliseconds(1500);
constexpr Duration MinSummaryPeriod = milliseconds(300);

} // namespace

Duration digestBatchDelay(std::size_t peers)
{
    return BatchDelayPerPeer * peers * std::max(PeersAtLinearDelay, peers) / PeersAtLinearDelay;
}

Duration digestPeriod(std::size_t peers)
{
    return std::max(
        { MinDigestPeriod, 2 * digestBatchDelay(peers), digestPause(peers, MaxDigestBytes) });
}

Duration nodeTimeout(std::size_t peers)
{
    return std::max(MinNodeTimeout, LostDigests * digestPeriod(peers));
}

Duration summaryPeriod(std::size_t receivers)
{
    return std::max(MinSummaryPeriod, digestPause(receivers, MaxDigestBytes));
}

Duration digestPause(std::size_t peers, std::size_t bytes)
{
    return fromMilliseconds(1000.0 * static_cast<double>(peers * bytes)
                            / static_cast<double>(MaxDigestBytesPerSecond));
}

} // namespace jacinthroad
