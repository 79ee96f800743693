#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/MemoryBudget.h"

namespace jacinthroad {

/// A status page: the HTTP status code and the body text.
using StatusPage = std::pair<unsigned, std::string>;

/// Serves one path, such as the balancer's readiness check or a scrape of metrics, until the
/// acceptor is closed. Other paths get a 404 response. `memory` is for all that its connections
/// have received and that is written to them.
[[nodiscard]] boost::asio::awaitable<void> serveStatus(boost::asio::io_context &context,
                                                       boost::asio::ip::tcp::acceptor &acceptor,
                                                       std::shared_ptr<MemoryBudget> memory,
                                                       std::string path,
                                                       std::function<StatusPage()> page);

} // namespace jacinthroad
