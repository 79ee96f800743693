#include "Gateway/EventLoop.h"

#include <exception>

#include "Core/Log.h"
#include "Core/ProcessFailure.h"
#include "Gateway/RestartingTask.h"

namespace jacinthroad {

namespace {

void noteFailure(const char *thread, GatewayMetrics &metrics, const std::exception_ptr &exception)
{
    try {
        metrics.countHandlerFailure(thread);
        logLine(LogLevel::Error, "handler_failed",
                { { "thread", thread },
                  { "reason", exceptionMessage(exception) },
                  { "remedy", "The thread goes on; report it if it repeats." } });
    } catch (...) {
        // Without memory for the line, the requests of the thread still go on.
        return;
    }
}

} // namespace

void runEventLoop(boost::asio::io_context &context, const char *thread, GatewayMetrics &metrics)
{
    const ReportedThread reported(thread);
    for (bool done = false; !done;) {
        try {
            context.run();
            done = true;
        } catch (...) {
            noteFailure(thread, metrics, std::current_exception());
        }
    }
}

} // namespace jacinthroad
