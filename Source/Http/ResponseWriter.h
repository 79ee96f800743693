#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "Core/MemoryBudget.h"
#include "Http/HttpMessage.h"

struct MHD_Connection;

namespace jacinthroad {

class HttpServer;

/// The `IP:port` at the other end of a connection; empty if unknown.
[[nodiscard]] std::string callerAddress(MHD_Connection *connection);

/// Writes the response to one request. Any thread may write; a server thread sends the data. The
/// buffer of a stream takes memory from a budget, and the stream is aborted if there is none: its
/// user stops writing when bufferedBytes() is too high and continues on the drained event.
class ResponseWriter
{
public:
    /// Called on a server thread when the buffer, having reached `highWater` bytes, falls below
    /// half of that.
    using DrainedEvent = std::function<void()>;
    /// Called once on a server thread when the exchange ends; `complete` is true if the entire
    /// response was sent.
    using ClosedEvent = std::function<void(bool complete)>;

    explicit ResponseWriter(std::shared_ptr<MemoryBudget> budget)
        : streamMemory_(std::move(budget), BodyKind::Response)
    { }
    ResponseWriter(const ResponseWriter &) = delete;
    ResponseWriter &operator=(const ResponseWriter &) = delete;

    /// Sets the event callbacks and the high-water mark in bytes; must precede the first write.
    void subscribe(std::size_t highWater, DrainedEvent drained, ClosedEvent closed);

    /// Starts a streamed response. Ignored if a response was already started or aborted.
    void start(int status, HttpHeaders headers);
    /// Appends to a streamed response and returns the number of buffered bytes.
    std::size_t write(std::string_view bytes);
    /// Completes a streamed response.
    void finish();
    /// Closes the connection so that the caller can detect the incomplete response. Ignored after
    /// finish().
    void abort();
    /// Sends a complete response, and holds the memory that is reserved for it until it is sent.
    /// Ignored if a response was already started or aborted.
    void respond(HttpResponse response, std::shared_ptr<MemoryReservation> memory = nullptr);

    /// True once the status and headers are set.
    [[nodiscard]] bool started() const;
    /// Bytes written but not yet read by the server thread.
    [[nodiscard]] std::size_t bufferedBytes() const;
    /// True if the caller closed its side of the connection, or if the exchange has ended.
    [[nodiscard]] bool callerDisconnected() const;

private:
    friend class HttpServer;

    void resumeLocked();
    void abortLocked();
    [[nodiscard]] std::size_t bufferedBytesLocked() const { return buffer_.size() - sent_; }
    /// Copies up to `capacity` buffered bytes to `target`. Returns the number of bytes or an MHD
    /// content reader code.
    long read(char *target, std::size_t capacity);
    void resetConnectionLocked() const;
    void connectionEnded(bool complete);

    mutable std::mutex mutex_;
    MHD_Connection *connection_ = nullptr;
    bool suspended_ = false;
    bool started_ = false;
    bool queued_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool hasCompleteBody_ = false;
    /// True if the body can only end with the connection, as for callers of HTTP/1.0.
    bool closeEndsBody_ = false;
    bool aboveHighWater_ = false;
    int status_ = 0;
    HttpHeaders headers_;
    std::string buffer_;
    /// Memory of the buffer of a stream, and that of a complete body.
    MemoryReservation streamMemory_;
    std::shared_ptr<MemoryReservation> bodyMemory_;
    std::size_t sent_ = 0;
    std::size_t highWater_ = 0;
    DrainedEvent onDrained_;
    ClosedEvent onClosed_;
};

} // namespace jacinthroad
