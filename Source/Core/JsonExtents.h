#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace jacinthroad {

/// A member of a JSON object: the text between the quotes of its name, with escapes as they are,
/// and the text of its value.
struct JsonMember
{
    std::string_view name;
    std::string_view value;
};

/// Largest number of members or elements that are found.
constexpr std::size_t MaximumJsonExtents = 64 * 1024;

/// Finds the members of a JSON object, or the elements of an array, without parsing their values.
/// They work on values that no parser accepts, of any depth, as long as strings end and brackets
/// balance. Return nothing if the text is no object or array, has text after its end, or has more
/// than MaximumJsonExtents. The views refer to `text`.
[[nodiscard]] std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text);
[[nodiscard]] std::optional<std::vector<std::string_view>> jsonElements(std::string_view text);

/// Moves over JSON text without parsing values, and can stop after any of them. Nested values are
/// counted, not recursed into.
class JsonCursor
{
public:
    /// Refers to `text`, and begins after leading whitespace.
    explicit JsonCursor(std::string_view text)
        : text_(text)
    {
        skipWhitespace();
    }

    /// Number of bytes that were moved over.
    [[nodiscard]] std::size_t position() const { return position_; }
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
    /// Skips a string with its quotes, or any other value, and the whitespace after it. Returns
    /// nothing if none begins here or if it doesn't end.
    std::optional<std::string_view> skipString();
    std::optional<std::string_view> skipValue();

private:
    void skipWhitespace();
    bool passString();
    std::string_view endAt(std::size_t begin);

    std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace jacinthroad
