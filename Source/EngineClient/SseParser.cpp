#include "EngineClient/SseParser.h"

#include <utility>

namespace jacinthroad {

namespace {

/// Largest memory that is kept for the next event.
constexpr std::size_t KeptBytes = 4096;

std::string_view fieldValue(std::string_view line, std::size_t colon)
{
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

bool SseParser::feed(std::string_view bytes, const EventHandler &handler)
{
    while (true) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            partialLine_.append(bytes);
            return withinLimit(partialLine_.size());
        }
        if (partialLine_.empty()) {
            processLine(bytes.substr(0, end), handler);
        } else {
            partialLine_.append(bytes.substr(0, end));
            const std::string completeLine = std::exchange(partialLine_, {});
            processLine(completeLine, handler);
        }
        bytes.remove_prefix(end + 1);
        if (!withinLimit(0)) {
            return false;
        }
    }
}

void SseParser::processLine(std::string_view text, const EventHandler &handler)
{
    if (text.ends_with('\r')) {
        text.remove_suffix(1);
    }
    if (text.empty()) {
        if (!data_.empty()) {
            handler(id_, data_);
            data_.clear();
            // A long event doesn't keep its memory for the rest of the stream.
            if (data_.capacity() > KeptBytes) {
                data_ = {};
            }
        }
        return;
    }
    const auto colon = text.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return;
    }
    const std::string_view name = text.substr(0, colon);
    if (name == "data") {
        if (!data_.empty()) {
            data_.push_back('\n');
        }
        data_.append(fieldValue(text, colon));
    } else if (name == "id") {
        id_ = fieldValue(text, colon);
    }
}

void SseParser::clear()
{
    partialLine_ = {};
    id_ = {};
    data_ = {};
}

} // namespace jacinthroad
