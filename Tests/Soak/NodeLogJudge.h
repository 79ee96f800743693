#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "SoakJudge.h"

namespace jacinthroad {

/// Adds what the lines of a node's log tell.
void readNodeLog(std::string_view node, const std::vector<std::string> &lines, NodeLog &log);
/// Checks that nodes answer what they have read, and that no node logged a failure of its own.
[[nodiscard]] std::vector<Violation> findNodeLogViolations(const SoakObservations &observations);

} // namespace jacinthroad
