#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Cuts a stream of server-sent events (WHATWG HTML, section 9.2) into events. Only the fields
/// that engines use are kept.
class SseParser
{
public:
    /// Called for each event with its `id` and `data` fields, valid during the call.
    using EventHandler = std::function<void(std::string_view id, std::string_view data)>;

    /// Longest event that is taken, in bytes.
    static constexpr std::size_t MaximumEventBytes = 1024 * 1024;

    /// Takes more bytes; false when an event is longer than the limit.
    [[nodiscard]] bool feed(std::string_view bytes, const EventHandler &handler);

private:
    void line(std::string_view text, const EventHandler &handler);

    std::string rest_;
    std::string id_;
    std::string data_;
};

} // namespace jacinthroad
