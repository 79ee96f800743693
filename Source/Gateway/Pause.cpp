#include "Gateway/Pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jacinthroad {

namespace asio = boost::asio;

asio::awaitable<void> pauseFor(asio::io_context &context, Duration time)
{
    asio::steady_timer timer(context);
    timer.expires_after(time);
    // The timer is local, so nothing can cancel it.
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace jacinthroad
