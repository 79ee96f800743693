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
        return makeError(ErrorKind::InvalidRequest, "this action needs a file",
                         "Name it after the action.");
    }
    const auto text = readFile(values["file"].as<std::string>());
    if (!text.has_value()) {
        return tl::make_unexpected(text.error());
    }
    return parseJson(*text);
}

Result<std::string> get(const Values &values)
{
    const auto answer = callOperator(values, "config.get");
    if (!answer.has_value()) {
        return tl::make_unexpected(answer.error());
    }
    return writeJsonIndented(*answer);
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
    const auto answer = callOperator(values, "config.get");
    if (!answer.has_value()) {
        return tl::make_unexpected(answer.error());
    }
    return writeJsonIndented(makeMergePatch((*answer)["configuration"], *document));
}

Result<std::string> patch(const Values &values)
{
    const auto document = readDocument(values);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    if (values.count("base") == 0) {
        return makeError(ErrorKind::InvalidRequest, "patch needs --base",
                         "Write the version that you looked at, as 'config get' showed it.");
    }
    Json::Value parameters;
    parameters["base"] = Json::UInt64(values["base"].as<std::uint64_t>());
    parameters["patch"] = *document;
    parameters["author"] = values["author"].as<std::string>();
    parameters["reason"] = values["reason"].as<std::string>();
    parameters["dry_run"] = values.count("dry-run") != 0;
    const auto answer = callOperator(values, "config.patch", parameters);
    if (!answer.has_value()) {
        return tl::make_unexpected(answer.error());
    }
    const std::string version = std::to_string((*answer)["version"].asUInt64());
    return values.count("dry-run") != 0 ? "the patch fits version " + version + "\n"
                                        : "version " + version + " is accepted\n";
}

Result<std::string> history(const Values &values)
{
    const auto answer = callOperator(values, "config.history");
    if (!answer.has_value()) {
        return tl::make_unexpected(answer.error());
    }
    if (wantsJson(values)) {
        return writeJsonIndented(*answer);
    }
    std::string text;
    for (const Json::Value &record : (*answer)["patches"]) {
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

Result<std::string> act(const std::string &action, const Values &values)
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
    return makeError(ErrorKind::InvalidRequest, "there is no action '" + action + "'",
                     "Name get, validate, diff, patch or history.");
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
                                 "a whole configuration, or a JSON merge patch");
    syntax.options.add_options()("base", options::value<std::uint64_t>(),
                                 "version that the patch was made against");
    syntax.options.add_options()("dry-run", "check the patch and write nothing");
    syntax.options.add_options()("author", options::value<std::string>()->default_value("operator"),
                                 "who makes the change");
    syntax.options.add_options()("reason", options::value<std::string>()->default_value(""),
                                 "why the change is made");
    addOperatorOptions(syntax.options);
    const ParsedArguments parsed = parseArguments(std::move(syntax), arguments);
    if (parsed.exit.has_value()) {
        return *parsed.exit;
    }
    const auto text = act(parsed.values["action"].as<std::string>(), parsed.values);
    if (!text.has_value()) {
        printError(text.error());
        return ExitCode::Failed;
    }
    std::cout << *text;
    return ExitCode::Done;
}

} // namespace jacinthroad
