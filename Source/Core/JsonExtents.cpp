#include "Core/JsonExtents.h"

#include <cstddef>
#include <utility>

namespace jacinthroad {

namespace {

constexpr std::string_view Whitespace = " \t\r\n";

/// Moves over JSON text. Nested values are counted, not recursed into.
class JsonCursor
{
public:
    explicit JsonCursor(std::string_view text)
        : text_(text)
    {
        skipWhitespace();
    }

    [[nodiscard]] bool atEnd() const { return position_ >= text_.size(); }
    [[nodiscard]] bool at(char character) const
    {
        return !atEnd() && text_[position_] == character;
    }

    /// Skips a character and the whitespace after it; returns false if another one follows.
    bool skip(char character)
    {
        if (!at(character)) {
            return false;
        }
        ++position_;
        skipWhitespace();
        return true;
    }

    /// Skips a string with its quotes, or any other value, and the whitespace after it.
    std::optional<std::string_view> skipString()
    {
        const std::size_t begin = position_;
        return at('"') && passString() ? std::optional(endAt(begin)) : std::nullopt;
    }

    std::optional<std::string_view> skipValue()
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

private:
    void skipWhitespace()
    {
        position_ = text_.find_first_not_of(Whitespace, position_);
        if (position_ == std::string_view::npos) {
            position_ = text_.size();
        }
    }

    bool passString()
    {
        for (++position_; !atEnd(); ++position_) {
            if (text_[position_] == '\\') {
                ++position_;
            } else if (text_[position_] == '"') {
                ++position_;
                return true;
            }
        }
        return false;
    }

    std::string_view endAt(std::size_t begin)
    {
        std::string_view value = text_.substr(begin, position_ - begin);
        value = value.substr(0, value.find_last_not_of(Whitespace) + 1);
        skipWhitespace();
        return value;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

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
        if (value.has_value()) {
            members.push_back({ .name = name->substr(1, name->size() - 2), .value = *value });
        }
        return value.has_value();
    });
    return valid ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text)
{
    JsonCursor cursor(text);
    std::vector<std::string_view> elements;
    const bool valid = readItems(cursor, '[', ']', [&] {
        const auto value = cursor.skipValue();
        if (value.has_value()) {
            elements.push_back(*value);
        }
        return value.has_value();
    });
    return valid ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace jacinthroad
