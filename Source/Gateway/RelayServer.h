#pragma once

#include <map>
#include <set>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Gateway/GatewayMetrics.h"
#include "StoreRelay/RelayLog.h"

namespace jacinthroad {

/// Passes objects of the store on to other nodes of the zone. A query waits until something has
/// changed or, for the configuration, is proven anew. Used by the control thread only.
class RelayServer
{
public:
    RelayServer(boost::asio::io_context &context, GatewayMetrics &metrics);
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    /// Passes on what this log holds; it must outlive the server.
    void add(platform::ObjectKind kind, const RelayLog &log);
    /// Serves connections until the acceptor is closed.
    [[nodiscard]] boost::asio::awaitable<void> serve(boost::asio::ip::tcp::acceptor &acceptor);
    /// Ends the waits of queries for this kind: there is a change or a new proof.
    void noteNews(platform::ObjectKind kind);

private:
    [[nodiscard]] boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);
    /// Waits until there is something new or the wait of the query has ended.
    [[nodiscard]] boost::asio::awaitable<void> waitForChanges(RelayQuery query,
                                                              const RelayLog &log);

    boost::asio::io_context &context_;
    GatewayMetrics &metrics_;
    std::map<platform::ObjectKind, const RelayLog *> logs_;
    std::map<platform::ObjectKind, std::set<boost::asio::steady_timer *>> waiting_;
};

} // namespace jacinthroad
