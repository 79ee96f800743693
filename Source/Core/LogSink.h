#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

namespace jacinthroad {

/// Writes log lines to a file descriptor without blocking and with a rate limit. Lines that cannot
/// be written are dropped and counted; a line of its own reports the count.
class LogSink : public boost::log::sinks::basic_formatted_sink_backend<
                    char, boost::log::sinks::synchronized_feeding>
{
public:
    /// `linesPerSecond` limits the rate; 0 means no limit.
    LogSink(int descriptor, std::uint32_t linesPerSecond);

    /// Called by Boost.Log for each line.
    void consume(const boost::log::record_view &record, const string_type &line);

    /// Writes the line if the rate limit and the descriptor allow it; otherwise drops and counts
    /// it.
    void write(const std::string &line, std::chrono::steady_clock::time_point now);

private:
    [[nodiscard]] bool withinRateLimit(std::chrono::steady_clock::time_point now);
    [[nodiscard]] bool tryWrite(const std::string &line) const;

    int descriptor_;
    std::uint32_t linesPerSecond_;
    /// The current second of the monotonic clock and the lines counted in it.
    std::int64_t second_ = 0;
    std::uint32_t linesInSecond_ = 0;
    std::uint64_t droppedLines_ = 0;
};

} // namespace jacinthroad
