#pragma once

#include "Program/CommandLine.h"

namespace jacinthroad {

/// `serve`: runs a node until a stop signal or a drain request, then drains it.
[[nodiscard]] ExitCode runServe(const Arguments &arguments);
/// `stand-in`: runs an engine, platform or service stand-in as a separate process.
[[nodiscard]] ExitCode runStandIn(const Arguments &arguments);
/// `demo`: runs a complete system in one process with traffic and injected faults, and checks the
/// guarantees against the stand-ins' counters.
[[nodiscard]] ExitCode runDemo(const Arguments &arguments);
/// `load`: runs load experiments and property runs.
[[nodiscard]] ExitCode runLoad(const Arguments &arguments);
/// `config`: shows, validates and patches the configuration.
[[nodiscard]] ExitCode runConfig(const Arguments &arguments);
/// `status`: shows the state of a node, its peers and its backend servers.
[[nodiscard]] ExitCode runStatus(const Arguments &arguments);
/// `drain`: asks a node to drain and then stop.
[[nodiscard]] ExitCode runDrain(const Arguments &arguments);
/// `report`: shows burn rates or compute usage.
[[nodiscard]] ExitCode runReport(const Arguments &arguments);
/// `settings`: checks a settings file or prints the settings reference.
[[nodiscard]] ExitCode runSettings(const Arguments &arguments);

} // namespace jacinthroad
