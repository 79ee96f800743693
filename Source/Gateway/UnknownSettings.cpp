#include "Gateway/UnknownSettings.h"

#include <algorithm>

#include "Core/Json.h"
#include "Gateway/GatewaySettings.h"

namespace jacinthroad {

std::vector<std::string> unknownFieldPaths(const ObjectSchema &schema, const Json::Value &value,
                                           const std::string &path)
{
    std::vector<std::string> unknown;
    if (!value.isObject()) {
        return unknown;
    }
    for (const std::string &name : value.getMemberNames()) {
        std::string fieldPath = path;
        fieldPath.append(path.empty() ? "" : ".").append(name);
        const auto rule = std::find_if(schema.fields.begin(), schema.fields.end(),
                                       [&](const FieldRule &one) { return one.name == name; });
        if (rule == schema.fields.end()) {
            unknown.push_back(fieldPath);
        } else if (rule->type == FieldType::Object && rule->nested != nullptr) {
            const auto found = unknownFieldPaths(*rule->nested, value[name], fieldPath);
            unknown.insert(unknown.end(), found.begin(), found.end());
        }
    }
    return unknown;
}

std::vector<std::string> unknownGatewaySettings(std::string_view text, std::string_view fileName)
{
    const auto document = parseJson(text);
    if (!document.has_value()) {
        return {};
    }
    const auto unknown = unknownFieldPaths(gatewaySettingsSchema(), *document);
    std::vector<std::string> lines;
    for (const Fault &fault : checkAgainst(gatewaySettingsSchema(), *document)) {
        if (std::find(unknown.begin(), unknown.end(), fault.path) != unknown.end()) {
            lines.push_back(describeFault(fault, fileName, text));
        }
    }
    return lines;
}

} // namespace jacinthroad
