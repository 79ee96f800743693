#include "Gateway/RestartingTask.h"

#include "Core/Log.h"
#include "Core/Time.h"
#include "Gateway/Pause.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

constexpr Duration RestartPause = milliseconds(500);

void logTaskFailure(std::string_view name, const std::exception_ptr &exception,
                    std::string_view remedy)
{
    logLine(LogLevel::Error, "task_failed",
            { { "task", name }, { "reason", exceptionMessage(exception) }, { "remedy", remedy } });
}

} // namespace

std::string exceptionMessage(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "exception of unknown type";
    }
}

asio::awaitable<void> runRestarting(asio::io_context &context, std::string name,
                                    std::function<asio::awaitable<void>()> task)
{
    for (;;) {
        std::exception_ptr failure;
        try {
            co_await task();
        } catch (...) {
            failure = std::current_exception();
        }
        if (failure == nullptr) {
            co_return;
        }
        logTaskFailure(name, failure,
                       "It is started again; if this repeats, restart the node and report it.");
        co_await pauseFor(context, RestartPause);
    }
}

std::function<void(std::exception_ptr)> logFailure(std::string name)
{
    return [name = std::move(name)](const std::exception_ptr &exception) {
        if (exception != nullptr) {
            logTaskFailure(name, exception, "Report it if it repeats.");
        }
    };
}

} // namespace jacinthroad
