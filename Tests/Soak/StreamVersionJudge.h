#pragma once

#include <vector>

#include "SoakJudge.h"

namespace jacinthroad {

/// Figures of the streams of engine servers.
struct StreamVersionFigures
{
    /// Streams with events of two software versions, in one response or over their take-ups.
    unsigned joined = 0;
    unsigned takeUps = 0;
    /// Streams taken up at undisturbed nodes while two servers of their software version serve, and
    /// how many of them went on there.
    unsigned judgedTakeUps = 0;
    unsigned judgedWentOn = 0;
    /// The last take-up of each that didn't.
    std::vector<std::string> refused;
    /// New streams of the same kind at undisturbed nodes, and how many of them began.
    unsigned newStreams = 0;
    unsigned newStreamsBegun = 0;
};

[[nodiscard]] StreamVersionFigures countStreamVersions(const SoakObservations &observations);
/// Checks that streams go on at the software version that began them, and that they do go on.
[[nodiscard]] std::vector<Violation>
findStreamVersionViolations(const SoakObservations &observations);

} // namespace jacinthroad
