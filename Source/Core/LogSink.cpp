#include "Core/LogSink.h"

#include <poll.h>
#include <unistd.h>

namespace jacinthroad {

LogSink::LogSink(int descriptor, std::uint32_t linesPerSecond)
    : descriptor_(descriptor)
    , linesPerSecond_(linesPerSecond)
{ }

void LogSink::consume(const boost::log::record_view &, const string_type &line)
{
    write(line, std::chrono::steady_clock::now());
}

bool LogSink::withinRateLimit(std::chrono::steady_clock::time_point now)
{
    const std::int64_t second
        = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != second_) {
        second_ = second;
        linesInSecond_ = 0;
    }
    return linesPerSecond_ == 0 || ++linesInSecond_ <= linesPerSecond_;
}

bool LogSink::tryWrite(const std::string &line) const
{
    // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
    pollfd pollState { .fd = descriptor_, .events = POLLOUT, .revents = 0 };
    if (poll(&pollState, 1, 0) != 1 || (pollState.revents & POLLOUT) == 0) {
        return false;
    }
    const std::string terminatedLine = line + "\n";
    return ::write(descriptor_, terminatedLine.data(), terminatedLine.size()) > 0;
}

void LogSink::write(const std::string &line, std::chrono::steady_clock::time_point now)
{
    if (!withinRateLimit(now)) {
        ++droppedLines_;
        return;
    }
    if (droppedLines_ > 0
        && tryWrite("{\"event\":\"log_lines_left_out\",\"level\":\"warning\",\"count\":"
                    + std::to_string(droppedLines_) + "}")) {
        droppedLines_ = 0;
    }
    if (!tryWrite(line)) {
        ++droppedLines_;
    }
}

} // namespace jacinthroad
