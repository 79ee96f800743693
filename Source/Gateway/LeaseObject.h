#pragma once

#include <optional>

#include <json/value.h>

#include "Rollout/LeaseKeeper.h"

namespace jacinthroad {

/// The lease as the spec of its object in the platform's store.
[[nodiscard]] Json::Value leaseSpec(const LeaseRecord &record);

/// The lease from its object; nothing where it cannot be read.
[[nodiscard]] std::optional<LeaseRecord> readLease(const Json::Value &spec);

} // namespace jacinthroad
