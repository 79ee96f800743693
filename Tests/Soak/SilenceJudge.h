#pragma once

#include <vector>

#include "SoakJudge.h"

namespace jacinthroad {

/// True if the server of a run was silent while its caller waited.
[[nodiscard]] bool wasSilent(const SoakObservations &observations, const ServerRun &run,
                             const CallerRecord &record);
/// Checks that nodes end no request because its server, which is sound, is silent for a while, or
/// because others send bytes without end.
[[nodiscard]] std::vector<Violation> findSilenceViolations(const SoakObservations &observations);

} // namespace jacinthroad
