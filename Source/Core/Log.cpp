#include "Core/Log.h"

#include <array>
#include <atomic>
#include <string>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <json/value.h>
#include <unistd.h>

#include "Core/Json.h"
#include "Core/LogSink.h"
#include "Core/Overloaded.h"
#include "Core/WallClock.h"

namespace jacinthroad {

namespace {

using Logger = boost::log::sources::severity_logger_mt<int>;
using Sink = boost::log::sinks::synchronous_sink<LogSink>;

std::atomic<LogLevel> minimumLevel { LogLevel::Info };
std::atomic<bool> jsonLines { true };

std::string_view levelName(LogLevel level)
{
    constexpr std::array<std::string_view, 4> Names { "debug", "info", "warning", "error" };
    return Names[static_cast<std::size_t>(level)];
}

Logger &logger()
{
    static Logger instance;
    return instance;
}

/// The only sink of the process. It stays while its options change, as Boost.Log writes lines to a
/// sink of its own if there is no other one.
Sink &sink()
{
    static const boost::shared_ptr<Sink> Instance = [] {
        auto added = boost::make_shared<Sink>(boost::make_shared<LogSink>());
        added->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(added);
        return added;
    }();
    return *Instance;
}

std::string jsonText(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    Json::Value line;
    line["time"] = rfc3339Now();
    line["level"] = std::string(levelName(level));
    line["event"] = std::string(event);
    for (const LogField &field : fields) {
        Json::Value &slot = line[std::string(field.name)];
        std::visit(Overloaded {
                       [&](std::string_view text) { slot = std::string(text); },
                       [&](std::int64_t number) { slot = Json::Int64(number); },
                       [&](double number) { slot = number; },
                   },
                   field.value);
    }
    return writeJson(line);
}

std::string plainText(LogLevel level, std::string_view event,
                      std::initializer_list<LogField> fields)
{
    std::string line = rfc3339Now();
    line.append(" ").append(levelName(level)).append(" ").append(event);
    for (const LogField &field : fields) {
        line.append(" ").append(field.name).append("=");
        std::visit(Overloaded {
                       [&](std::string_view text) { line.append(text); },
                       [&](std::int64_t number) { line.append(std::to_string(number)); },
                       [&](double number) { line.append(std::to_string(number)); },
                   },
                   field.value);
    }
    return line;
}

} // namespace

void configureLog(const LogOptions &options)
{
    minimumLevel = options.minimumLevel;
    jsonLines = options.json;
    sink().locked_backend()->setOptions(
        { .descriptor = options.standardOutput ? STDOUT_FILENO : STDERR_FILENO,
          .dropsLines = options.standardOutput,
          .linesPerSecond = options.standardOutput ? options.linesPerSecond : 0 });
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed)) {
        return;
    }
    const std::string line
        = jsonLines ? jsonText(level, event, fields) : plainText(level, event, fields);
    BOOST_LOG_SEV(logger(), static_cast<int>(level)) << line;
}

} // namespace jacinthroad
