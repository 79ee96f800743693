#include "Node/ControlLoop.h"

#include <ctime>
#include <pthread.h>
#include <utility>

namespace jacinthroad {

namespace {

constexpr Duration MaximumSleep = milliseconds(500);

} // namespace

ControlLoop::ControlLoop(Handler handler)
    : handler_(std::move(handler))
{ }

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::start()
{
    thread_ = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void ControlLoop::post(ControlMessage message)
{
    bool first = false;
    {
        const std::scoped_lock lock(mutex_);
        if (stopping_) {
            return;
        }
        first = queue_.empty();
        queue_.push_back(std::move(message));
    }
    if (first) {
        wake_.notify_one();
    }
}

Duration ControlLoop::cpuTime() const
{
    clockid_t clock = 0;
    timespec used {};
    auto &thread = const_cast<std::thread &>(thread_);
    if (!thread.joinable() || pthread_getcpuclockid(thread.native_handle(), &clock) != 0
        || clock_gettime(clock, &used) != 0) {
        return Duration::zero();
    }
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

void ControlLoop::run()
{
    std::vector<ControlMessage> batch;
    bool stopping = false;
    while (!stopping) {
        {
            std::unique_lock lock(mutex_);
            const Instant now = std::chrono::steady_clock::now();
            const Instant due = timers_.nextDue().value_or(now + MaximumSleep);
            if (queue_.empty() && !stopping_) {
                wake_.wait_until(lock, std::min(due, now + MaximumSleep));
            }
            batch.swap(queue_);
            stopping = stopping_;
        }
        for (const ControlMessage &message : batch) {
            handler_(message, std::chrono::steady_clock::now());
        }
        batch.clear();
        timers_.fire(std::chrono::steady_clock::now());
    }
}

} // namespace jacinthroad
