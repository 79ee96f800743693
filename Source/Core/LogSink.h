#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>
#include <unistd.h>

namespace jacinthroad {

/// Options of a LogSink.
struct LogSinkOptions
{
    int descriptor = STDERR_FILENO;
    /// Drops lines if the descriptor's reader is slow; otherwise waits for it. The rest of a line
    /// that it accepts in part precedes the next line in either case.
    bool dropsLines = false;
    /// Maximum lines per second; 0 means no limit. Lines over it are dropped.
    std::uint32_t linesPerSecond = 0;
};

/// Writes log lines to a file descriptor. Dropped lines are counted, and a line of its own reports
/// the count.
class LogSink : public boost::log::sinks::basic_formatted_sink_backend<
                    char, boost::log::sinks::synchronized_feeding>
{
public:
    /// Replaces the options. The lines of the current second and the dropped ones stay counted.
    void setOptions(const LogSinkOptions &options);

    /// Called by Boost.Log for each line.
    void consume(const boost::log::record_view &record, const string_type &line);

    /// Writes the line if the options allow it; otherwise drops and counts it.
    void write(const std::string &line, std::chrono::steady_clock::time_point now);

private:
    [[nodiscard]] bool withinRateLimit(std::chrono::steady_clock::time_point now);
    [[nodiscard]] bool tryWrite(std::string line);
    [[nodiscard]] bool writeUnsent();
    [[nodiscard]] bool writeUnsentWithoutWaiting();
    [[nodiscard]] bool writeUnsentWhole();

    LogSinkOptions options_;
    /// The rest of a line whose beginning is written.
    std::string unsent_;
    /// The current second of the monotonic clock and the lines counted in it.
    std::int64_t second_ = 0;
    std::uint32_t linesInSecond_ = 0;
    std::uint64_t droppedLines_ = 0;
};

} // namespace jacinthroad
