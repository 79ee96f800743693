#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Splits the bytes of an event stream into complete events, so that a truncated event never
/// reaches a caller, and stores the identifier of the last one. Events that a resumed stream sends
/// again are removed.
class EventSplitter
{
public:
    /// Appends received bytes and returns, unchanged, the events that are now complete.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// Frees the memory of the partial event of a stream that has ended.
    void dropPartialEvent() { std::string().swap(pending_); }
    /// Memory in bytes of what is kept of the stream.
    [[nodiscard]] std::size_t heldBytes() const { return pending_.capacity() + lastId_.capacity(); }
    /// Discards the partial event of a broken stream before another stream resumes it.
    void startResumedStream();
    /// Discards the rest of the stream once another response begins behind an event. Only a stream
    /// that ends with its connection can contain one.
    void stopAtNextResponse() { stopsAtNextResponse_ = true; }
    /// True once another response has begun.
    [[nodiscard]] bool reachedNextResponse() const { return reachedNextResponse_; }
    /// Identifier of the last complete event that has one; empty before the first.
    [[nodiscard]] const std::string &lastId() const { return lastId_; }
    /// True if the buffered partial event is longer than any event may be.
    [[nodiscard]] bool eventTooLong() const { return pending_.size() > MaxEventBytes; }
    /// True while a partial event is buffered. Blank lines don't belong to an event.
    [[nodiscard]] bool hasPartialEvent() const
    {
        return pending_.find_first_not_of("\r\n") != std::string::npos;
    }
    /// The buffered partial event, which is to be forwarded at the regular end of a stream.
    [[nodiscard]] const std::string &partialEvent() const { return pending_; }

private:
    /// Maximum size of one event.
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    [[nodiscard]] bool acceptEvent(std::string_view event);

    std::string pending_;
    std::string lastId_;
    std::optional<std::uint64_t> lastNumber_;
    bool resumed_ = false;
    bool stopsAtNextResponse_ = false;
    bool reachedNextResponse_ = false;
};

} // namespace jacinthroad
