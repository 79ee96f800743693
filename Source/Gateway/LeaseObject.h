#pragma once

#include <optional>

#include <json/value.h>

#include "Rollout/LeaseKeeper.h"

namespace jacinthroad {

/// Encodes the lease as the spec of its object in the platform's store.
[[nodiscard]] Json::Value leaseSpec(const LeaseRecord &record);

/// Decodes the lease from the spec of its object; nothing if the spec is malformed.
[[nodiscard]] std::optional<LeaseRecord> readLease(const Json::Value &spec);

} // namespace jacinthroad
