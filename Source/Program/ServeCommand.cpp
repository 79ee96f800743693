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
constexpr Duration DrainPatience = std::chrono::minutes(10);

volatile std::sig_atomic_t stopSignals = 0;

void onSignal(int)
{
    stopSignals = stopSignals + 1;
}

void catchSignals()
{
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
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
    while (stopSignals == 0) {
        std::this_thread::sleep_for(SignalPoll);
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
