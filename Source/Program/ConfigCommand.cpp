#include <cstdio>
#include <iostream>

#include "Configuration/Configuration.h"
#include "Configuration/MergePatch.h"
#include "Core/Json.h"
#include "Program/Commands.h"
#include "Program/OperatorClient.h"

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

using Values = options::variables_map;

Result<Json::Value> readDocument(const Values &values)
{
    if (values.count("file") == 0) {
        return makeError(ErrorKind::InvalidRequest, "this action requires a file",
                         "Add the file's path after the action.");
    }
    const auto text = readFile(values["file"].as<std::string>());
    if (!text.has_value()) {
        return tl::make_unexpected(text.error());
    }
    return parseJson(*text);
}

Result<std::string> get(const Values &values)
{
    const auto response = callOperator(values, "config.get");
    if (!response.has_value()) {
        return tl::make_unexpected(response.error());
    }
    return writeJsonIndented(*response);
}

Result<std::string> validate(const Values &values)
{
    const auto text = values.count("file") == 0 ? Result<std::string>("")
                                                : readFile(values["file"].as<std::string>());
    const auto document = readDocument(values);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    const auto faults = checkConfiguration(*document);
    if (faults.empty()) {
        return "no fault\n";
    }
    std::string lines;
    for (const Fault &fault : faults) {
        lines += (lines.empty() ? "" : "\n")
            + describeFault(fault, values["file"].as<std::string>(), *text);
    }
    return makeError(ErrorKind::InvalidSettings, lines);
}

Result<std::string> diff(const Values &values)
{
    const auto document = readDocument(values);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    const auto response = callOperator(values, "config.get");
    if (!response.has_value()) {
        return tl::make_unexpected(response.error());
    }
    return writeJsonIndented(makeMergePatch((*response)["configuration"], *document));
}

Result<std::string> patch(const Values &values)
{
    const auto document = readDocument(values);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    if (values.count("base") == 0) {
        return makeError(ErrorKind::InvalidRequest, "patch requires --base",
                         "Pass the configuration version that 'config get' showed.");
    }
    Json::Value parameters;
    parameters["base"] = Json::UInt64(values["base"].as<std::uint64_t>());
    parameters["patch"] = *document;
    parameters["author"] = values["author"].as<std::string>();
    parameters["reason"] = values["reason"].as<std::string>();
    parameters["dry_run"] = values.count("dry-run") != 0;
    const auto response = callOperator(values, "config.patch", parameters);
    if (!response.has_value()) {
        return tl::make_unexpected(response.error());
    }
    const std::string version = std::to_string((*response)["version"].asUInt64());
    return values.count("dry-run") != 0 ? "the patch is valid for version " + version + "\n"
                                        : "version " + version + " was accepted\n";
}

Result<std::string> history(const Values &values)
{
    const auto response = callOperator(values, "config.history");
    if (!response.has_value()) {
        return tl::make_unexpected(response.error());
    }
    if (wantsJson(values)) {
        return writeJsonIndented(*response);
    }
    std::string text;
    for (const Json::Value &record : (*response)["patches"]) {
        text += record["version"].asString() + "  " + record["at"].asString() + "  "
            + record["author"].asString() + ": " + record["reason"].asString() + " (";
        std::string objects;
        for (const Json::Value &object : record["objects"]) {
            objects += (objects.empty() ? "" : " ") + object.asString();
        }
        text += objects + ")\n";
    }
    return text;
}

Result<std::string> runAction(const std::string &action, const Values &values)
{
    if (action == "get") {
        return get(values);
    }
    if (action == "validate") {
        return validate(values);
    }
    if (action == "diff") {
        return diff(values);
    }
    if (action == "patch") {
        return patch(values);
    }
    if (action == "history") {
        return history(values);
    }
    return makeError(ErrorKind::InvalidRequest, "unknown action '" + action + "'",
                     "Use get, validate, diff, patch or history.");
}

} // namespace

ExitCode runConfig(const Arguments &arguments)
{
    CommandSyntax syntax { .usage
                           = "jacinthroad config get|validate|diff|patch|history [FILE] [--base N]",
                           .positional = { "action", "file" } };
    syntax.options.add_options()("action", options::value<std::string>()->required(),
                                 "get, validate, diff, patch or history");
    syntax.options.add_options()("file", options::value<std::string>(),
                                 "a complete configuration, or a JSON merge patch");
    syntax.options.add_options()("base", options::value<std::uint64_t>(),
                                 "configuration version that the patch is based on");
    syntax.options.add_options()("dry-run", "check the patch without applying it");
    syntax.options.add_options()("author", options::value<std::string>()->default_value("operator"),
                                 "author of the change");
    syntax.options.add_options()("reason", options::value<std::string>()->default_value(""),
                                 "reason for the change");
    addOperatorOptions(syntax.options);
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const auto text = runAction(parsed.values["action"].as<std::string>(), parsed.values);
    if (!text.has_value()) {
        printError(text.error());
        return ExitCode::Failed;
    }
    std::cout << *text;
    return ExitCode::Success;
}

} // namespace jacinthroad
