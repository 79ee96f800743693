#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>

#include <json/value.h>

#include "Core/Time.h"
#include "NodeFaults.h"
#include "StoreStandIn.h"

namespace jacinthroad {

/// The configuration that operators wrote last.
struct LastConfiguration
{
    std::mutex mutex;
    Json::Value spec;
    /// Its idle limit in ms, for readers without the mutex.
    std::atomic<int> idleLimitMs { 0 };
};

/// A configuration with the routes and keys that all have.
[[nodiscard]] Json::Value soakConfiguration(int version, std::mt19937_64 &random);
/// Writes the configuration to the store as the last one. Needs the lock of `last`.
void writeConfiguration(StoreStandIn &store, LastConfiguration &last, Json::Value spec);
/// The longest idle limit of all configurations, in ms; that of the first.
[[nodiscard]] int longestIdleLimit();
/// Writes newer configurations until a moment, also in series with few ms between them. Some have
/// a thousand routes and more.
void changeConfigurations(StoreStandIn &store, LastConfiguration &last, std::uint64_t seed,
                          Instant until, FaultCounts &counts);

} // namespace jacinthroad
