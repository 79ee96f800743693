#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Parses a stream of server-sent events (WHATWG HTML, section 9.2). Only the fields that engines
/// use, `id` and `data`, are processed.
class SseParser
{
public:
    /// Called for each event with its `id` and `data` fields, which are valid during the call only.
    using EventHandler = std::function<void(std::string_view id, std::string_view data)>;

    /// Maximum size of the fields of an event and of its unfinished line together, in bytes.
    static constexpr std::size_t MaximumEventBytes = 1024 * 1024;

    /// Parses the next bytes of the stream. Returns false if an event exceeds MaximumEventBytes.
    [[nodiscard]] bool feed(std::string_view bytes, const EventHandler &handler);
    /// Memory in bytes that unfinished events take.
    [[nodiscard]] std::size_t memory() const
    {
        return partialLine_.capacity() + id_.capacity() + data_.capacity();
    }
    /// Drops what was parsed and not handed over.
    void clear();

private:
    void processLine(std::string_view text, const EventHandler &handler);
    [[nodiscard]] bool withinLimit(std::size_t lineBytes) const
    {
        return lineBytes + id_.size() + data_.size() <= MaximumEventBytes;
    }

    std::string partialLine_;
    std::string id_;
    std::string data_;
};

} // namespace jacinthroad
