#include <array>
#include <cerrno>
#include <csignal>
#include <iostream>
#include <span>
#include <string_view>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include "Core/Schema.h"
#include "Program/Commands.h"
#include "Program/ProgramMain.h"

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
    { "demo", runDemo, "run a complete system in one process with traffic and injected faults" },
    { "load", runLoad, "compare routing policies under load" },
    { "config", runConfig, "show, validate and change the configuration" },
    { "status", runStatus, "show the state of a node, its peers and its backend servers" },
    { "drain", runDrain, "drain a node, then stop it" },
    { "report", runReport, "show burn rates or compute usage" },
    { "settings", runSettings, "check a settings file or print the settings reference" },
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
    const std::string_view suggestion = nearestName(name, names);
    std::cerr << "jacinthroad: unknown command '" << name << "'\nremedy: "
              << (suggestion.empty() ? std::string("run 'jacinthroad --help'")
                                     : "did you mean '" + std::string(suggestion) + "'?")
              << "\n";
    return ExitCode::UsageError;
}

ExitCode run(std::span<char *> commandLine, const sigset_t &inherited)
{
    if (commandLine.size() < 2 || std::string_view(commandLine[1]) == "--help") {
        printHelp();
        return commandLine.size() < 2 ? ExitCode::UsageError : ExitCode::Success;
    }
    const std::string_view name = commandLine[1];
    if (name == "--version") {
        std::cout << "jacinthroad " << JACINTHROAD_VERSION << "\n";
        return ExitCode::Success;
    }
    const Arguments arguments(commandLine.begin() + 2, commandLine.end());
    for (const Command &command : Commands) {
        if (command.name == name) {
            if (command.run != runServe) {
                // Only `serve` handles the signals that are blocked.
                pthread_sigmask(SIG_SETMASK, &inherited, nullptr);
            }
            return command.run(arguments);
        }
    }
    return unknownCommand(name);
}

/// Opens the null device in place of standard input, output and error where they are closed, so
/// that no line of the log is written into a socket that got one of their numbers. Without the
/// device, the root directory, which can be neither read nor written.
void openMissingStandardFiles()
{
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if (fcntl(descriptor, F_GETFD) < 0 && errno == EBADF) {
            // The lowest free number is `descriptor`.
            if (open("/dev/null", O_RDWR) < 0) {
                static_cast<void>(open("/", O_RDONLY | O_DIRECTORY));
            }
        }
    }
}

} // namespace

extern "C" int jacinthroadMain(int argc, char **argv, const sigset_t *inherited)
{
    openMissingStandardFiles();
    try {
        return static_cast<int>(run(std::span(argv, static_cast<std::size_t>(argc)), *inherited));
    } catch (const std::exception &failure) {
        std::cerr << "jacinthroad: " << failure.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}
