#include <iostream>

#include <json/value.h>

#include "Core/Json.h"
#include "Gateway/GatewaySettings.h"
#include "Node/NodeSettings.h"
#include "Program/Commands.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

ExitCode check(const std::string &file, bool json)
{
    const auto text = readFile(file);
    if (!text.has_value()) {
        printError(text.error());
        return ExitCode::Failed;
    }
    const std::vector<std::string> faults = isGatewaySettings(*text)
        ? checkGatewaySettings(*text, file)
        : checkNodeSettings(*text, file);
    if (json) {
        Json::Value body;
        body["file"] = file;
        body["faults"] = Json::Value(Json::arrayValue);
        for (const std::string &fault : faults) {
            body["faults"].append(fault);
        }
        std::cout << writeJsonIndented(body);
    } else {
        for (const std::string &fault : faults) {
            std::cerr << fault << "\n";
        }
        std::cout << file << ": "
                  << (faults.empty() ? "no fault" : std::to_string(faults.size()) + " faults")
                  << "\n";
    }
    return faults.empty() ? ExitCode::Success : ExitCode::Failed;
}

} // namespace

ExitCode runSettings(const Arguments &arguments)
{
    CommandSyntax syntax { .usage
                           = "jacinthroad settings check FILE | settings reference [gateway]",
                           .positional = { "action", "file" } };
    syntax.options.add_options()("action", options::value<std::string>()->required(),
                                 "check or reference");
    syntax.options.add_options()("file", options::value<std::string>(),
                                 "the settings file, or gateway");
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const std::string action = parsed.values["action"].as<std::string>();
    if (action == "reference") {
        const bool gateway = parsed.values.count("file") > 0
            && parsed.values["file"].as<std::string>() == "gateway";
        std::cout << "# Settings reference\n\nMade by `jacinthroad settings reference"
                  << (gateway ? " gateway" : "")
                  << "` from the table that checks settings files.\n\n"
                  << describeSchema(gateway ? gatewaySettingsSchema() : nodeSettingsSchema());
        return ExitCode::Success;
    }
    if (action != "check" || parsed.values.count("file") == 0) {
        printError({ .kind = ErrorKind::InvalidRequest,
                     .message = "settings takes 'check FILE' or 'reference'",
                     .remedy = "Run 'jacinthroad settings check FILE'." });
        return ExitCode::UsageError;
    }
    return check(parsed.values["file"].as<std::string>(), wantsJson(parsed.values));
}

} // namespace jacinthroad
