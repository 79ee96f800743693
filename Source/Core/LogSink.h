#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

namespace jacinthroad {

/// Writes log lines to a file descriptor without ever waiting for its reader, and no more of them
/// than a bound allows. What is left out is counted and told in a line of its own.
class LogSink : public boost::log::sinks::basic_formatted_sink_backend<
                    char, boost::log::sinks::synchronized_feeding>
{
public:
    /// `linesPerSecond` bounds the volume; 0 sets no bound.
    LogSink(int descriptor, std::uint32_t linesPerSecond);

    /// Called by Boost.Log with one line.
    void consume(const boost::log::record_view &record, const string_type &line);

    /// Writes one line if it may be written now; otherwise counts it.
    void write(const std::string &line, std::chrono::steady_clock::time_point now);

private:
    [[nodiscard]] bool mayWrite(std::chrono::steady_clock::time_point now);
    [[nodiscard]] bool tryWrite(const std::string &line) const;

    int descriptor_;
    std::uint32_t linesPerSecond_;
    /// The second that is counted now, and the lines in it.
    std::int64_t second_ = 0;
    std::uint32_t lines_ = 0;
    std::uint64_t leftOut_ = 0;
};

} // namespace jacinthroad
