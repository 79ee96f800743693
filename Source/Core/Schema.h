#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

namespace jacinthroad {

struct ObjectSchema;

/// JSON type of a field. An ObjectMap is an object whose members are objects.
enum class FieldType : std::uint8_t {
    String,
    Integer,
    Number,
    Boolean,
    Object,
    ObjectMap,
    Strings
};

/// Describes a field of a settings or configuration schema: how it is validated, its default and
/// its entry in the reference documentation.
struct FieldRule
{
    std::string_view name;
    FieldType type;
    bool required = false;
    /// Default value as JSON; empty for none.
    std::string_view defaultText = {};
    /// Range of a number; equal limits mean no limit.
    double minimum = 0;
    double maximum = 0;
    std::string_view unit = {};
    /// Allowed values of a String; empty allows every value.
    std::span<const std::string_view> choices = {};
    /// Schema of an Object, or of each member of an ObjectMap.
    const ObjectSchema *nested = nullptr;
    std::string_view help = {};
};

/// A schema of an object: its title and fields.
struct ObjectSchema
{
    std::string_view title;
    std::span<const FieldRule> fields;
};

/// A validation error in a document.
struct Fault
{
    /// Path such as `teams.parish-north.weight`.
    std::string path;
    /// Byte offset of the value in the parsed text.
    std::ptrdiff_t offset = 0;
    std::string message;
    std::string remedy;
};

/// Validates a value against its schema and returns all faults in document order.
[[nodiscard]] std::vector<Fault> checkAgainst(const ObjectSchema &schema, const Json::Value &value,
                                              const std::string &path = {});

/// Formats a fault as `FILE:LINE: field 'PATH': MESSAGE REMEDY`. `text` is the parsed text.
[[nodiscard]] std::string describeFault(const Fault &fault, std::string_view fileName,
                                        std::string_view text);

/// Joins lines with newlines.
[[nodiscard]] std::string joinLines(std::span<const std::string> lines);

/// Formats the schema as Markdown tables, nested schemas after their parent.
[[nodiscard]] std::string describeSchema(const ObjectSchema &schema);

/// Returns the known name with the smallest edit distance, or an empty string if none is close.
[[nodiscard]] std::string_view nearestName(std::string_view name,
                                           std::span<const std::string_view> known);

/// Reads the fields of an object in which checkAgainst() found no fault. An absent field has the
/// default of its schema.
class FieldReader
{
public:
    FieldReader(const ObjectSchema &schema, const Json::Value &value);

    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] double number(std::string_view name) const;
    [[nodiscard]] bool boolean(std::string_view name) const;
    [[nodiscard]] std::vector<std::string> texts(std::string_view name) const;
    /// Returns the JSON member, or null if it is absent.
    [[nodiscard]] const Json::Value &member(std::string_view name) const;

private:
    [[nodiscard]] Json::Value valueOf(std::string_view name) const;

    const ObjectSchema &schema_;
    const Json::Value &value_;
};

} // namespace jacinthroad
