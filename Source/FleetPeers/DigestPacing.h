#pragma once

#include <cstddef>

#include "Core/Time.h"

namespace jacinthroad {

/// Size that a digest should not exceed, so that it fits into one packet.
constexpr std::size_t MaxDigestBytes = 1400;
/// Bytes of digests that a node sends to all peers together in a second: less than a third of a
/// link of 10 Mbit/s, which also carries the requests.
constexpr std::size_t MaxDigestBytesPerSecond = 375'000;

/// Returns how long an update waits to be batched with others before a digest goes to `peers`
/// peers.
[[nodiscard]] Duration digestBatchDelay(std::size_t peers);

/// Returns the time between two digests to `peers` peers while there is nothing new to report.
[[nodiscard]] Duration digestPeriod(std::size_t peers);

/// Returns the time without a digest after which a node counts as down in a fleet in which each
/// node sends its digests to `peers` peers: several digests in a row are lost.
[[nodiscard]] Duration nodeTimeout(std::size_t peers);

/// Returns the time between two summaries of a zone's digests to `receivers` nodes.
[[nodiscard]] Duration summaryPeriod(std::size_t receivers);

/// Returns the shortest time between a digest of `bytes` that went to `peers` peers and the next
/// one, in whichever way that one came about.
[[nodiscard]] Duration digestPause(std::size_t peers, std::size_t bytes);

} // namespace jacinthroad
