#include "Core/LogSink.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <poll.h>

namespace jacinthroad {

void LogSink::setOptions(const LogSinkOptions &options)
{
    options_ = options;
}

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
    return options_.linesPerSecond == 0 || ++linesInSecond_ <= options_.linesPerSecond;
}

bool LogSink::tryWrite(std::string line)
{
    line += '\n';
    if (!writeUnsent()) {
        return false;
    }
    unsent_ = std::move(line);
    const std::size_t size = unsent_.size();
    if (!writeUnsent() && unsent_.size() == size) {
        unsent_.clear();
        return false;
    }
    return true;
}

bool LogSink::writeUnsent()
{
    return options_.dropsLines ? writeUnsentWithoutWaiting() : writeUnsentWhole();
}

bool LogSink::writeUnsentWithoutWaiting()
{
    while (!unsent_.empty()) {
        // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
        pollfd pollState { .fd = options_.descriptor, .events = POLLOUT, .revents = 0 };
        if (poll(&pollState, 1, 0) != 1 || (pollState.revents & POLLOUT) == 0) {
            return false;
        }
        const ssize_t size = ::write(options_.descriptor, unsent_.data(),
                                     std::min(unsent_.size(), std::size_t { PIPE_BUF }));
        if (size <= 0) {
            return false;
        }
        unsent_.erase(0, static_cast<std::size_t>(size));
    }
    return true;
}

bool LogSink::writeUnsentWhole()
{
    while (!unsent_.empty()) {
        const ssize_t size = ::write(options_.descriptor, unsent_.data(), unsent_.size());
        if (size > 0) {
            unsent_.erase(0, static_cast<std::size_t>(size));
        } else if (errno != EINTR) {
            return false;
        }
    }
    return true;
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
