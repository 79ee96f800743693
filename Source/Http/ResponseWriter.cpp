#include "Http/ResponseWriter.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "Core/Log.h"

namespace jacinthroad {

std::string callerAddress(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr == nullptr
        || info->client_addr->sa_family != AF_INET) {
        return {};
    }
    const auto *address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(address->sin_port));
}

void ResponseWriter::subscribe(std::size_t highWater, DrainedEvent drained, ClosedEvent closed)
{
    const std::scoped_lock lock(mutex_);
    highWater_ = highWater;
    onDrained_ = std::move(drained);
    onClosed_ = std::move(closed);
}

void ResponseWriter::resumeLocked()
{
    if (suspended_ && connection_ != nullptr) {
        suspended_ = false;
        MHD_resume_connection(connection_);
    }
}

void ResponseWriter::start(int status, HttpHeaders headers)
{
    const std::scoped_lock lock(mutex_);
    if (started_ || aborted_) {
        return;
    }
    started_ = true;
    status_ = status;
    headers_ = std::move(headers);
    resumeLocked();
}

std::size_t ResponseWriter::write(std::string_view bytes)
{
    const std::scoped_lock lock(mutex_);
    if (finished_ || aborted_) {
        return 0;
    }
    // Sent bytes are removed before the buffer would grow.
    if (sent_ > 0 && buffer_.size() + bytes.size() > buffer_.capacity()) {
        buffer_.erase(0, std::exchange(sent_, 0));
    }
    if (!streamMemory_.growBody(buffer_, bytes.size(), buffer_.max_size())) {
        logLine(LogLevel::Warning, "stream_without_memory",
                { { "caller", connection_ == nullptr ? "" : callerAddress(connection_) },
                  { "buffered_bytes", static_cast<std::int64_t>(bufferedBytesLocked()) },
                  { "remedy",
                    "Look for callers that read slowly, or raise "
                    "limits.response_memory_bytes." } });
        abortLocked();
        return 0;
    }
    buffer_.append(bytes);
    aboveHighWater_ = aboveHighWater_ || bufferedBytesLocked() >= highWater_;
    resumeLocked();
    return bufferedBytesLocked();
}

void ResponseWriter::finish()
{
    const std::scoped_lock lock(mutex_);
    finished_ = true;
    resumeLocked();
}

void ResponseWriter::abort()
{
    const std::scoped_lock lock(mutex_);
    abortLocked();
}

void ResponseWriter::abortLocked()
{
    if (finished_) {
        return;
    }
    aborted_ = true;
    resumeLocked();
}

void ResponseWriter::respond(HttpResponse response, std::shared_ptr<MemoryReservation> memory)
{
    const std::scoped_lock lock(mutex_);
    if (started_ || aborted_) {
        return;
    }
    started_ = true;
    finished_ = true;
    hasCompleteBody_ = true;
    status_ = response.status;
    headers_ = std::move(response.headers);
    buffer_ = std::move(response.body);
    bodyMemory_ = std::move(memory);
    resumeLocked();
}

bool ResponseWriter::started() const
{
    const std::scoped_lock lock(mutex_);
    return started_;
}

std::size_t ResponseWriter::bufferedBytes() const
{
    const std::scoped_lock lock(mutex_);
    return bufferedBytesLocked();
}

bool ResponseWriter::callerDisconnected() const
{
    const std::scoped_lock lock(mutex_);
    if (connection_ == nullptr) {
        return true;
    }
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) {
        return false;
    }
    char byte = 0;
    return recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

long ResponseWriter::read(char *target, std::size_t capacity)
{
    DrainedEvent drained;
    std::size_t copiedBytes = 0;
    {
        const std::scoped_lock lock(mutex_);
        if (bufferedBytesLocked() == 0) {
            if (aborted_) {
                if (closeEndsBody_) {
                    resetConnectionLocked();
                }
                return MHD_CONTENT_READER_END_WITH_ERROR;
            }
            if (finished_) {
                return MHD_CONTENT_READER_END_OF_STREAM;
            }
            suspended_ = true;
            MHD_suspend_connection(connection_);
            return 0;
        }
        copiedBytes = std::min(capacity, bufferedBytesLocked());
        std::memcpy(target, buffer_.data() + sent_, copiedBytes);
        sent_ += copiedBytes;
        if (sent_ == buffer_.size()) {
            buffer_ = {};
            sent_ = 0;
            // A smaller reservation always fits.
            static_cast<void>(streamMemory_.resize(0));
        }
        if (aboveHighWater_ && bufferedBytesLocked() < highWater_ / 2) {
            aboveHighWater_ = false;
            drained = onDrained_;
        }
    }
    if (drained) {
        drained();
    }
    return static_cast<long>(copiedBytes);
}

void ResponseWriter::resetConnectionLocked() const
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        // libmicrohttpd would shut the connection down in an orderly way first.
        sockaddr unspecified {};
        unspecified.sa_family = AF_UNSPEC;
        static_cast<void>(connect(info->connect_fd, &unspecified, sizeof(unspecified)));
    }
}

void ResponseWriter::connectionEnded(bool complete)
{
    ClosedEvent closed;
    {
        const std::scoped_lock lock(mutex_);
        connection_ = nullptr;
        suspended_ = false;
        closed = std::exchange(onClosed_, nullptr);
        onDrained_ = nullptr;
        buffer_ = {};
        sent_ = 0;
        static_cast<void>(streamMemory_.resize(0));
        bodyMemory_.reset();
        complete = complete && finished_ && !aborted_;
        // What is written from now on is dropped.
        aborted_ = true;
    }
    if (closed) {
        closed(complete);
    }
}

} // namespace jacinthroad
