#include "Program/CommandLine.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace jacinthroad {

namespace options = boost::program_options;

namespace {

ParsedArguments usageError(const std::string &usage, const std::string &fault)
{
    std::cerr << "jacinthroad: " << fault << "\nusage: " << usage
              << "\nremedy: run it with --help for all options\n";
    return { .exit = ExitCode::UsageError };
}

} // namespace

ParsedArguments parseArguments(CommandSyntax syntax, const Arguments &arguments)
{
    syntax.options.add_options()("help", "show this text");
    syntax.options.add_options()("output", options::value<std::string>()->default_value("text"),
                                 "text or json");
    options::positional_options_description positional;
    for (const std::string &name : syntax.positional) {
        positional.add(name.c_str(), 1);
    }
    ParsedArguments parsed;
    try {
        options::store(options::command_line_parser(arguments)
                           .options(syntax.options)
                           .positional(positional)
                           .run(),
                       parsed.values);
        if (parsed.values.count("help") != 0) {
            std::cout << "usage: " << syntax.usage << "\n\n" << syntax.options;
            return { .exit = ExitCode::Success };
        }
        options::notify(parsed.values);
    } catch (const options::error &fault) {
        return usageError(syntax.usage, fault.what());
    }
    const std::string output = parsed.values["output"].as<std::string>();
    if (output != "text" && output != "json") {
        return usageError(syntax.usage,
                          "option '--output' must be text or json, not '" + output + "'");
    }
    return parsed;
}

bool wantsJson(const options::variables_map &values)
{
    return values["output"].as<std::string>() == "json";
}

void printError(const Error &error)
{
    std::cerr << "jacinthroad: " << error.message << "\nremedy: " << error.remedyText() << "\n";
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return makeError(ErrorKind::InvalidSettings, "cannot read file '" + path + "'",
                         "Check the path and its permissions.");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace jacinthroad
