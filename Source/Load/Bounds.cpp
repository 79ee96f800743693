#include "Load/Bounds.h"

#include <optional>

#include "Core/Json.h"

namespace jacinthroad {

namespace {

std::optional<double> figureAt(const Json::Value &policy, const std::string &path)
{
    const auto dot = path.find('.');
    if (!policy.isObject()) {
        return std::nullopt;
    }
    const Json::Value &member = policy[path.substr(0, dot)];
    if (dot != std::string::npos) {
        return figureAt(member, path.substr(dot + 1));
    }
    return member.isNumeric() ? std::optional(member.asDouble()) : std::nullopt;
}

/// The denominator of a ratio: the value of the named policy, or the best value of all policies
/// but `default`, which is the smallest for a maximum and the largest for a minimum.
std::optional<double> referenceOf(const Json::Value &policies, const Bound &bound)
{
    if (bound.relativeTo != "best-baseline") {
        return figureAt(policies[bound.relativeTo], bound.figure);
    }
    std::optional<double> best;
    for (const std::string &name : policies.getMemberNames()) {
        const auto value = figureAt(policies[name], bound.figure);
        if (name == "default" || !value.has_value()) {
            continue;
        }
        const bool better
            = !best.has_value() || (bound.hasMaximum ? *value < *best : *value > *best);
        best = better ? value : best;
    }
    return best;
}

std::optional<std::string> checkBound(const Json::Value &report, const Bound &bound)
{
    const std::string name
        = bound.figure + (bound.relativeTo.empty() ? "" : " relative to " + bound.relativeTo);
    auto value = figureAt(report["policies"]["default"], bound.figure);
    if (!value.has_value()) {
        return name + ": the report lacks this figure for policy 'default'";
    }
    if (!bound.relativeTo.empty()) {
        const auto reference = referenceOf(report["policies"], bound);
        if (!reference.has_value()) {
            return name + ": the report lacks this figure for the policy to compare with";
        }
        // With a baseline of zero, a value of zero passes any maximum and any other value fails it.
        value = *reference == 0 ? (*value == 0 ? 0 : 1e9) : *value / *reference;
    }
    if (bound.hasMaximum && *value > bound.maximum) {
        return name + ": " + std::to_string(*value) + " is above its bound "
            + std::to_string(bound.maximum);
    }
    if (bound.hasMinimum && *value < bound.minimum) {
        return name + ": " + std::to_string(*value) + " is below its bound "
            + std::to_string(bound.minimum);
    }
    return std::nullopt;
}

} // namespace

Result<std::vector<Bound>> readBounds(const std::string &text)
{
    const auto document = parseJson(text);
    if (!document.has_value()) {
        return tl::make_unexpected(document.error());
    }
    if (!document->isObject() || !(*document)["bounds"].isArray()) {
        return makeError(ErrorKind::InvalidSettings, "field 'bounds' must be a list",
                         "Write {\"bounds\": [...]}.");
    }
    std::vector<Bound> bounds;
    for (const Json::Value &entry : (*document)["bounds"]) {
        const std::string path = "bounds[" + std::to_string(bounds.size()) + "]";
        const bool hasLimit
            = entry.isObject() && (entry["max"].isNumeric() || entry["min"].isNumeric());
        if (!hasLimit || !entry["figure"].isString()) {
            return makeError(ErrorKind::InvalidSettings,
                             "field '" + path + "' needs 'figure' and 'max' or 'min'",
                             "Write {\"figure\": \"ttft_ms.p99\", \"max\": 1900}.");
        }
        bounds.push_back({ .profile = entry["profile"].asString(),
                           .figure = entry["figure"].asString(),
                           .relativeTo = entry["relative_to"].asString(),
                           .hasMaximum = entry["max"].isNumeric(),
                           .maximum = entry["max"].isNumeric() ? entry["max"].asDouble() : 0,
                           .hasMinimum = entry["min"].isNumeric(),
                           .minimum = entry["min"].isNumeric() ? entry["min"].asDouble() : 0 });
    }
    return bounds;
}

std::vector<std::string> violatedBounds(const Json::Value &report, const std::vector<Bound> &bounds)
{
    std::vector<std::string> lines;
    for (const Bound &bound : bounds) {
        if (!bound.profile.empty() && bound.profile != report["profile"].asString()) {
            continue;
        }
        if (auto line = checkBound(report, bound)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

} // namespace jacinthroad
