#pragma once

#include <string>
#include <vector>

#include <json/value.h>

namespace jacinthroad {

/// Applies a JSON merge patch (RFC 7396): null removes a member, objects are merged, any other
/// value replaces the member.
[[nodiscard]] Json::Value applyMergePatch(const Json::Value &target, const Json::Value &patch);

/// Returns the merge patch that turns `from` into `to`.
[[nodiscard]] Json::Value makeMergePatch(const Json::Value &from, const Json::Value &to);

/// Returns the names of the configuration objects that a patch changes, such as
/// `teams.parish-north`.
[[nodiscard]] std::vector<std::string> changedObjects(const Json::Value &patch);

} // namespace jacinthroad
