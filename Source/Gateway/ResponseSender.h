#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include "Core/MemoryBudget.h"
#include "Core/Time.h"
#include "StoreRelay/TransferLimits.h"

namespace jacinthroad {

/// Writes the responses of one address of the node, such as its metrics. Their memory is reserved
/// until they have been written. Long ones that their peers don't read take a part of it together:
/// the one without progress for the longest time gives way to another. Used by one thread only.
class ResponseSender
{
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    struct Options
    {
        /// What is written, for the log.
        std::string object;
        /// How long writing a response may take; its connection is closed then.
        TransferLimits limits;
        /// The memory that long responses may take together is the node's divided by this. One is
        /// written in any case if the node has memory for it.
        std::size_t shareDivisor = 1;
    };

    ResponseSender(boost::asio::io_context &context, std::shared_ptr<MemoryBudget> memory,
                   Options options);
    ResponseSender(const ResponseSender &) = delete;
    ResponseSender &operator=(const ResponseSender &) = delete;

    /// Writes a response. Without memory for it, writes 503 in its place and announces the close of
    /// the connection. Returns false if the connection can't be used any more.
    [[nodiscard]] boost::asio::awaitable<bool> send(boost::asio::ip::tcp::socket &socket,
                                                    Response response);

private:
    /// A response that is being written.
    struct Write
    {
        boost::asio::ip::tcp::socket &socket;
        MemoryReservation memory;
        Instant began;
        /// When its peer last took a part of it.
        Instant progress;
    };

    /// Reserves memory for a write, also that of others without progress.
    [[nodiscard]] boost::asio::awaitable<bool> reserve(Write &write, std::size_t bytes);
    /// True if long responses may take as many bytes more together.
    [[nodiscard]] bool hasShare(std::size_t bytes) const;
    /// Closes the connection of the write without progress for the longest time. Returns false if
    /// none has waited for long.
    [[nodiscard]] bool endOldest();
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> write(Write &write,
                                                                          Response &response);
    void log(const Write &write, std::size_t bytes, const char *reason) const;

    boost::asio::io_context &context_;
    std::shared_ptr<MemoryBudget> memory_;
    Options options_;
    /// Those that have not ended share it, as the event loop may destroy them after this object.
    std::shared_ptr<std::list<Write>> writes_ = std::make_shared<std::list<Write>>();
};

} // namespace jacinthroad
