#include "Gateway/ResponseSender.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Core/Log.h"
#include "Gateway/DeadlineTimer.h"
#include "Gateway/ReadBuffer.h"
#include "Gateway/SocketOptions.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Time without progress after which a write gives way to others.
constexpr Duration ShortestWait = milliseconds(500);
/// Up to this size a response fits into the send buffer of its connection.
constexpr std::size_t ShortResponseBytes = 4096;

/// Closes a connection whose peer doesn't read, and gives back what the system holds for it.
void drop(asio::ip::tcp::socket &socket)
{
    setResetOnClose(socket, true);
    error_code ignored;
    socket.close(ignored);
}

} // namespace

ResponseSender::ResponseSender(asio::io_context &context, std::shared_ptr<MemoryBudget> memory,
                               Options options)
    : context_(context)
    , memory_(std::move(memory))
    , options_(std::move(options))
{ }

asio::awaitable<bool> ResponseSender::send(asio::ip::tcp::socket &socket, Response response)
{
    const Instant now = std::chrono::steady_clock::now();
    const auto entry
        = writes_->insert(writes_->end(),
                          Write { .socket = socket,
                                  .memory = MemoryReservation(memory_, BodyKind::Control),
                                  .began = now,
                                  .progress = now });
    const std::shared_ptr<void> end(nullptr,
                                    [writes = writes_, entry](void *) { writes->erase(entry); });
    const std::size_t bytes = response.body().capacity() + headerMemory(response.base());
    const bool reserved = co_await reserve(*entry, bytes);
    if (!reserved) {
        log(*entry, bytes, "the memory for responses that are being written is used up");
        Response refusal(http::status::service_unavailable, response.version());
        refusal.keep_alive(false);
        refusal.body() = "the memory for responses is used up";
        refusal.prepare_payload();
        response = std::move(refusal);
    }
    const error_code error = co_await write(*entry, response);
    co_return !error && response.keep_alive();
}

asio::awaitable<bool> ResponseSender::reserve(Write &write, std::size_t bytes)
{
    const bool isLong = bytes > ShortResponseBytes;
    while ((isLong && !hasShare(bytes)) || !write.memory.resize(bytes)) {
        if (!endOldest()) {
            co_return false;
        }
        // The write that was ended gives its memory back meanwhile.
        co_await asio::post(context_, asio::use_awaitable);
    }
    co_return true;
}

bool ResponseSender::hasShare(std::size_t bytes) const
{
    std::size_t sum = 0;
    for (const Write &write : *writes_) {
        sum += write.memory.bytes() > ShortResponseBytes ? write.memory.bytes() : 0;
    }
    return sum == 0 || sum + bytes <= memory_->limit() / options_.shareDivisor;
}

bool ResponseSender::endOldest()
{
    const auto oldest
        = std::min_element(writes_->begin(), writes_->end(), [](const Write &a, const Write &b) {
              return std::pair(a.memory.bytes() == 0 || !a.socket.is_open(), a.progress)
                  < std::pair(b.memory.bytes() == 0 || !b.socket.is_open(), b.progress);
          });
    if (oldest == writes_->end() || oldest->memory.bytes() == 0 || !oldest->socket.is_open()
        || std::chrono::steady_clock::now() - oldest->progress < ShortestWait) {
        return false;
    }
    log(*oldest, oldest->memory.bytes(), "its peer doesn't read it, and others need the memory");
    drop(oldest->socket);
    return true;
}

asio::awaitable<error_code> ResponseSender::write(Write &write, Response &response)
{
    http::response_serializer<http::string_body> serializer(response);
    DeadlineTimer timer(context_);
    error_code error;
    while (!error && !serializer.is_done()) {
        timer.expireAt(transferDeadline(options_.limits, write.began, write.progress),
                       [this, &write] {
                           log(write, write.memory.bytes(), "its peer doesn't read it in time");
                           drop(write.socket);
                       });
        co_await http::async_write_some(write.socket, serializer,
                                        asio::redirect_error(asio::use_awaitable, error));
        write.progress = std::chrono::steady_clock::now();
    }
    co_return error;
}

void ResponseSender::log(const Write &write, std::size_t bytes, const char *reason) const
{
    error_code error;
    const auto peer = write.socket.remote_endpoint(error);
    logLine(
        LogLevel::Warning, "response_refused",
        { { "object", options_.object },
          { "reason", reason },
          { "peer",
            error ? std::string()
                  : peer.address().to_string() + ':' + std::to_string(peer.port()) },
          { "bytes", static_cast<std::int64_t>(bytes) },
          { "limit_bytes", static_cast<std::int64_t>(memory_->limit() / options_.shareDivisor) },
          { "limit_ms", toMilliseconds(options_.limits.whole) },
          { "remedy",
            "Check the peer; raise memory.total_mb if all of them read their responses." } });
}

} // namespace jacinthroad
