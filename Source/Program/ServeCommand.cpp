#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include "Core/Log.h"
#include "Gateway/Gateway.h"
#include "Node/Node.h"
#include "Program/Commands.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

constexpr Duration SignalPoll = milliseconds(50);
/// The settings file may change without a signal; a change is found within this time.
constexpr Duration SettingsPoll = std::chrono::seconds(2);
constexpr Duration DrainPatience = std::chrono::minutes(10);

volatile std::sig_atomic_t stopSignals = 0;
volatile std::sig_atomic_t reloadSignals = 0;

void onSignal(int)
{
    stopSignals = stopSignals + 1;
}

void onReload(int)
{
    reloadSignals = reloadSignals + 1;
}

void catchSignals()
{
    std::signal(SIGHUP, onReload);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

/// Puts a changed settings file in force. A file with faults leaves everything as it is.
void reload(Gateway &gateway, const std::string &file, std::string &inForce)
{
    const auto text = readFile(file);
    if (text.has_value() && *text == inForce) {
        return;
    }
    const auto settings = text.has_value()
        ? readGatewaySettings(*text, file)
        : Result<GatewaySettings>(tl::make_unexpected(text.error()));
    if (!settings.has_value()) {
        logLine(LogLevel::Error, "settings_rejected", { { "reason", settings.error().message } });
        return;
    }
    inForce = *text;
    configureLog(settings->log);
    gateway.reload(*settings);
    logLine(LogLevel::Info, "settings_reloaded", { { "file", file } });
}

ExitCode serveGateway(const std::string &text, const std::string &file)
{
    const auto settings = readGatewaySettings(text, file);
    if (!settings.has_value()) {
        printError(settings.error());
        return ExitCode::Failed;
    }
    configureLog(settings->log);
    catchSignals();
    auto gateway = Gateway::start(*settings);
    if (!gateway.has_value()) {
        printError(gateway.error());
        return ExitCode::Failed;
    }
    logLine(LogLevel::Info, "serving",
            { { "node", settings->name }, { "callers", settings->callerAddress } });
    std::string inForce = text;
    Instant looked = std::chrono::steady_clock::now();
    while (stopSignals == 0) {
        std::this_thread::sleep_for(SignalPoll);
        const Instant now = std::chrono::steady_clock::now();
        if (reloadSignals > 0 || now - looked >= SettingsPoll) {
            reloadSignals = 0;
            looked = now;
            reload(**gateway, file, inForce);
        }
    }
    logLine(LogLevel::Info, "stopping", { { "node", settings->name } });
    const bool whole = (*gateway)->drain();
    logLine(whole ? LogLevel::Info : LogLevel::Warning, "stopped",
            { { "node", settings->name }, { "requests_cut", std::int64_t { whole ? 0 : 1 } } });
    return ExitCode::Done;
}

} // namespace

ExitCode runServe(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad serve --settings FILE" };
    syntax.options.add_options()("settings", options::value<std::string>()->required(),
                                 "settings of this node");
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const std::string file = parsed.values["settings"].as<std::string>();
    const auto text = readFile(file);
    if (!text.has_value()) {
        printError(text.error());
        return ExitCode::Failed;
    }
    if (isGatewaySettings(*text)) {
        return serveGateway(*text, file);
    }
    const auto settings = readNodeSettings(*text, file);
    if (!settings.has_value()) {
        printError(settings.error());
        return ExitCode::Failed;
    }
    configureLog(settings->log);
    catchSignals();
    auto node = Node::start(*settings);
    if (!node.has_value()) {
        printError(node.error());
        return ExitCode::Failed;
    }
    logLine(LogLevel::Info, "serving",
            { { "node", settings->name },
              { "caller_port", static_cast<std::int64_t>((*node)->callerPort()) },
              { "operator_port", static_cast<std::int64_t>((*node)->operatorPort()) } });
    while (stopSignals == 0 && !(*node)->drainRequested()) {
        std::this_thread::sleep_for(SignalPoll);
    }
    const bool empty = (*node)->drain(DrainPatience);
    logLine(empty ? LogLevel::Info : LogLevel::Warning, "stopped",
            { { "node", settings->name }, { "work_left", std::int64_t { empty ? 0 : 1 } } });
    return empty ? ExitCode::Done : ExitCode::Failed;
}

} // namespace jacinthroad
