#pragma once

#include <string>

#include "SoakJudge.h"

namespace jacinthroad {

/// Writes one line of JSON for each request of the callers, in the order in which they were sent,
/// with times as in the logs of the nodes.
void writeRequestTrace(const std::string &file, const SoakObservations &observations);

} // namespace jacinthroad
