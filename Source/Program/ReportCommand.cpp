#include <cstdio>
#include <iostream>

#include "Burn/BurnReport.h"
#include "Core/Json.h"
#include "Program/Commands.h"
#include "Program/OperatorClient.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

unsigned long long tokenCount(const Json::Value &value)
{
    return value.asUInt64();
}

void printCompute(const Json::Value &report)
{
    std::printf("node %s, tokens since it started\n%-16s %-16s %9s %12s %12s %12s %12s %12s\n",
                report["node"].asCString(), "team", "model", "requests", "reused", "first time",
                "recomputed", "decoded", "discarded");
    for (const Json::Value &line : report["lines"]) {
        unsigned long long recomputedTokens = 0;
        for (const Json::Value &reason : line["recomputed"]) {
            recomputedTokens += tokenCount(reason);
        }
        std::printf("%-16s %-16s %9llu %12llu %12llu %12llu %12llu %12llu\n",
                    line["team"].asCString(), line["model"].asCString(),
                    tokenCount(line["requests"]), tokenCount(line["reused"]),
                    tokenCount(line["first_time"]), recomputedTokens, tokenCount(line["decoded"]),
                    tokenCount(line["thrown_away"]));
        for (const std::string &reason : line["recomputed"].getMemberNames()) {
            if (tokenCount(line["recomputed"][reason]) > 0) {
                std::printf("%33s recomputed, %s: %llu\n", "", reason.c_str(),
                            tokenCount(line["recomputed"][reason]));
            }
        }
    }
}

Result<BurnReport> collectBurn(const options::variables_map &values)
{
    const auto first = callOperator(values, "report.burn");
    if (!first.has_value()) {
        return tl::make_unexpected(first.error());
    }
    BurnReport report;
    addBurnLines(report, (*first)["node"].asString(), (*first)["lines"]);
    for (const Json::Value &peer : (*first)["peers"]) {
        const std::string name = peer["node"].asString();
        const auto response
            = callOperatorAt(peer["operator_url"].asString(), values, "report.burn");
        if (response.has_value()) {
            addBurnLines(report, name, (*response)["lines"]);
        } else {
            report.unreachable.push_back(name);
        }
    }
    return report;
}

ExitCode burn(const options::variables_map &values)
{
    const auto report = collectBurn(values);
    if (!report.has_value()) {
        printError(report.error());
        return ExitCode::Failed;
    }
    if (values.count("html") != 0) {
        std::cout << burnReportHtml(*report);
    } else if (wantsJson(values)) {
        std::cout << writeJsonIndented(burnReportJson(*report));
    } else {
        std::cout << burnReportText(*report);
    }
    return ExitCode::Success;
}

ExitCode compute(const options::variables_map &values)
{
    const auto report = callOperator(values, "report.compute");
    if (!report.has_value()) {
        printError(report.error());
        return ExitCode::Failed;
    }
    if (wantsJson(values)) {
        std::cout << writeJsonIndented(*report);
    } else {
        printCompute(*report);
    }
    return ExitCode::Success;
}

} // namespace

ExitCode runReport(const Arguments &arguments)
{
    CommandSyntax syntax { .usage = "jacinthroad report burn|compute [--node IP:PORT] [--key KEY]",
                           .positional = { "kind" } };
    syntax.options.add_options()("kind", options::value<std::string>()->required(),
                                 "burn or compute");
    syntax.options.add_options()("html", "write the burn report as one self-contained HTML page");
    addOperatorOptions(syntax.options);
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const std::string kind = parsed.values["kind"].as<std::string>();
    if (kind == "burn") {
        return burn(parsed.values);
    }
    if (kind == "compute") {
        return compute(parsed.values);
    }
    printError({ .kind = ErrorKind::InvalidRequest,
                 .message = "unknown report '" + kind + "'",
                 .remedy = "Use burn or compute." });
    return ExitCode::UsageError;
}

} // namespace jacinthroad
