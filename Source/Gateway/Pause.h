#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Core/Time.h"

namespace jacinthroad {

/// Suspends the calling coroutine for `time`.
[[nodiscard]] boost::asio::awaitable<void> pauseFor(boost::asio::io_context &context,
                                                    Duration time);

} // namespace jacinthroad
