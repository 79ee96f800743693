#pragma once

#include <optional>

#include <json/value.h>

#include "Quarantine/CrashRecordKeeper.h"

namespace jacinthroad {

/// Encodes the crash records as the spec of their object in the platform's store. Fields that newer
/// builds have written to `stored`, the spec that it replaces, are kept.
[[nodiscard]] Json::Value crashRecordsSpec(const KeptCrashRecords &content,
                                           const Json::Value &stored = {});

/// Decodes the crash records from the spec of their object; nothing if the spec is malformed.
/// Malformed records and unknown fields are skipped.
[[nodiscard]] std::optional<KeptCrashRecords> readCrashRecords(const Json::Value &spec);

} // namespace jacinthroad
