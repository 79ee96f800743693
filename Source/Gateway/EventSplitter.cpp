#include "Gateway/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace jacinthroad {

namespace {

constexpr std::string_view IdField = "id:";
/// Memory that is kept for the next event.
constexpr std::size_t UsualEventBytes = 4 * 1024;
/// Begin of a response; no field of an event begins like that.
constexpr std::string_view ResponseBegin = "HTTP/1.";

/// Position after the blank line that ends the first event, or npos.
std::size_t endOfEvent(std::string_view bytes, std::size_t from)
{
    constexpr std::string_view BlankLine = "\r\n\r\n";
    // One pass over the lines, since most events of a long piece are far from its end.
    for (auto at = bytes.find('\n', from); at != std::string_view::npos;
         at = bytes.find('\n', at + 1)) {
        if (at + 1 >= from + BlankLine.size() && bytes.substr(0, at + 1).ends_with(BlankLine)) {
            return at + 1;
        }
        if (bytes.substr(at + 1).starts_with('\n')) {
            return at + 2;
        }
    }
    return std::string_view::npos;
}

std::string_view eventId(std::string_view event)
{
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.starts_with(IdField)) {
            line.remove_prefix(IdField.size());
            while (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            while (line.ends_with('\r')) {
                line.remove_suffix(1);
            }
            return line;
        }
    }
    return {};
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    constexpr std::size_t LongestTerminator = 4;
    std::size_t searchFrom
        = pending_.size() < LongestTerminator ? 0 : pending_.size() - LongestTerminator;
    pending_.append(bytes);
    std::string completeEvents;
    std::size_t begin = 0;
    for (;;) {
        if (stopsAtNextResponse_
            && std::string_view(pending_).substr(begin).starts_with(ResponseBegin)) {
            reachedNextResponse_ = true;
            pending_.clear();
            return completeEvents;
        }
        const std::size_t end = endOfEvent(pending_, std::max(begin, searchFrom));
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(pending_).substr(begin, end - begin);
        if (acceptEvent(event)) {
            completeEvents.append(event);
        }
        begin = end;
        searchFrom = end;
    }
    pending_.erase(0, begin);
    if (begin > 0 && pending_.capacity() > std::max(UsualEventBytes, 2 * pending_.size())) {
        pending_.shrink_to_fit();
    }
    return completeEvents;
}

bool EventSplitter::acceptEvent(std::string_view event)
{
    const std::string_view id = eventId(event);
    if (id.empty()) {
        return true;
    }
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), number);
    const bool numeric = parsed.ec == std::errc() && parsed.ptr == id.data() + id.size();
    if (resumed_ && numeric && lastNumber_.has_value() && number <= *lastNumber_) {
        return false;
    }
    lastId_ = std::string(id);
    if (numeric) {
        lastNumber_ = number;
    }
    return true;
}

void EventSplitter::startResumedStream()
{
    dropPartialEvent();
    resumed_ = true;
    stopsAtNextResponse_ = false;
    reachedNextResponse_ = false;
}

} // namespace jacinthroad
