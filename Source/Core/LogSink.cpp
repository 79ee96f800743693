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

bool LogSink::mayWrite(std::chrono::steady_clock::time_point now)
{
    const std::int64_t second
        = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != second_) {
        second_ = second;
        lines_ = 0;
    }
    return linesPerSecond_ == 0 || ++lines_ <= linesPerSecond_;
}

bool LogSink::tryWrite(const std::string &line) const
{
    // A pipe that poll() calls writable takes PIPE_BUF bytes at once.
    pollfd state { .fd = descriptor_, .events = POLLOUT, .revents = 0 };
    if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
        return false;
    }
    const std::string whole = line + "\n";
    return ::write(descriptor_, whole.data(), whole.size()) > 0;
}

void LogSink::write(const std::string &line, std::chrono::steady_clock::time_point now)
{
    if (!mayWrite(now)) {
        ++leftOut_;
        return;
    }
    if (leftOut_ > 0
        && tryWrite("{\"event\":\"log_lines_left_out\",\"level\":\"warning\",\"count\":"
                    + std::to_string(leftOut_) + "}")) {
        leftOut_ = 0;
    }
    if (!tryWrite(line)) {
        ++leftOut_;
    }
}

} // namespace jacinthroad
