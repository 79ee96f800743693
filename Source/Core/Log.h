#pragma once

#include <initializer_list>
#include <string_view>
#include <variant>

#include <cstdint>

namespace jacinthroad {

/// Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// A named value of a log line. Fields contain identifiers, counts and times, never prompts,
/// responses, keys or tokens.
struct LogField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Options of the log.
struct LogOptions
{
    LogLevel minimumLevel = LogLevel::Info;
    /// Writes each line as a JSON object; otherwise as plain text.
    bool json = true;
    /// Writes to standard output and drops lines if its reader is slow; otherwise writes to
    /// standard error.
    bool standardOutput = false;
    /// Maximum lines per second on standard output; 0 means no limit. Dropped lines are counted.
    std::uint32_t linesPerSecond = 0;
};

/// Configures the process-wide log, which uses Boost.Log.
void configureLog(const LogOptions &options);

/// Writes a line with the event's name and fields. Thread-safe.
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace jacinthroad
