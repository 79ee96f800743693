#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <json/value.h>

#include "Core/Error.h"

namespace jacinthroad {

/// Largest memory in bytes of the values of a text that is parsed. A list of three bytes of text
/// takes 160.
constexpr std::size_t MaximumJsonMemory = 16 * 1024 * 1024;

/// Returns about the memory in bytes that the values of a JSON text take when it is parsed, without
/// the characters of strings. Fails with PayloadTooLarge if these are more than `maximumBytes`, and
/// with InvalidRequest for nesting deeper than 64 levels or words longer than 1 KB. Text that isn't
/// JSON may pass.
[[nodiscard]] Result<std::size_t> estimateJsonMemory(std::string_view text,
                                                     std::size_t maximumBytes = MaximumJsonMemory);

/// Parses a JSON document. Comments are allowed, for settings files. Duplicate keys and trailing
/// text fail with InvalidRequest, and what estimateJsonMemory() refuses as there; the message
/// contains the line or the limit.
[[nodiscard]] Result<Json::Value> parseJson(std::string_view text);

/// Parses one of several texts whose values may take `memoryLeft` bytes together, and subtracts its
/// own; 0 are left if they take more.
[[nodiscard]] Result<Json::Value> parseJson(std::string_view text, std::size_t &memoryLeft);

/// Returns about the memory in bytes that a parsed value takes, with the characters of strings.
[[nodiscard]] std::size_t jsonMemory(const Json::Value &value);

/// True for valid UTF-8, which parseJson() doesn't check.
[[nodiscard]] bool isUtf8(std::string_view text);

/// Serializes a value on a single line.
[[nodiscard]] std::string writeJson(const Json::Value &value);

/// Serializes a value with indentation, for human readers.
[[nodiscard]] std::string writeJsonIndented(const Json::Value &value);

} // namespace jacinthroad
