#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// A timer that calls its handler only while it is armed for it. Cancelling or rearming an Asio
/// timer doesn't retract a completion that is already queued, as happens when the timer expires
/// while the event loop is busy; this class ignores such completions. It must be used by the thread
/// that runs the io_context.
class DeadlineTimer
{
public:
    explicit DeadlineTimer(boost::asio::io_context &context);
    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;
    ~DeadlineTimer();

    /// Arms the timer to call `handler` at `moment`, or as soon as possible if that has passed. An
    /// earlier handler is not called any more.
    void expireAt(Instant moment, std::function<void()> handler);
    /// Arms the timer to call `handler` after `time`.
    void expireAfter(Duration time, std::function<void()> handler);
    /// Disarms the timer; its handler is not called any more.
    void cancel();

private:
    boost::asio::steady_timer timer_;
    /// Number of times that the timer was armed or disarmed. Queued completions share it because
    /// they may run after the timer was destroyed.
    std::shared_ptr<std::uint64_t> generation_;
};

} // namespace jacinthroad
