#pragma once

#include <string>
#include <string_view>

#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// Parses a JSON document. Comments are allowed, for settings files. Duplicate keys, trailing text
/// and nesting deeper than 64 levels fail with InvalidRequest; the message contains the line.
[[nodiscard]] Result<Json::Value> parseJson(std::string_view text);

/// True for valid UTF-8, which parseJson() doesn't check.
[[nodiscard]] bool isUtf8(std::string_view text);

/// Serializes a value on a single line.
[[nodiscard]] std::string writeJson(const Json::Value &value);

/// Serializes a value with indentation, for human readers.
[[nodiscard]] std::string writeJsonIndented(const Json::Value &value);

} // namespace jacinthroad
