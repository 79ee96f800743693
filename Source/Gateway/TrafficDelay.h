#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <thread>

#include "Core/Time.h"

namespace jacinthroad {

/// Who used the processor while the traffic thread should have run.
enum class DelayCause : std::uint8_t {
    TrafficThread,
    ControlThread,
    /// Neither ran for long: the VM stood still, had used up its share, or other processes ran.
    Neither,
    /// The processor times are not available.
    Unknown,
};

[[nodiscard]] std::string_view delayCauseName(DelayCause cause);

/// One run of a periodic task of the traffic thread, compared with the run before.
struct DelaySample
{
    /// By how much the run began late.
    Duration late {};
    /// Processor time that each thread used since the run before; nothing if unknown.
    std::optional<Duration> trafficTime;
    std::optional<Duration> controlTime;
};

/// Returns who used the processor: the thread that used most, if that is half of the delay or more.
[[nodiscard]] DelayCause classifyDelay(const DelaySample &sample);

/// A delay to log, with the delays since the last logged one that were left out.
struct DelayReport
{
    DelaySample sample;
    DelayCause cause = DelayCause::Unknown;
    /// True if callers may have noticed the delay.
    bool severe = false;
    std::size_t leftOut = 0;
    Duration longestLeftOut {};
};

/// Decides which delays of the traffic thread are logged: those of 50 ms and more, one a second at
/// most, except that a severe one is logged always.
class DelayLog
{
public:
    [[nodiscard]] std::optional<DelayReport> note(const DelaySample &sample, Instant now);

private:
    std::optional<Instant> loggedAt_;
    std::size_t leftOut_ = 0;
    Duration longestLeftOut_ {};
};

/// Measures the processor time that a thread has used.
class ThreadClock
{
public:
    /// Returns the time that the thread used since the last call; nothing on the first call or if
    /// the system doesn't tell. The thread must not have ended.
    [[nodiscard]] std::optional<Duration> elapsed(std::thread::native_handle_type thread);

private:
    std::optional<Duration> last_;
};

/// Returns the processor time that the calling thread has used; zero if the system doesn't tell.
[[nodiscard]] Duration threadProcessorTime();

/// What is logged with a delay.
struct TrafficMoment
{
    /// By how much a periodic task of the traffic thread began late.
    Duration late {};
    std::thread::native_handle_type controlThread {};
    unsigned activeRequests = 0;
    /// The version in force; 0 for none.
    std::uint64_t configuration = 0;
};

/// Logs when a periodic task of the traffic thread begins late, and who used the processor.
class TrafficDelay
{
public:
    /// Called by the traffic thread in each run of the task.
    void note(const TrafficMoment &moment);

private:
    DelayLog log_;
    ThreadClock trafficClock_;
    ThreadClock controlClock_;
};

} // namespace jacinthroad
