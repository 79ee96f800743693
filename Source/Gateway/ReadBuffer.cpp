#include "Gateway/ReadBuffer.h"

#include <algorithm>
#include <string>

#include <boost/beast/http/error.hpp>

#include "Core/Log.h"
#include "Gateway/MessageParser.h"

namespace jacinthroad {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t MinReceiveBufferBytes = 2 * 1024;
/// Those of a request are counted as a short body.
constexpr std::size_t MaxCallerBufferBytes = 8 * 1024;
constexpr std::size_t MaxServerBufferBytes = 24 * 1024;
constexpr std::size_t MaxControlBufferBytes = 64 * 1024;
/// Receive buffers for which the memory has room, at least, unless they have the smallest size.
/// Callers send little until the length of a long body is known, and most control calls are short.
constexpr std::size_t CallerBuffers = 16384;
constexpr std::size_t ServerBuffers = 8192;
constexpr std::size_t ControlBuffers = 4096;
constexpr std::size_t MinReadBytes = 512;
constexpr std::size_t MaxReadBytes = 64 * 1024;
/// What a field of a header takes besides its text.
constexpr std::size_t FieldBytes = 96;
/// A header that is passed on is held twice.
constexpr std::size_t HeaderCopies = 2;

std::string peerAddress(const boost::asio::ip::tcp::socket &socket)
{
    error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? std::string()
                 : endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

std::string_view limitReason(const error_code &error, const ReadBuffer &buffer)
{
    if (error == http::error::header_limit) {
        return "the header is too long, or it or the trailers have too many fields";
    }
    if (error == http::error::body_limit) {
        return "the body is too long";
    }
    return buffer.isFull() ? "a header, the line of a chunk's size or the trailers don't end"
                           : "the memory for received data is used up";
}

} // namespace

ReadBuffer::ReadBuffer(std::shared_ptr<MemoryBudget> budget, BodyKind kind, std::size_t maxBytes)
    : basic_flat_buffer(maxBytes, BudgetAllocator<char>(std::move(budget), kind))
{ }

void ReadBuffer::setMaxBytes(std::size_t maxBytes)
{
    max_size(std::max(maxBytes, size()));
}

std::optional<boost::asio::mutable_buffer> ReadBuffer::tryPrepare(std::size_t bytes)
{
    try {
        return prepare(bytes);
    } catch (const std::length_error &) {
        return std::nullopt;
    }
}

std::size_t ReadBuffer::readSize() const
{
    return std::min(
        { std::max(MinReadBytes, capacity() - size()), MaxReadBytes, max_size() - size() });
}

void ReadBuffer::releaseIfEmpty()
{
    if (size() == 0) {
        clear();
        shrink_to_fit();
    }
}

static_assert(2 * (MaxCallerBufferBytes + MaxServerBufferBytes) <= ShortBodyBytes);

std::size_t receiveBufferBytes(const MemoryBudget &memory, ConnectionRole role)
{
    std::size_t buffers = ControlBuffers;
    std::size_t most = MaxControlBufferBytes;
    if (role == ConnectionRole::Caller) {
        buffers = CallerBuffers;
        most = MaxCallerBufferBytes;
    } else if (role == ConnectionRole::Server) {
        buffers = ServerBuffers;
        most = MaxServerBufferBytes;
    }
    return std::clamp(memory.limit() / buffers, MinReceiveBufferBytes, most);
}

std::size_t headerMemory(const http::fields &header)
{
    std::size_t bytes = 0;
    for (const auto &field : header) {
        bytes += field.name_string().size() + field.value().size() + FieldBytes;
    }
    return HeaderCopies * bytes;
}

bool exceedsReadLimit(const error_code &error)
{
    return error == http::error::buffer_overflow || error == http::error::header_limit
        || error == http::error::body_limit;
}

bool isMemoryFull(const error_code &error, const ReadBuffer &buffer)
{
    return error == http::error::buffer_overflow && !buffer.isFull();
}

void logReadLimit(std::string_view reader, const error_code &error, const ReadBuffer &buffer,
                  const boost::asio::ip::tcp::socket &socket)
{
    if (!exceedsReadLimit(error)) {
        return;
    }
    logLine(LogLevel::Warning, "input_refused",
            { { "object", reader },
              { "reason", limitReason(error, buffer) },
              { "peer", peerAddress(socket) },
              { "bytes", static_cast<std::int64_t>(buffer.size()) },
              { "limit_bytes", static_cast<std::int64_t>(buffer.max_size()) },
              { "limit_fields", static_cast<std::int64_t>(MaxFields) },
              { "remedy",
                "Check the sender; raise memory.total_mb if the memory for received data is used "
                "up." } });
}

} // namespace jacinthroad
