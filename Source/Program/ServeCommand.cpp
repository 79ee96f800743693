#include <algorithm>
#include <atomic>
#include <cerrno>
#include <climits>
#include <csignal>
#include <exception>
#include <initializer_list>
#include <string>
#include <string_view>
#include <thread>

#include <malloc.h>
#include <poll.h>
#include <unistd.h>

#include "Core/Log.h"
#include "Core/MemoryReserve.h"
#include "Core/ProcessFailure.h"
#include "Gateway/Gateway.h"
#include "Gateway/UnknownSettings.h"
#include "Node/Node.h"
#include "Program/Commands.h"
#include "Program/ProgramMain.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

/// Short, because the grace period of a stop begins before the signal is noticed.
constexpr Duration SignalPollInterval = milliseconds(10);
/// Interval at which the settings file is checked for changes that come without a SIGHUP.
constexpr Duration SettingsPollInterval = std::chrono::seconds(2);
constexpr Duration DrainTimeout = std::chrono::minutes(10);
/// How long a start waits for settings that can be used: the file may be being replaced.
constexpr Duration SettingsWait = std::chrono::seconds(1);
constexpr std::string_view NoMemoryToStart = "the system refuses the memory for the start";
/// How long an error waits for a full pipe.
constexpr int ErrorWaitMs = 1000;

/// Any thread may handle a signal.
std::atomic<bool> stopRequested { false };
std::atomic<bool> reloadRequested { false };
/// When the first stop signal came, in ticks of the steady clock; 0 before.
std::atomic<Instant::rep> stopSignalTicks { 0 };
static_assert(std::atomic<bool>::is_always_lock_free
                  && std::atomic<Instant::rep>::is_always_lock_free,
              "signal handlers must not wait for a lock");

void onStopSignal(int)
{
    Instant::rep none = 0;
    stopSignalTicks.compare_exchange_strong(
        none, std::chrono::steady_clock::now().time_since_epoch().count());
    stopRequested = true;
}

void onReloadSignal(int)
{
    reloadRequested = true;
}

void installSignalHandlers()
{
    std::signal(SIGHUP, onReloadSignal);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
    // The kernel sends it for a write beyond RLIMIT_FSIZE, which then fails like any other.
    std::signal(SIGXFSZ, SIG_IGN);
    const sigset_t handled = handledSignals();
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

/// Makes the allocator return the memory of each long body to the system when it is freed. By
/// default it comes to serve them from the heap, which fragments it.
void keepLongBodiesOutOfHeap()
{
    constexpr int SmallestMappedBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, SmallestMappedBytes);
}

/// Logs a line. Without memory for it the node goes on, as leaving its main loop would close the
/// connections of all callers.
void logIfPossible(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    try {
        logLine(level, event, fields);
    } catch (const std::exception &) {
        return;
    }
}

void logUnknownSettings(const std::string &text, const std::string &file)
{
    for (const std::string &line : unknownGatewaySettings(text, file)) {
        logLine(LogLevel::Warning, "settings_field_unknown",
                { { "reason", line },
                  { "remedy", "The field is ignored; check its name, or the version in use." } });
    }
}

/// Applies the settings file if it has changed. An invalid file is logged and leaves the current
/// settings active.
void reload(Gateway &gateway, const std::string &file, std::string &activeText)
{
    const auto text = readFile(file);
    if (text.has_value() && *text == activeText) {
        return;
    }
    const auto settings = text.has_value()
        ? readGatewaySettings(*text, file)
        : Result<GatewaySettings>(tl::make_unexpected(text.error()));
    if (!settings.has_value()) {
        logLine(LogLevel::Error, "settings_rejected", { { "reason", settings.error().message } });
        return;
    }
    activeText = *text;
    configureLog(settings->log);
    logUnknownSettings(*text, file);
    gateway.reload(*settings);
    logLine(LogLevel::Info, "settings_reloaded", { { "file", file } });
}

bool isUsable(const std::string &text, const std::string &file)
{
    return isGatewaySettings(text) ? readGatewaySettings(text, file).has_value()
                                   : readNodeSettings(text, file).has_value();
}

/// Reads the settings file, again and again if it is missing or invalid. Returns what was read
/// last.
Result<std::string> readSettingsAtStart(const std::string &file)
{
    const Instant until = std::chrono::steady_clock::now() + SettingsWait;
    for (;;) {
        auto text = readFile(file);
        if ((text.has_value() && isUsable(*text, file)) || stopRequested
            || std::chrono::steady_clock::now() >= until) {
            return text;
        }
        std::this_thread::sleep_for(SignalPollInterval);
    }
}

/// Writes an error to standard error. A full pipe that nobody reads delays the end of the process
/// only for a moment.
void reportError(const Error &error)
{
    const std::string text
        = "jacinthroad: " + error.message + "\nremedy: " + error.remedyText() + "\n";
    std::string_view rest = text;
    while (!rest.empty()) {
        pollfd state { .fd = STDERR_FILENO, .events = POLLOUT, .revents = 0 };
        const int ready = poll(&state, 1, ErrorWaitMs);
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0 || (state.revents & POLLOUT) == 0) {
            return;
        }
        // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
        const ssize_t size
            = write(STDERR_FILENO, rest.data(), std::min(rest.size(), std::size_t { PIPE_BUF }));
        if (size <= 0) {
            return;
        }
        rest.remove_prefix(static_cast<std::size_t>(size));
    }
}

Error limitError(std::string_view reason)
{
    return { .message = "the node can't go on: " + std::string(reason),
             .remedy = "Raise the limits of the process on open files, threads and memory, or end "
                       "what uses them up." };
}

/// Takes the memory reserve back and logs when it comes into use and when it is whole again.
void watchMemory(MemoryLevel &logged)
{
    const MemoryLevel level = refillMemoryReserve();
    if (level == logged) {
        return;
    }
    if (level == MemoryLevel::Sufficient) {
        logIfPossible(LogLevel::Info, "memory_sufficient", { { "open_requests", openRequests() } });
    } else if (logged == MemoryLevel::Sufficient) {
        logIfPossible(LogLevel::Error, "memory_refused",
                      { { "open_requests", openRequests() },
                        { "remedy",
                          "New requests are refused until the system grants memory; "
                          "raise the limits of the process on memory, or lower "
                          "memory.total_mb." } });
    }
    logged = level;
}

ExitCode serveGateway(const std::string &text, const std::string &file)
{
    const auto settings = readGatewaySettings(text, file);
    if (!settings.has_value()) {
        reportError(settings.error());
        return ExitCode::Failed;
    }
    configureLog(settings->log);
    logUnknownSettings(text, file);
    auto gateway = Gateway::start(*settings);
    if (!gateway.has_value()) {
        reportError(gateway.error());
        return ExitCode::Failed;
    }
    if (memoryLevel() != MemoryLevel::Sufficient) {
        reportError(limitError(NoMemoryToStart));
        return ExitCode::Failed;
    }
    logLine(LogLevel::Info, "serving",
            { { "node", settings->name }, { "callers", settings->callerAddress } });
    std::string activeText = text;
    Instant lastCheck = std::chrono::steady_clock::now();
    MemoryLevel loggedMemory = MemoryLevel::Sufficient;
    while (!stopRequested) {
        std::this_thread::sleep_for(SignalPollInterval);
        watchMemory(loggedMemory);
        const Instant now = std::chrono::steady_clock::now();
        if (reloadRequested.exchange(false) || now - lastCheck >= SettingsPollInterval) {
            lastCheck = now;
            try {
                reload(**gateway, file, activeText);
            } catch (const std::exception &failure) {
                logIfPossible(LogLevel::Error, "settings_rejected",
                              { { "reason", failure.what() } });
            }
        }
    }
    const Instant signalled { Instant::duration(stopSignalTicks.load()) };
    logIfPossible(LogLevel::Info, "stopping",
                  { { "node", settings->name },
                    { "late_ms", toMilliseconds(std::chrono::steady_clock::now() - signalled) } });
    const bool completed = (*gateway)->drain(signalled);
    logLine(completed ? LogLevel::Info : LogLevel::Warning, "stopped",
            { { "node", settings->name },
              { "requests_cut", std::int64_t { completed ? 0 : 1 } },
              { "open_requests", openRequests() } });
    return ExitCode::Success;
}

ExitCode serve(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad serve --settings FILE" };
    syntax.options.add_options()("settings", options::value<std::string>()->required(),
                                 "settings file of this node");
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const std::string file = parsed.values["settings"].as<std::string>();
    const auto text = readSettingsAtStart(file);
    if (stopRequested) {
        // Nothing is open yet that would have to be drained.
        return ExitCode::Success;
    }
    if (!text.has_value()) {
        reportError(text.error());
        return ExitCode::Failed;
    }
    const ReportedThread reported("main");
    installFailureReports(STDOUT_FILENO);
    if (isGatewaySettings(*text)) {
        return serveGateway(*text, file);
    }
    const auto settings = readNodeSettings(*text, file);
    if (!settings.has_value()) {
        reportError(settings.error());
        return ExitCode::Failed;
    }
    configureLog(settings->log);
    auto node = Node::start(*settings);
    if (!node.has_value()) {
        reportError(node.error());
        return ExitCode::Failed;
    }
    logLine(LogLevel::Info, "serving",
            { { "node", settings->name },
              { "caller_port", static_cast<std::int64_t>((*node)->callerPort()) },
              { "operator_port", static_cast<std::int64_t>((*node)->operatorPort()) } });
    while (!stopRequested && !(*node)->drainRequested()) {
        std::this_thread::sleep_for(SignalPollInterval);
    }
    const bool drained = (*node)->drain(DrainTimeout);
    logLine(drained ? LogLevel::Info : LogLevel::Warning, "stopped",
            { { "node", settings->name }, { "work_left", std::int64_t { drained ? 0 : 1 } } });
    return drained ? ExitCode::Success : ExitCode::Failed;
}

} // namespace

ExitCode runServe(const Arguments &arguments)
{
    installSignalHandlers();
    keepLongBodiesOutOfHeap();
    if (!holdMemoryReserve()) {
        reportError(limitError(NoMemoryToStart));
        return ExitCode::Failed;
    }
    try {
        return serve(arguments);
    } catch (const std::exception &failure) {
        reportError(limitError(failure.what()));
        return ExitCode::Failed;
    }
}

} // namespace jacinthroad
