#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include "Core/Time.h"
#include "Gateway/ReadAllowance.h"

namespace jacinthroad {

class PacedSocket;

/// Lets connections that have exceeded their allowance be read. One of them, that which has used
/// least, gets its turn each time that the event loop has run all handlers that were ready. So they
/// delay other work by one read each time, however many they are, and use all the time that is
/// left. Used by one thread only.
class ReadTurns : public std::enable_shared_from_this<ReadTurns>
{
public:
    /// `context` must outlive the connections that wait.
    explicit ReadTurns(boost::asio::io_context &context)
        : context_(context)
    { }

    void add(PacedSocket &socket);
    void remove(PacedSocket &socket);
    /// Number of reads that have waited. Thread-safe.
    [[nodiscard]] std::uint64_t pacedReads() const { return pacedReads_; }

private:
    void grantLater();
    void grantOne();

    boost::asio::io_context &context_;
    /// In the order of their arrival.
    std::vector<PacedSocket *> waiting_;
    std::atomic<std::uint64_t> pacedReads_ { 0 };
    /// True while grantOne() is queued.
    bool posted_ = false;
};

/// Reads a socket for Beast. A read that exceeds the allowance of the connection waits for its
/// turn; what the peer sends meanwhile waits at the peer once the system's buffers are full.
class PacedSocket
{
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    PacedSocket(boost::asio::ip::tcp::socket &socket, std::shared_ptr<ReadTurns> turns)
        : socket_(socket)
        , turns_(std::move(turns))
        , turn_(socket.get_executor())
    { }
    PacedSocket(const PacedSocket &) = delete;
    PacedSocket &operator=(const PacedSocket &) = delete;
    ~PacedSocket() { turns_->remove(*this); }

    // NOLINTNEXTLINE(readability-identifier-naming): Asio calls these by their names.
    [[nodiscard]] executor_type get_executor() { return socket_.get_executor(); }
    template <typename Buffers, typename Token>
    // NOLINTNEXTLINE(readability-identifier-naming)
    auto async_read_some(const Buffers &buffers, Token &&token)
    {
        return boost::asio::async_compose<Token, void(boost::system::error_code, std::size_t)>(
            ReadOperation<Buffers> { .reader = *this, .buffers = buffers }, token, socket_);
    }
    /// Gives the connection its whole allowance, for the response to another request.
    void renewAllowance() { allowance_ = {}; }
    /// To be called if the last read has completed events.
    void noteEvents() { allowance_.noteEvents(); }
    /// Ends a read that waits for its turn with operation_aborted.
    void cancelWait();
    /// True while a read waits for its turn.
    [[nodiscard]] bool waits() const { return waits_; }
    /// True if the last read returned as much as it could, so that more is likely to wait.
    [[nodiscard]] bool filledBuffer() const { return filledBuffer_; }
    [[nodiscard]] std::size_t lastReadBytes() const { return lastReadBytes_; }
    /// Bytes that were read since the connection was opened.
    [[nodiscard]] std::uint64_t readBytes() const { return readBytes_; }
    /// True if the next read has to wait for its turn.
    [[nodiscard]] bool exceedsAllowance() const
    {
        return allowance_.exceeded(std::chrono::steady_clock::now());
    }

private:
    friend class ReadTurns;

    template <typename Buffers> struct ReadOperation
    {
        enum class Step { Begin, Turn, Read };

        PacedSocket &reader;
        Buffers buffers;
        Step step = Step::Begin;

        template <typename Self>
        void operator()(Self &self, boost::system::error_code error = {}, std::size_t size = 0)
        {
            PacedSocket &socket = reader;
            switch (step) {
            case Step::Begin:
                if (socket.mustWait()) {
                    step = Step::Turn;
                    socket.turn_.async_wait(std::move(self));
                    return;
                }
                break;
            case Step::Turn:
                if (!std::exchange(socket.granted_, false)) {
                    self.complete(boost::asio::error::operation_aborted, 0);
                    return;
                }
                break;
            case Step::Read:
                socket.note(size, boost::asio::buffer_size(buffers));
                self.complete(error, size);
                return;
            }
            step = Step::Read;
            const Buffers target = buffers;
            socket.socket_.async_read_some(target, std::move(self));
        }
    };

    /// Returns true if a read has to wait until `turn_` is cancelled.
    [[nodiscard]] bool mustWait();
    void note(std::size_t bytes, std::size_t bufferBytes);
    void grant();

    boost::asio::ip::tcp::socket &socket_;
    std::shared_ptr<ReadTurns> turns_;
    boost::asio::steady_timer turn_;
    ReadAllowance allowance_;
    bool waits_ = false;
    bool granted_ = false;
    bool filledBuffer_ = false;
    std::size_t lastReadBytes_ = 0;
    std::uint64_t readBytes_ = 0;
};

} // namespace jacinthroad
