#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <new>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>

#include "Core/MemoryBudget.h"

namespace jacinthroad {

/// Allocates memory that a budget has room for.
template <typename T> class BudgetAllocator
{
public:
    using value_type = T;

    BudgetAllocator(std::shared_ptr<MemoryBudget> budget, BodyKind kind)
        : budget_(std::move(budget))
        , kind_(kind)
    { }
    template <typename Other>
    BudgetAllocator(const BudgetAllocator<Other> &other)
        : budget_(other.budget())
        , kind_(other.kind())
    { }

    /// Throws std::length_error, which Beast returns as http::error::buffer_overflow, if the budget
    /// has no room.
    [[nodiscard]] T *allocate(std::size_t count)
    {
        const std::size_t bytes = count * sizeof(T);
        if (!budget_->reserve(kind_, bytes)) {
            throw std::length_error("the memory for received data is used up");
        }
        try {
            return std::allocator<T>().allocate(count);
        } catch (...) {
            budget_->release(kind_, bytes);
            throw;
        }
    }
    void deallocate(T *memory, std::size_t count)
    {
        std::allocator<T>().deallocate(memory, count);
        budget_->release(kind_, count * sizeof(T));
    }

    [[nodiscard]] const std::shared_ptr<MemoryBudget> &budget() const { return budget_; }
    [[nodiscard]] BodyKind kind() const { return kind_; }
    [[nodiscard]] bool operator==(const BudgetAllocator &other) const
    {
        return budget_ == other.budget_;
    }

private:
    std::shared_ptr<MemoryBudget> budget_;
    BodyKind kind_;
};

/// What a connection has received and its parser has not consumed. Whatever the sender writes, it
/// takes no more than its largest size, and that from the budget of the node: the parser fails with
/// http::error::buffer_overflow otherwise.
class ReadBuffer : public boost::beast::basic_flat_buffer<BudgetAllocator<char>>
{
public:
    /// A parser needs the whole of a header, of the line of a chunk's size or of all trailers, so
    /// `maxBytes` is at least the limit for a header.
    ReadBuffer(std::shared_ptr<MemoryBudget> budget, BodyKind kind, std::size_t maxBytes);
    ReadBuffer(const ReadBuffer &) = delete;
    ReadBuffer &operator=(const ReadBuffer &) = delete;

    /// Changes the largest size in bytes. What exceeds it stays until it is consumed.
    void setMaxBytes(std::size_t maxBytes);
    /// Returns room for `bytes` behind the data, or nothing if there is none.
    [[nodiscard]] std::optional<boost::asio::mutable_buffer> tryPrepare(std::size_t bytes);
    /// Number of bytes to read next; 0 if the data has the largest size.
    [[nodiscard]] std::size_t readSize() const;
    /// Gives the memory back if the buffer holds no data.
    void releaseIfEmpty();
    /// True if the data has the largest size.
    [[nodiscard]] bool isFull() const { return size() >= max_size(); }
};

/// What a connection of a node is used for.
enum class ConnectionRole : std::uint8_t {
    /// Callers and other nodes send requests.
    Caller,
    /// Backend servers and other nodes send responses to them.
    Server,
    /// The store, servers and other nodes send responses to control calls.
    Control,
};

/// Returns the size in bytes of the receive buffer that is asked for a connection of a node with
/// this memory for received data.
[[nodiscard]] std::size_t receiveBufferBytes(const MemoryBudget &memory, ConnectionRole role);

/// Returns how many bytes at most a connection with such a buffer receives before they are read:
/// the system doubles what it is asked for.
[[nodiscard]] inline std::size_t unreadBytes(const MemoryBudget &memory, ConnectionRole role)
{
    return 2 * receiveBufferBytes(memory, role);
}

/// The same for both connections of a request.
[[nodiscard]] inline std::size_t unreadRequestBytes(const MemoryBudget &memory)
{
    return unreadBytes(memory, ConnectionRole::Caller)
        + unreadBytes(memory, ConnectionRole::Server);
}

/// Returns the memory in bytes that the fields of a parsed header take.
[[nodiscard]] std::size_t headerMemory(const boost::beast::http::fields &header);

/// True if a read ended with `error` because what arrived exceeds the largest size of a part of a
/// message or the memory for received data.
[[nodiscard]] bool exceedsReadLimit(const boost::system::error_code &error);

/// True if a read through `buffer` ended with `error` because other data takes the node's memory.
[[nodiscard]] bool isMemoryFull(const boost::system::error_code &error, const ReadBuffer &buffer);

/// Logs `input_refused` if exceedsReadLimit(error). `reader` names what was being read.
void logReadLimit(std::string_view reader, const boost::system::error_code &error,
                  const ReadBuffer &buffer, const boost::asio::ip::tcp::socket &socket);

} // namespace jacinthroad
