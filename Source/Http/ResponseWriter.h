#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "Http/HttpMessage.h"

struct MHD_Connection;

namespace jacinthroad {

class HttpServer;

/// The way back to one caller. Any thread may write; the server's thread sends. What was
/// written and not yet sent is bounded by its user, who stops at bufferedBytes() and goes on at
/// the drained event.
class ResponseWriter
{
public:
    /// Called from a server thread when less than half of the `highWater` bytes wait.
    using DrainedEvent = std::function<void()>;
    /// Called once from a server thread when the exchange is over; true when the whole answer
    /// was handed to the caller.
    using ClosedEvent = std::function<void(bool whole)>;

    ResponseWriter() = default;
    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    /// Subscribes to events; called before the first write.
    void subscribe(std::size_t highWater, DrainedEvent drained, ClosedEvent closed);

    /// Begins a streamed answer. Later calls are ignored.
    void start(int status, HttpHeaders headers);
    /// Appends to a streamed answer and returns the bytes that now wait.
    std::size_t write(std::string_view bytes);
    /// Ends a streamed answer in good order.
    void finish();
    /// Closes the connection so that the caller sees the answer is not whole.
    void abort();
    /// Sends a whole answer.
    void respond(HttpResponse response);

    /// True once headers were set.
    [[nodiscard]] bool started() const;
    /// Bytes written and not yet taken by the server thread.
    [[nodiscard]] std::size_t bufferedBytes() const;
    /// True when the caller closed its side while the exchange is still open.
    [[nodiscard]] bool callerLeft() const;

private:
    friend class HttpServer;

    void resumeLocked();
    [[nodiscard]] std::size_t waitingLocked() const { return buffer_.size() - sent_; }
    /// Takes up to `capacity` bytes; returns an MHD reader result.
    long read(char *target, std::size_t capacity);
    void connectionEnded(bool whole);

    mutable std::mutex mutex_;
    MHD_Connection *connection_ = nullptr;
    bool suspended_ = false;
    bool started_ = false;
    bool queued_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool wholeBody_ = false;
    bool aboveHighWater_ = false;
    int status_ = 0;
    HttpHeaders headers_;
    std::string buffer_;
    std::size_t sent_ = 0;
    std::size_t highWater_ = 0;
    DrainedEvent drained_;
    ClosedEvent closed_;
};

} // namespace jacinthroad
