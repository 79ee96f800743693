#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "NodeProcess.h"

namespace jacinthroad {

/// Sends requests without end, with a key and without, to each address that nodes listen to, on a
/// few connections at a time, until the end of the faults. Returns their number at each node's
/// address for callers, by name.
[[nodiscard]] std::map<std::string, std::size_t>
sendEndlessRequests(const std::vector<std::shared_ptr<NodeProcess>> &nodes, std::uint64_t seed,
                    Instant until);

} // namespace jacinthroad
