#pragma once

#include "Program/CommandLine.h"

namespace jacinthroad {

/// `serve`: runs a node until it is told to stop, then stops gracefully.
[[nodiscard]] ExitCode runServe(const Arguments &arguments);
/// `stand-in`: runs an engine, platform or service stand-in as a process of its own.
[[nodiscard]] ExitCode runStandIn(const Arguments &arguments);
/// `demo`: everything in one process, with traffic and faults, judged by the stand-ins.
[[nodiscard]] ExitCode runDemo(const Arguments &arguments);
/// `load`: the load and experiment tool.
[[nodiscard]] ExitCode runLoad(const Arguments &arguments);
/// `config`: operators' objects.
[[nodiscard]] ExitCode runConfig(const Arguments &arguments);
/// `status`: what a node and its peers believe.
[[nodiscard]] ExitCode runStatus(const Arguments &arguments);
/// `drain`: a planned stop.
[[nodiscard]] ExitCode runDrain(const Arguments &arguments);
/// `report`: where compute went.
[[nodiscard]] ExitCode runReport(const Arguments &arguments);
/// `settings`: checks a settings file.
[[nodiscard]] ExitCode runSettings(const Arguments &arguments);

} // namespace jacinthroad
