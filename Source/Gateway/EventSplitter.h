#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthroad {

/// Cuts the bytes of an event stream into whole events, so that an event that breaks off midway
/// never reaches a caller, and keeps the identifier of the last one. Events that a resumed stream
/// sends a second time are left out.
class EventSplitter
{
public:
    /// Takes bytes as they arrive and returns the whole events among all bytes so far that have
    /// not been returned before, unchanged.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// Drops the part of an event that a broken stream left, before another one continues.
    void startResumedStream();
    /// Identifier of the last whole event; empty before the first.
    [[nodiscard]] const std::string &lastId() const { return lastId_; }
    /// True while part of an event is held.
    [[nodiscard]] bool hasPartialEvent() const { return !pending_.empty(); }
    /// The part that is held, at the regular end of a stream.
    [[nodiscard]] const std::string &partialEvent() const { return pending_; }

private:
    [[nodiscard]] bool acceptEvent(std::string_view event);

    std::string pending_;
    std::string lastId_;
    std::optional<std::uint64_t> lastNumber_;
    bool resumed_ = false;
};

} // namespace jacinthroad
