#pragma once

#include <string>
#include <vector>

#include <json/value.h>

namespace jacinthroad {

/// Applies a JSON merge patch (RFC 7396): null removes a member, objects merge, all else
/// replaces.
[[nodiscard]] Json::Value applyMergePatch(const Json::Value &target, const Json::Value &patch);

/// The merge patch that turns one document into another.
[[nodiscard]] Json::Value makeMergePatch(const Json::Value &from, const Json::Value &to);

/// Names of the operators' objects that a patch touches, such as `teams.parish-north`.
[[nodiscard]] std::vector<std::string> changedObjects(const Json::Value &patch);

} // namespace jacinthroad
