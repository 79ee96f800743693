#pragma once

#include <initializer_list>
#include <string_view>
#include <variant>

#include <cstdint>

namespace jacinthroad {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One named value of a log line. Fields carry identifiers, counts and times; prompts, answers,
/// keys and tokens are never passed to the log.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// How log lines are written.
struct LogOptions
{
    LogLevel minimumLevel = LogLevel::Info;
    /// One JSON object a line when true, readable text otherwise.
    bool json = true;
    /// Lines go to standard output, without waiting for its reader; otherwise to standard error.
    bool standardOutput = false;
    /// Most lines in a second on standard output; 0 sets no bound. Lines left out are counted.
    std::uint32_t linesPerSecond = 0;
};

/// Sets the process-wide form of the log, which goes through Boost.Log.
void configureLog(const LogOptions &options);

/// Writes one line: the event's name and its fields. Safe from any thread.
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace jacinthroad
