#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "NodeFaults.h"

namespace jacinthroad {

/// Plans when each node is replaced by which build: in waves over all nodes, to the new build and
/// back, one node after the other. Some nodes are left out of a wave and stay behind.
[[nodiscard]] std::vector<std::vector<Replacement>>
planReplacements(std::size_t nodes, std::uint64_t seed, Instant begin, Instant until);

} // namespace jacinthroad
