#include "Core/JsonExtents.h"

#include <cstring>
#include <utility>

namespace jacinthroad {

namespace {

bool isWhitespace(char character)
{
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
}

/// Reads the items between two brackets, separated by commas, with `readItem`.
template <typename ReadItem>
bool readItems(JsonCursor &cursor, char open, char close, ReadItem readItem)
{
    if (!cursor.skip(open)) {
        return false;
    }
    if (!cursor.skip(close)) {
        do {
            if (!readItem()) {
                return false;
            }
        } while (cursor.skip(','));
        if (!cursor.skip(close)) {
            return false;
        }
    }
    return cursor.atEnd();
}

} // namespace

std::optional<std::string_view> JsonCursor::skipString()
{
    const std::size_t begin = position_;
    return at('"') && passString() ? std::optional(endAt(begin)) : std::nullopt;
}

std::optional<std::string_view> JsonCursor::skipValue()
{
    const std::size_t begin = position_;
    std::size_t depth = 0;
    while (!atEnd()) {
        const char character = text_[position_];
        if (character == '"') {
            if (!passString()) {
                return std::nullopt;
            }
            continue;
        }
        const bool closes = character == ']' || character == '}';
        if (depth == 0 && (closes || character == ',')) {
            break;
        }
        if (character == '[' || character == '{') {
            ++depth;
        } else if (closes) {
            --depth;
        }
        ++position_;
    }
    if (depth != 0 || position_ == begin) {
        return std::nullopt;
    }
    return endAt(begin);
}

void JsonCursor::skipWhitespace()
{
    while (!atEnd() && isWhitespace(text_[position_])) {
        ++position_;
    }
}

bool JsonCursor::passString()
{
    const std::size_t begin = ++position_;
    while (!atEnd()) {
        const void *found = std::memchr(text_.data() + position_, '"', text_.size() - position_);
        if (found == nullptr) {
            break;
        }
        const auto end = static_cast<std::size_t>(static_cast<const char *>(found) - text_.data());
        position_ = end + 1;
        // An odd number of backslashes before the quote escapes it.
        std::size_t backslashes = 0;
        while (end - backslashes > begin && text_[end - backslashes - 1] == '\\') {
            ++backslashes;
        }
        if (backslashes % 2 == 0) {
            return true;
        }
    }
    position_ = text_.size();
    return false;
}

std::string_view JsonCursor::endAt(std::size_t begin)
{
    std::size_t end = position_;
    while (end > begin && isWhitespace(text_[end - 1])) {
        --end;
    }
    skipWhitespace();
    return text_.substr(begin, end - begin);
}

std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text)
{
    JsonCursor cursor(text);
    std::vector<JsonMember> members;
    const bool valid = readItems(cursor, '{', '}', [&] {
        const auto name = cursor.skipString();
        if (!name.has_value() || !cursor.skip(':')) {
            return false;
        }
        const auto value = cursor.skipValue();
        if (!value.has_value() || members.size() >= MaximumJsonExtents) {
            return false;
        }
        members.push_back({ .name = name->substr(1, name->size() - 2), .value = *value });
        return true;
    });
    return valid ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text)
{
    JsonCursor cursor(text);
    std::vector<std::string_view> elements;
    const bool valid = readItems(cursor, '[', ']', [&] {
        const auto value = cursor.skipValue();
        if (!value.has_value() || elements.size() >= MaximumJsonExtents) {
            return false;
        }
        elements.push_back(*value);
        return true;
    });
    return valid ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace jacinthroad
