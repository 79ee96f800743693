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

/// The JSON type a field takes. An ObjectMap is an object whose members are objects by name.
enum class FieldType : std::uint8_t {
    String,
    Integer,
    Number,
    Boolean,
    Object,
    ObjectMap,
    Strings
};

/// One row of a settings or configuration table: it checks the field, supplies its default and
/// is printed in the reference page.
struct FieldRule
{
    std::string_view name;
    FieldType type;
    bool required = false;
    /// Default as JSON text; empty for none.
    std::string_view defaultText = {};
    double minimum = 0;
    double maximum = 0;
    std::string_view unit = {};
    /// Allowed texts of a String; empty allows every text.
    std::span<const std::string_view> choices = {};
    /// The table of an Object, or of each value of an ObjectMap.
    const ObjectSchema *nested = nullptr;
    std::string_view help = {};
};

/// A table of fields.
struct ObjectSchema
{
    std::string_view title;
    std::span<const FieldRule> fields;
};

/// One fault found in a document.
struct Fault
{
    /// Path such as `teams.parish-north.weight`.
    std::string path;
    /// Byte offset of the value in the text it was parsed from.
    std::ptrdiff_t offset = 0;
    std::string message;
    std::string remedy;
};

/// Checks a value against its table and returns every fault at once, in document order.
[[nodiscard]] std::vector<Fault> checkAgainst(const ObjectSchema &schema, const Json::Value &value,
                                              const std::string &path = {});

/// Writes a fault as `FILE:LINE: field 'PATH': MESSAGE REMEDY`.
[[nodiscard]] std::string describeFault(const Fault &fault, std::string_view fileName,
                                        std::string_view text);

/// Joins the lines of several faults into one text.
[[nodiscard]] std::string joinLines(std::span<const std::string> lines);

/// Writes the table as a Markdown reference, nested tables after their parent.
[[nodiscard]] std::string describeSchema(const ObjectSchema &schema);

/// The known name with the smallest edit distance, or empty when none is near.
[[nodiscard]] std::string_view nearestName(std::string_view name,
                                           std::span<const std::string_view> known);

/// Reads fields of an object that checkAgainst() found without fault; a field that is absent
/// takes the default of its table.
class FieldReader
{
public:
    FieldReader(const ObjectSchema &schema, const Json::Value &value);

    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] double number(std::string_view name) const;
    [[nodiscard]] bool boolean(std::string_view name) const;
    [[nodiscard]] std::vector<std::string> texts(std::string_view name) const;
    /// The raw member; null when absent.
    [[nodiscard]] const Json::Value &member(std::string_view name) const;

private:
    [[nodiscard]] Json::Value valueOf(std::string_view name) const;

    const ObjectSchema &schema_;
    const Json::Value &value_;
};

} // namespace jacinthroad
