#pragma once

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

/// Finds the members of a JSON object, or the elements of an array, without parsing their values.
/// They work on values that no parser accepts, of any depth, as long as strings end and brackets
/// balance. Return nothing if the text is no object or array, or has text after its end. The views
/// refer to `text`.
[[nodiscard]] std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text);
[[nodiscard]] std::optional<std::vector<std::string_view>> jsonElements(std::string_view text);

} // namespace jacinthroad
