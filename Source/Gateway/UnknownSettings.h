#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "Core/Schema.h"

namespace jacinthroad {

/// Returns the paths of the fields that a schema doesn't have, as a newer build may have.
[[nodiscard]] std::vector<std::string> unknownFieldPaths(const ObjectSchema &schema,
                                                         const Json::Value &value,
                                                         const std::string &path = {});

/// Returns the lines of checkGatewaySettings() that name unknown fields. A node ignores these
/// fields, since a settings file may have been written for a newer build.
[[nodiscard]] std::vector<std::string> unknownGatewaySettings(std::string_view text,
                                                              std::string_view fileName);

} // namespace jacinthroad
