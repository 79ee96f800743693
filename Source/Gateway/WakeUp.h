#pragma once

#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// Lets one coroutine wait for a time or for a call of wake(), whichever comes first. For use on a
/// single thread.
class WakeUp
{
public:
    explicit WakeUp(boost::asio::io_context &context)
        : timer_(context)
    { }

    /// Ends the wait under way, or the next one at once.
    void wake();
    /// Waits until wake() is called, or until `time` if one is given.
    [[nodiscard]] boost::asio::awaitable<void> waitUntil(std::optional<Instant> time);

private:
    boost::asio::steady_timer timer_;
    bool woken_ = false;
};

} // namespace jacinthroad
