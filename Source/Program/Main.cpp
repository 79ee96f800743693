#include <array>
#include <iostream>
#include <span>
#include <string_view>
#include <vector>

#include "Core/Schema.h"
#include "Program/Commands.h"

namespace {

using namespace jacinthroad;

struct Command
{
    std::string_view name;
    ExitCode (*run)(const Arguments &);
    std::string_view help;
};

constexpr std::array<Command, 9> Commands { {
    { "serve", runServe, "run a node" },
    { "demo", runDemo, "run everything in one process, with traffic and faults" },
    { "load", runLoad, "measure policies side by side" },
    { "config", runConfig, "show and change the operators' objects" },
    { "status", runStatus, "show what a node and its peers believe" },
    { "drain", runDrain, "stop a node without cutting a request" },
    { "report", runReport, "show where compute went" },
    { "settings", runSettings, "check a settings file" },
    { "stand-in", runStandIn, "run an engine, platform or service stand-in" },
} };

void printHelp()
{
    std::cout << "usage: jacinthroad COMMAND [options]\n\n";
    for (const Command &command : Commands) {
        std::cout << "  " << command.name << std::string(10 - command.name.size(), ' ')
                  << command.help << "\n";
    }
    std::cout << "\n'jacinthroad COMMAND --help' shows a command's options.\n";
}

ExitCode unknownCommand(std::string_view name)
{
    std::vector<std::string_view> names;
    names.reserve(Commands.size());
    for (const Command &command : Commands) {
        names.push_back(command.name);
    }
    const std::string_view near = nearestName(name, names);
    std::cerr << "jacinthroad: there is no command '" << name << "'\nremedy: "
              << (near.empty() ? std::string("run 'jacinthroad --help'")
                               : "did you mean '" + std::string(near) + "'?")
              << "\n";
    return ExitCode::WrongUse;
}

ExitCode run(std::span<char *> words)
{
    if (words.size() < 2 || std::string_view(words[1]) == "--help") {
        printHelp();
        return words.size() < 2 ? ExitCode::WrongUse : ExitCode::Done;
    }
    const std::string_view name = words[1];
    if (name == "--version") {
        std::cout << "jacinthroad " << JACINTHROAD_VERSION << "\n";
        return ExitCode::Done;
    }
    const Arguments arguments(words.begin() + 2, words.end());
    for (const Command &command : Commands) {
        if (command.name == name) {
            return command.run(arguments);
        }
    }
    return unknownCommand(name);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(run(std::span(argv, static_cast<std::size_t>(argc))));
    } catch (const std::exception &failure) {
        std::cerr << "jacinthroad: " << failure.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}
