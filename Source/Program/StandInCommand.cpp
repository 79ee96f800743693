#include <csignal>
#include <iostream>
#include <thread>

#include "Program/Commands.h"
#include "StandIns/EngineStandIn.h"
#include "StandIns/PlatformStandIn.h"
#include "StandIns/ServiceStandIn.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

constexpr Duration SignalPollInterval = milliseconds(50);

volatile std::sig_atomic_t stopRequested = 0;

void onStopSignal(int)
{
    stopRequested = 1;
}

ExitCode waitForSignal(const std::string &kind, const std::string &url)
{
    std::cout << kind << " stand-in at " << url << std::endl;
    while (stopRequested == 0) {
        std::this_thread::sleep_for(SignalPollInterval);
    }
    return ExitCode::Success;
}

} // namespace

ExitCode runStandIn(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad stand-in engine|platform|service --port PORT",
                           .positional = { "kind" } };
    syntax.options.add_options()("kind", options::value<std::string>()->required(),
                                 "engine, platform or service");
    syntax.options.add_options()("port", options::value<std::uint16_t>()->default_value(0),
                                 "TCP port on 127.0.0.1; 0 picks a free one");
    syntax.options.add_options()("model", options::value<std::string>()->default_value("model"),
                                 "model that the engine serves");
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string kind = parsed.values["kind"].as<std::string>();
    const auto port = parsed.values["port"].as<std::uint16_t>();
    if (kind == "engine") {
        EngineStandIn engine({ .model = parsed.values["model"].as<std::string>(), .port = port });
        engine.start();
        return waitForSignal(kind, engine.url());
    }
    if (kind == "platform") {
        const PlatformStandIn platform(port);
        return waitForSignal(kind, platform.url());
    }
    if (kind == "service") {
        const ServiceStandIn service(port);
        return waitForSignal(kind, service.url());
    }
    printError({ .kind = ErrorKind::InvalidRequest,
                 .message = "unknown stand-in '" + kind + "'",
                 .remedy = "Use engine, platform or service." });
    return ExitCode::UsageError;
}

} // namespace jacinthroad
