#pragma once

#include <atomic>
#include <cstdint>

#include "Core/Time.h"
#include "SoakServers.h"
#include "StoreStandIn.h"

namespace jacinthroad {

/// Writes objects that another writer left among the servers and in other kinds, as new ones and as
/// changes of servers' entries, until the end of the faults. The new ones stay; servers correct
/// their own.
void writeOddEntries(StoreStandIn &store, SoakServers &servers, std::uint64_t seed, Instant until,
                     std::atomic<unsigned> &written);

} // namespace jacinthroad
