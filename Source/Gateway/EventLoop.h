#pragma once

#include <boost/asio/io_context.hpp>

#include "Gateway/GatewayMetrics.h"

namespace jacinthroad {

/// Runs the handlers of `context` on the calling thread until the context is stopped or out of
/// work. A handler that throws is logged and counted, and the others go on, since an exception that
/// leaves the loop would end all requests of the process. `thread` names the thread in log and
/// metrics and must outlive it.
void runEventLoop(boost::asio::io_context &context, const char *thread, GatewayMetrics &metrics);

/// Runs `task` and then `next`, also if the task throws, so that a failure doesn't end a series of
/// handlers that start each other. The exception is passed on.
template <typename Task, typename Next> void runThen(Task task, Next next)
{
    try {
        task();
    } catch (...) {
        next();
        throw;
    }
    next();
}

} // namespace jacinthroad
