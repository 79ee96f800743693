#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace jacinthroad {

/// Makes the process write a `process_failed` line to a file descriptor when an uncaught exception
/// or one of the signals SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT ends it. The process still
/// ends by that signal.
void installFailureReports(int descriptor);

/// Names the calling thread in `process_failed` lines and, while the object exists, lets the thread
/// report an overflow of its stack. An alternate signal stack that the thread has already is kept.
class ReportedThread
{
public:
    /// `name` must outlive the thread.
    explicit ReportedThread(const char *name);
    ReportedThread(const ReportedThread &) = delete;
    ReportedThread &operator=(const ReportedThread &) = delete;
    ~ReportedThread();

private:
    /// Null if the thread had an alternate signal stack.
    std::unique_ptr<std::byte[]> signalStack_;
};

/// Changes the number of requests in progress that `process_failed` lines name. Thread-safe.
void noteOpenRequests(std::int64_t change);
/// The number of requests in progress in this process. Thread-safe.
[[nodiscard]] std::int64_t openRequests();

} // namespace jacinthroad
