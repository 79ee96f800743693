#include <cstdio>
#include <iostream>

#include "Core/Json.h"
#include "Program/Commands.h"
#include "Program/OperatorClient.h"

namespace jacinthroad {

namespace {

std::string yesNo(const Json::Value &value)
{
    return value.asBool() ? "yes" : "no";
}

void printStatus(const Json::Value &status)
{
    std::cout << "node " << status["node"].asString() << " in " << status["zone"].asString()
              << ", version " << status["version"].asString() << "\n"
              << "configuration version   " << status["configuration_version"].asUInt64() << "\n"
              << "platform reachable      " << yesNo(status["platform_up"]) << "\n"
              << "draining                " << yesNo(status["draining"]) << "\n"
              << "requests open, waiting  " << status["requests_open"].asUInt64() << ", "
              << status["requests_waiting"].asUInt64() << "\n"
              << "claims not yet stored   " << status["claims_unwritten"].asUInt64() << "\n";
    std::cout << "peers\n";
    for (const Json::Value &peer : status["peers"]) {
        std::printf("  %-20s %-16s %-8s configuration %llu, last message %.0f ms ago\n",
                    peer["node"].asCString(), peer["zone"].asCString(), peer["state"].asCString(),
                    static_cast<unsigned long long>(peer["configuration_version"].asUInt64()),
                    peer["heard_ms_ago"].asDouble());
    }
    std::cout << "backend servers\n" << std::flush;
    for (const Json::Value &server : status["backend_servers"]) {
        std::printf("  %-20s %-16s %-16s %s%s, %.0f in flight, slowdown %.1f\n",
                    server["backend_server"].asCString(), server["zone"].asCString(),
                    server["model"].asCString(), server["accepts"].asBool() ? "accepts" : "ejected",
                    server["leaving"].asBool() ? ", leaving" : "", server["in_flight"].asDouble(),
                    server["slowdown"].asDouble());
    }
}

} // namespace

ExitCode runStatus(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad status [--node IP:PORT] [--key KEY]" };
    addOperatorOptions(syntax.options);
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const auto status = callOperator(parsed.values, "status");
    if (!status.has_value()) {
        printError(status.error());
        return ExitCode::Failed;
    }
    if (wantsJson(parsed.values)) {
        std::cout << writeJsonIndented(*status);
    } else {
        printStatus(*status);
    }
    return ExitCode::Success;
}

} // namespace jacinthroad
