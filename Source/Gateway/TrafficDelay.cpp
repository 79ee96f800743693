#include "Gateway/TrafficDelay.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

#include <pthread.h>

#include "Core/Log.h"

namespace jacinthroad {

namespace {

/// A delay from which on it is logged.
constexpr Duration LoggedDelay = milliseconds(50);
/// A delay that is logged always, as a warning.
constexpr Duration SevereDelay = milliseconds(250);
/// Minimum time between two logged delays that aren't severe.
constexpr Duration LogInterval = std::chrono::seconds(1);

std::optional<Duration> processorTime(clockid_t clock)
{
    timespec time {};
    if (clock_gettime(clock, &time) != 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

double toField(const std::optional<Duration> &time)
{
    return time.has_value() ? toMilliseconds(*time) : -1.0;
}

} // namespace

std::string_view delayCauseName(DelayCause cause)
{
    constexpr std::array<std::string_view, 4> Names { "traffic_thread", "control_thread", "neither",
                                                      "unknown" };
    return Names[static_cast<std::size_t>(cause)];
}

DelayCause classifyDelay(const DelaySample &sample)
{
    if (!sample.trafficTime.has_value() || !sample.controlTime.has_value()) {
        return DelayCause::Unknown;
    }
    if (std::max(*sample.trafficTime, *sample.controlTime) < sample.late / 2) {
        return DelayCause::Neither;
    }
    return *sample.trafficTime >= *sample.controlTime ? DelayCause::TrafficThread
                                                      : DelayCause::ControlThread;
}

std::optional<DelayReport> DelayLog::note(const DelaySample &sample, Instant now)
{
    if (sample.late < LoggedDelay) {
        return std::nullopt;
    }
    const bool severe = sample.late >= SevereDelay;
    if (!severe && loggedAt_.has_value() && now - *loggedAt_ < LogInterval) {
        ++leftOut_;
        longestLeftOut_ = std::max(longestLeftOut_, sample.late);
        return std::nullopt;
    }
    loggedAt_ = now;
    return DelayReport { .sample = sample,
                         .cause = classifyDelay(sample),
                         .severe = severe,
                         .leftOut = std::exchange(leftOut_, 0),
                         .longestLeftOut = std::exchange(longestLeftOut_, Duration::zero()) };
}

std::optional<Duration> ThreadClock::elapsed(std::thread::native_handle_type thread)
{
    clockid_t clock {};
    const std::optional<Duration> now
        = pthread_getcpuclockid(thread, &clock) == 0 ? processorTime(clock) : std::nullopt;
    const std::optional<Duration> before = std::exchange(last_, now);
    if (!now.has_value() || !before.has_value()) {
        return std::nullopt;
    }
    return *now - *before;
}

Duration threadProcessorTime()
{
    return processorTime(CLOCK_THREAD_CPUTIME_ID).value_or(Duration::zero());
}

void TrafficDelay::note(const TrafficMoment &moment)
{
    const auto report = log_.note({ .late = moment.late,
                                    .trafficTime = trafficClock_.elapsed(pthread_self()),
                                    .controlTime = controlClock_.elapsed(moment.controlThread) },
                                  std::chrono::steady_clock::now());
    if (!report.has_value()) {
        return;
    }
    logLine(report->severe ? LogLevel::Warning : LogLevel::Info, "traffic_delayed",
            { { "late_ms", toMilliseconds(moment.late) },
              { "cause", delayCauseName(report->cause) },
              { "traffic_cpu_ms", toField(report->sample.trafficTime) },
              { "control_cpu_ms", toField(report->sample.controlTime) },
              { "active_requests", std::int64_t { moment.activeRequests } },
              { "configuration", static_cast<std::int64_t>(moment.configuration) },
              { "left_out", static_cast<std::int64_t>(report->leftOut) },
              { "longest_left_out_ms", toMilliseconds(report->longestLeftOut) } });
}

} // namespace jacinthroad
