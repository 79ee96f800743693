#include "Gateway/DeadlineTimer.h"

#include <utility>

namespace jacinthroad {

DeadlineTimer::DeadlineTimer(boost::asio::io_context &context)
    : timer_(context)
    , generation_(std::make_shared<std::uint64_t>(0))
{ }

DeadlineTimer::~DeadlineTimer()
{
    ++*generation_;
}

void DeadlineTimer::expireAt(Instant moment, std::function<void()> handler)
{
    const std::uint64_t armed = ++*generation_;
    timer_.expires_at(moment);
    timer_.async_wait([armed, generation = generation_,
                       handler = std::move(handler)](boost::system::error_code error) {
        if (!error && armed == *generation) {
            handler();
        }
    });
}

void DeadlineTimer::expireAfter(Duration time, std::function<void()> handler)
{
    expireAt(std::chrono::steady_clock::now() + time, std::move(handler));
}

void DeadlineTimer::cancel()
{
    ++*generation_;
    timer_.cancel();
}

} // namespace jacinthroad
