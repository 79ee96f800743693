#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Core/MemoryBudget.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/ResponseSender.h"
#include "StoreRelay/RelayResponder.h"

namespace jacinthroad {

/// Passes objects of the store on to other nodes of the zone. A query waits until something has
/// changed or, for the configuration, is proven anew. Used by the control thread only.
class RelayServer
{
public:
    RelayServer(boost::asio::io_context &context, GatewayMetrics &metrics,
                std::shared_ptr<MemoryBudget> memory);
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    /// Passes on what this log holds; it must outlive the server.
    void add(platform::ObjectKind kind, const RelayLog &log,
             const RelayResponder::Options &options);
    /// Serves connections until the acceptor is closed.
    [[nodiscard]] boost::asio::awaitable<void> serve(boost::asio::ip::tcp::acceptor &acceptor);
    /// Ends the waits of queries for this kind: there is a change or a new proof.
    void noteNews(platform::ObjectKind kind);

    /// Notes the size of a change that is arriving from the store; 0 once it has arrived.
    void noteExpected(platform::ObjectKind kind, std::uint64_t bytes);

private:
    /// What is passed on of one kind.
    struct Passed
    {
        RelayResponder responder;
        std::set<boost::asio::steady_timer *> waiting {};
        /// Each connection that asked holds a copy.
        std::shared_ptr<const char> presence = std::make_shared<const char>();

        [[nodiscard]] std::size_t followers() const
        {
            return static_cast<std::size_t>(presence.use_count()) - 1;
        }
    };

    [[nodiscard]] boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);
    /// Waits until there is something new or the wait of the query has ended.
    [[nodiscard]] boost::asio::awaitable<void> waitForNews(RelayQuery query, Passed &passed);

    boost::asio::io_context &context_;
    GatewayMetrics &metrics_;
    std::shared_ptr<MemoryBudget> memory_;
    ResponseSender sender_;
    std::map<platform::ObjectKind, Passed> passed_;
};

} // namespace jacinthroad
