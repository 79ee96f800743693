#include "Core/Schema.h"

#include <algorithm>
#include <numeric>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

constexpr std::size_t MaximumSuggestionDistance = 3;

std::string_view typeName(FieldType type)
{
    switch (type) {
    case FieldType::String:
        return "string";
    case FieldType::Integer:
        return "integer";
    case FieldType::Number:
        return "number";
    case FieldType::Boolean:
        return "boolean";
    case FieldType::Object:
        return "object";
    case FieldType::ObjectMap:
        return "map of objects";
    case FieldType::Strings:
        return "list of strings";
    }
    return "value";
}

bool hasType(FieldType type, const Json::Value &value)
{
    switch (type) {
    case FieldType::String:
        return value.isString();
    case FieldType::Integer:
        return value.isInt64();
    case FieldType::Number:
        return value.isNumeric();
    case FieldType::Boolean:
        return value.isBool();
    case FieldType::Object:
        return value.isObject();
    case FieldType::ObjectMap:
        return value.isObject()
            && std::all_of(value.begin(), value.end(), [](const auto &v) { return v.isObject(); });
    case FieldType::Strings:
        return value.isArray()
            && std::all_of(value.begin(), value.end(), [](const auto &v) { return v.isString(); });
    }
    return false;
}

bool hasRange(const FieldRule &rule)
{
    return rule.minimum != rule.maximum;
}

std::string formatNumber(double number)
{
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::string rangeText(const FieldRule &rule)
{
    std::string text = formatNumber(rule.minimum) + " to " + formatNumber(rule.maximum);
    if (!rule.unit.empty()) {
        text.append(" ").append(rule.unit);
    }
    return text;
}

std::string choicesText(const FieldRule &rule)
{
    std::string text;
    for (const std::string_view choice : rule.choices) {
        text.append(text.empty() ? "" : ", ").append(choice);
    }
    return text;
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
        }
    }
    return row[right.size()];
}

std::string joinPath(const std::string &path, std::string_view name)
{
    return path.empty() ? std::string(name) : path + "." + std::string(name);
}

const FieldRule *findRule(const ObjectSchema &schema, std::string_view name)
{
    const auto found = std::find_if(schema.fields.begin(), schema.fields.end(),
                                    [&](const FieldRule &rule) { return rule.name == name; });
    return found == schema.fields.end() ? nullptr : &*found;
}

void checkNested(const FieldRule &rule, const Json::Value &value, const std::string &path,
                 std::vector<Fault> &faults)
{
    if (rule.nested == nullptr) {
        return;
    }
    if (rule.type == FieldType::Object) {
        const auto found = checkAgainst(*rule.nested, value, path);
        faults.insert(faults.end(), found.begin(), found.end());
        return;
    }
    for (const std::string &name : value.getMemberNames()) {
        const auto found = checkAgainst(*rule.nested, value[name], joinPath(path, name));
        faults.insert(faults.end(), found.begin(), found.end());
    }
}

void checkField(const FieldRule &rule, const Json::Value &value, const std::string &path,
                std::vector<Fault> &faults)
{
    const auto report = [&](std::string message, std::string remedy) {
        faults.push_back({ .path = path,
                           .offset = value.getOffsetStart(),
                           .message = std::move(message),
                           .remedy = std::move(remedy) });
    };
    if (!hasType(rule.type, value)) {
        report("must be of type " + std::string(typeName(rule.type)) + ".",
               "Use a value of type " + std::string(typeName(rule.type)) + ".");
        return;
    }
    const bool numeric = rule.type == FieldType::Integer || rule.type == FieldType::Number;
    if (numeric && hasRange(rule)
        && (value.asDouble() < rule.minimum || value.asDouble() > rule.maximum)) {
        report("is " + formatNumber(value.asDouble()) + ", outside its range.",
               "Use " + rangeText(rule) + ".");
        return;
    }
    if (rule.type == FieldType::String && !rule.choices.empty()
        && std::find(rule.choices.begin(), rule.choices.end(), value.asString())
            == rule.choices.end()) {
        report("has the unknown value '" + value.asString() + "'.",
               "Use one of: " + choicesText(rule) + ".");
        return;
    }
    if (rule.type == FieldType::String && rule.required && value.asString().empty()) {
        report("is empty.", "Use a non-empty string.");
        return;
    }
    checkNested(rule, value, path, faults);
}

void checkUnknownFields(const ObjectSchema &schema, const Json::Value &value,
                        const std::string &path, std::vector<Fault> &faults)
{
    std::vector<std::string_view> known;
    for (const FieldRule &rule : schema.fields) {
        known.push_back(rule.name);
    }
    for (const std::string &name : value.getMemberNames()) {
        if (findRule(schema, name) != nullptr) {
            continue;
        }
        const std::string_view suggestion = nearestName(name, known);
        faults.push_back({ .path = joinPath(path, name),
                           .offset = value[name].getOffsetStart(),
                           .message = "is not a known field.",
                           .remedy = suggestion.empty()
                               ? "Remove it."
                               : "Did you mean '" + std::string(suggestion) + "'?" });
    }
}

} // namespace

std::string_view nearestName(std::string_view name, std::span<const std::string_view> known)
{
    std::string_view best;
    std::size_t bestDistance = MaximumSuggestionDistance + 1;
    for (const std::string_view candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

std::vector<Fault> checkAgainst(const ObjectSchema &schema, const Json::Value &value,
                                const std::string &path)
{
    std::vector<Fault> faults;
    if (!value.isObject()) {
        faults.push_back({ .path = path,
                           .offset = value.getOffsetStart(),
                           .message = "must be an object.",
                           .remedy = "Write { ... }." });
        return faults;
    }
    checkUnknownFields(schema, value, path, faults);
    for (const FieldRule &rule : schema.fields) {
        const std::string name(rule.name);
        const std::string fieldPath = joinPath(path, rule.name);
        if (value.isMember(name)) {
            checkField(rule, value[name], fieldPath, faults);
        } else if (rule.required) {
            faults.push_back({ .path = fieldPath,
                               .offset = value.getOffsetStart(),
                               .message = "is missing.",
                               .remedy = "Add it: " + std::string(rule.help) });
        }
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const Fault &a, const Fault &b) { return a.offset < b.offset; });
    return faults;
}

std::string describeFault(const Fault &fault, std::string_view fileName, std::string_view text)
{
    const auto end = std::min<std::ptrdiff_t>(fault.offset, std::ssize(text));
    const auto line = 1 + std::count(text.begin(), text.begin() + end, '\n');
    return std::string(fileName) + ":" + std::to_string(line) + ": field '" + fault.path
        + "': " + fault.message + " " + fault.remedy;
}

std::string joinLines(std::span<const std::string> lines)
{
    std::string joined;
    for (const std::string &line : lines) {
        joined.append(joined.empty() ? "" : "\n").append(line);
    }
    return joined;
}

std::string describeSchema(const ObjectSchema &schema)
{
    std::string table = "## " + std::string(schema.title)
        + "\n\n| field | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n";
    std::string nestedTables;
    for (const FieldRule &rule : schema.fields) {
        std::string range = hasRange(rule) ? rangeText(rule) : choicesText(rule);
        std::string defaultValue = rule.required ? "required" : std::string(rule.defaultText);
        table.append("| `").append(rule.name).append("` | ").append(typeName(rule.type));
        table.append(" | ").append(defaultValue).append(" | ").append(range);
        table.append(" | ").append(rule.help).append(" |\n");
        if (rule.nested != nullptr) {
            nestedTables += "\n" + describeSchema(*rule.nested);
        }
    }
    return table + nestedTables;
}

FieldReader::FieldReader(const ObjectSchema &schema, const Json::Value &value)
    : schema_(schema)
    , value_(value)
{ }

const Json::Value &FieldReader::member(std::string_view name) const
{
    static const Json::Value Null;
    const Json::Value *found
        = value_.isObject() ? value_.find(name.data(), name.data() + name.size()) : nullptr;
    return found == nullptr ? Null : *found;
}

Json::Value FieldReader::valueOf(std::string_view name) const
{
    const Json::Value &explicitValue = member(name);
    if (!explicitValue.isNull()) {
        return explicitValue;
    }
    const FieldRule *rule = findRule(schema_, name);
    if (rule == nullptr || rule->defaultText.empty()) {
        return {};
    }
    return parseJson(rule->defaultText).value_or(Json::Value());
}

std::string FieldReader::text(std::string_view name) const
{
    return valueOf(name).asString();
}

std::int64_t FieldReader::integer(std::string_view name) const
{
    return valueOf(name).asInt64();
}

double FieldReader::number(std::string_view name) const
{
    return valueOf(name).asDouble();
}

bool FieldReader::boolean(std::string_view name) const
{
    return valueOf(name).asBool();
}

std::vector<std::string> FieldReader::texts(std::string_view name) const
{
    std::vector<std::string> result;
    for (const Json::Value &element : valueOf(name)) {
        result.push_back(element.asString());
    }
    return result;
}

} // namespace jacinthroad
