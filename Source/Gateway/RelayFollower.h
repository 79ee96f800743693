#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Gateway/RelayClient.h"
#include "StoreRelay/ReaderChoice.h"
#include "StoreRelay/RelayCollector.h"

namespace jacinthroad {

/// Gets the objects of one kind from another node, page by page. Used by the control thread only.
class RelayFollower
{
public:
    struct Options
    {
        platform::ObjectKind kind = platform::ObjectKind::Configuration;
        /// Name of the objects in log lines.
        std::string name;
        /// How long the other node waits for a change.
        Duration wait {};
    };
    /// What the asking node has and needs.
    struct Needs
    {
        /// RelayLog::digest() of its objects; 0 if it has none.
        std::uint64_t digest = 0;
        Duration maxAge {};
        bool onlyHere = false;
    };
    /// A response; its events are among the collected ones.
    struct Reply
    {
        RelayContent content = RelayContent::Changes;
        RelayPosition position;
        std::uint64_t revision = 0;
        std::optional<std::uint64_t> era;
        Duration age {};
        /// objectsDigest() of all objects of the other node.
        std::uint64_t digest = 0;
        BootInstant sentAt;
        /// True if the collected changes are complete.
        bool complete = false;
    };

    RelayFollower(boost::asio::io_context &context, std::shared_ptr<MemoryBudget> memory,
                  Options options);

    /// Asks a node once; nothing if it had no usable response, which is logged.
    [[nodiscard]] boost::asio::awaitable<std::optional<Reply>> ask(RelayNode reader, Needs needs);
    /// True if a transfer whose connection was lost got further than the last time, so that it is
    /// worth going on at the same node.
    [[nodiscard]] bool mayGoOn() const { return mayGoOn_; }
    /// The pages that were received.
    [[nodiscard]] RelayCollector &collector() { return collector_; }

private:
    void noteLost();
    void logLost(const RelayNode &reader, const TransferProgress &progress,
                 std::string_view reason) const;
    /// Notes a page that arrived, and logs a transfer that took long once it has ended.
    void noteArrival(const RelayNode &reader, const TransferProgress &progress);

    boost::asio::io_context &context_;
    std::shared_ptr<MemoryBudget> memory_;
    Options options_;
    std::unique_ptr<RelayClient> client_;
    RelayCollector collector_;
    /// When the first byte of the transfer that is under way arrived, and its size until now.
    std::optional<Instant> transferBegan_;
    std::uint64_t transferBytes_ = 0;
    std::size_t transferPages_ = 0;
    /// Position at which a connection was last lost within a transfer.
    std::optional<RelayPosition> lostAt_;
    bool mayGoOn_ = false;
};

} // namespace jacinthroad
