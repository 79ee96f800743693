#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "RunLog.h"
#include "ServerLinks.h"

namespace jacinthroad {

/// The links of one node to backend servers.
struct NodeLinks
{
    std::string node;
    std::shared_ptr<ServerLinks> links;
};

/// Cuts the links of some of the nodes, of at most half, again and again until the end of the
/// faults, whatever else happens to these nodes. Returns the cuts.
[[nodiscard]] std::vector<LinkCut> cutLinks(const std::vector<NodeLinks> &nodes, std::uint64_t seed,
                                            Instant until);

} // namespace jacinthroad
