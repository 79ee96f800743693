#include "Gateway/WakeUp.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jacinthroad {

namespace asio = boost::asio;

void WakeUp::wake()
{
    woken_ = true;
    timer_.cancel();
}

asio::awaitable<void> WakeUp::waitUntil(std::optional<Instant> time)
{
    if (!woken_) {
        timer_.expires_at(time.value_or(Instant::max()));
        boost::system::error_code ignored;
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    woken_ = false;
}

} // namespace jacinthroad
