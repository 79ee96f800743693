#pragma once

#include <atomic>
#include <cstdint>

#include "Core/Time.h"
#include "SoakServers.h"

namespace jacinthroad {

/// Releases newer software versions of the engine servers until the end of the faults. Releases
/// overlap: one may begin before the one before it has replaced its last server.
void releaseVersions(SoakServers &servers, std::uint64_t seed, Instant until,
                     std::atomic<unsigned> &releases);

} // namespace jacinthroad
