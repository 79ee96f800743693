#pragma once

#include <string>
#include <string_view>

#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// Parses one JSON document. Comments are allowed, as settings files have them; a key that
/// stands twice, trailing text and nesting deeper than 64 levels are errors of kind
/// InvalidRequest whose message carries the line.
[[nodiscard]] Result<Json::Value> parseJson(std::string_view text);

/// Writes a value on one line.
[[nodiscard]] std::string writeJson(const Json::Value &value);

/// Writes a value over several lines for people.
[[nodiscard]] std::string writeJsonIndented(const Json::Value &value);

} // namespace jacinthroad
