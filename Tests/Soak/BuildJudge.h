#pragma once

#include <map>
#include <vector>

#include "SoakJudge.h"

namespace jacinthroad {

/// What the nodes of one build did with the requests of callers.
struct BuildFigures
{
    unsigned requests = 0;
    unsigned served = 0;
    /// Requests forwarded to a node of this build by one of any build.
    unsigned helped = 0;
    /// Runs that began after the end of their caller's connection, which the node had closed.
    unsigned runsAfterEnd = 0;
};

/// Counts by the build of the node that read the request; empty with one build.
[[nodiscard]] std::map<NodeBuild, BuildFigures> countByBuild(const SoakObservations &observations);
/// Checks that configurations are in force in time at undisturbed nodes.
[[nodiscard]] std::vector<Violation> findLateConfigurations(const SoakObservations &observations);
/// Adds to each violation that counts requests how many of them nodes of each build sent.
void nameBuilds(const SoakObservations &observations, std::vector<Violation> &violations);

} // namespace jacinthroad
