#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "Core/Error.h"

namespace jacinthroad {

/// Exit codes of every subcommand.
enum class ExitCode : int { Success = 0, Failed = 1, UsageError = 2 };

/// The command-line arguments after the subcommand's name.
using Arguments = std::vector<std::string>;

/// Usage line, options and positional arguments of a subcommand.
struct CommandSyntax
{
    /// Usage line, such as `jacinthroad load --profile NAME [options]`.
    std::string usage;
    boost::program_options::options_description options;
    /// Names of the options that may be given as positional arguments, in order.
    std::vector<std::string> positional;
};

/// Parsed option values. When `exit` is set, help was requested or parsing failed; the help or
/// error message has been written and the program should end with that exit code.
struct ParsedArguments
{
    boost::program_options::variables_map values;
    std::optional<ExitCode> exit;
};

/// Parses arguments by a subcommand's syntax, to which `--help` and `--output` are added.
[[nodiscard]] ParsedArguments parseArguments(CommandSyntax syntax, const Arguments &arguments);

/// Returns whether `--output json` was given.
[[nodiscard]] bool wantsJson(const boost::program_options::variables_map &values);

/// Writes `jacinthroad: MESSAGE` and `remedy: REMEDY` to standard error.
void printError(const Error &error);

/// Reads a complete file; fails with ErrorKind::InvalidSettings when it can't be opened.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

} // namespace jacinthroad
