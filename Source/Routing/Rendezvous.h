#pragma once

#include <cstdint>

namespace jacinthroad {

/// The score of a server for a key in rendezvous (highest random weight) order. All nodes
/// compute the same order without a message; a server that goes moves only its own keys.
[[nodiscard]] std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t serverHash);

} // namespace jacinthroad
