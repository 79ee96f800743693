#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "Core/Time.h"

namespace jacinthroad {

/// What a caller saw of one request.
enum class CallerOutcome : std::uint8_t {
    /// A complete response.
    Answered,
    /// The connection ended before a complete response.
    ConnectionClosed,
    /// Nothing within the caller's time limit.
    TimedOut,
};

/// One request of a caller.
struct CallerRecord
{
    std::string id;
    std::string node;
    Instant sentAt;
    bool repeatable = false;
    CallerOutcome outcome = CallerOutcome::TimedOut;
    int status = 0;
    /// True if the response is the one that the backend server made for this request.
    bool matches = false;
    /// True if the node was killed while the request was in progress.
    bool nodeKilled = false;
};

/// Counts what backend servers ran, by request id. Thread-safe.
class RunCounter
{
public:
    void noteStarted(const std::string &id);
    /// Number of runs that began for a request.
    [[nodiscard]] unsigned runs(const std::string &id) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, unsigned> runs_;
};

/// Returns one line for each broken promise: a request that ran and whose connection was closed
/// without a complete response although its node wasn't killed, one that ran twice and must not, a
/// refusal that promises "not run" for one that ran, a response that belongs to another request,
/// and a request that was neither answered nor closed.
[[nodiscard]] std::vector<std::string> findViolations(const std::vector<CallerRecord> &records,
                                                      const RunCounter &runs);

} // namespace jacinthroad
