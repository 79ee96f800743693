#pragma once

#include <csignal>

namespace jacinthroad {

/// The signals that `serve` handles: SIGHUP, SIGTERM and SIGINT.
[[nodiscard]] inline sigset_t handledSignals()
{
    sigset_t signals {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace jacinthroad

/// Runs the program. The caller has blocked the signals of handledSignals(); `inherited` is the
/// signal mask from before. Returns the exit status of the process.
extern "C" int jacinthroadMain(int argc, char **argv, const sigset_t *inherited);
