#pragma once

#include <vector>

#include "NodeFaults.h"
#include "SoakJudge.h"
#include "StoreStandIn.h"

namespace jacinthroad {

/// Time within which servers must run new weights, in the settings of nodes.
constexpr Duration SoakWeightsLimit = std::chrono::seconds(6);

/// Moments at which all nodes are killed, from shortly after `begin` on.
[[nodiscard]] std::vector<CommonRestart> restartsBesideNewWeights(Instant begin,
                                                                  std::mt19937_64 &random);
/// Sets new weights soon after `begin`.
void setNewWeights(StoreStandIn &store, Instant begin, FaultCounts &counts);
/// Checks that calm nodes send no requests to servers with replaced weights later than the limit.
[[nodiscard]] std::vector<Violation> findWeightsViolations(const SoakObservations &observations);

} // namespace jacinthroad
