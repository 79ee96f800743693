#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "Core/Error.h"

namespace jacinthroad {

/// Exit codes of every subcommand.
enum class ExitCode : int { Done = 0, Failed = 1, WrongUse = 2 };

/// The arguments after the subcommand's name.
using Arguments = std::vector<std::string>;

/// How one subcommand is written.
struct CommandSyntax
{
    /// Such as `jacinthroad load --profile NAME [options]`.
    std::string usage;
    boost::program_options::options_description options;
    /// Names of options that stand without their name, in order.
    std::vector<std::string> positional;
};

/// Arguments that were read, or the exit code with which the program is to end because help was
/// asked for or something was wrong; what to say was then written already.
struct ParsedArguments
{
    boost::program_options::variables_map values;
    std::optional<ExitCode> exit;
};

/// Reads arguments; `--help` and `--output` are known to every subcommand.
[[nodiscard]] ParsedArguments parseArguments(CommandSyntax syntax, const Arguments &arguments);

/// True when `--output json` was given.
[[nodiscard]] bool wantsJson(const boost::program_options::variables_map &values);

/// Writes `jacinthroad: MESSAGE` and `remedy: REMEDY` to standard error.
void printError(const Error &error);

/// Reads a whole file.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

} // namespace jacinthroad
