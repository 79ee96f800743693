#pragma once

#include <functional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace jacinthroad {

/// A page of status: the HTTP status code and the text.
using StatusPage = std::pair<unsigned, std::string>;

/// Serves GET requests for one path, as the balancer's question for readiness or a scrape of
/// metrics, until the acceptor is closed. Other paths are answered 404.
[[nodiscard]] boost::asio::awaitable<void> serveStatus(boost::asio::io_context &context,
                                                       boost::asio::ip::tcp::acceptor &acceptor,
                                                       std::string path,
                                                       std::function<StatusPage()> page);

} // namespace jacinthroad
