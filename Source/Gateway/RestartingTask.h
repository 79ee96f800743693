#pragma once

#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace jacinthroad {

/// The message of an exception for the log.
[[nodiscard]] std::string exceptionMessage(const std::exception_ptr &exception);

/// Runs `task` until it ends. If it throws, logs `task_failed` with `name` and the exception and
/// starts it again after a pause.
[[nodiscard]] boost::asio::awaitable<void>
runRestarting(boost::asio::io_context &context, std::string name,
              std::function<boost::asio::awaitable<void>()> task);

/// A completion handler for a coroutine that isn't started again: logs `task_failed` with `name`
/// and the exception if it ends with one.
[[nodiscard]] std::function<void(std::exception_ptr)> logFailure(std::string name);

} // namespace jacinthroad
