#pragma once

#include <cstdint>

namespace jacinthroad {

/// Returns the score of a server for a key in rendezvous (highest random weight) hashing. All
/// nodes compute the same order without communication, and removing a server moves only its own
/// keys.
[[nodiscard]] std::uint64_t rendezvousScore(std::uint64_t key, std::uint64_t serverHash);

} // namespace jacinthroad
