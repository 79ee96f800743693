#pragma once

#include <optional>

#include <json/value.h>

#include "Rollout/LeaseKeeper.h"

namespace jacinthroad {

/// Encodes the lease as the spec of its object in the platform's store. Fields that newer builds
/// have written to `stored`, the spec that it replaces, are kept.
[[nodiscard]] Json::Value leaseSpec(const LeaseRecord &record, const Json::Value &stored = {});

/// Decodes the lease from the spec of its object; nothing if the spec is malformed.
[[nodiscard]] std::optional<LeaseRecord> readLease(const Json::Value &spec);

} // namespace jacinthroad
