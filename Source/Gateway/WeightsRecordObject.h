#pragma once

#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "Fleet/WeightsRecord.h"

namespace jacinthroad {

/// Encodes ages of desired weights as a list in the spec of an object.
[[nodiscard]] Json::Value desiredAgesList(const std::vector<DesiredWeightsAge> &ages);

/// Decodes such a list. Skips malformed entries.
[[nodiscard]] std::vector<DesiredWeightsAge> readDesiredAges(const Json::Value &list);

/// Encodes a record as the spec of the object that has the node's name.
[[nodiscard]] Json::Value weightsRecordSpec(const WeightsRecord &record);

/// Decodes the record of a node; nothing if the spec is malformed.
[[nodiscard]] std::optional<WeightsRecord> readWeightsRecord(const std::string &node,
                                                             const Json::Value &spec);

} // namespace jacinthroad
