#pragma once

#include <optional>

#include <json/value.h>

#include "Quarantine/CrashRecordKeeper.h"

namespace jacinthroad {

/// Encodes the crash records as the spec of their object in the platform's store.
[[nodiscard]] Json::Value crashRecordsSpec(const KeptCrashRecords &content);

/// Decodes the crash records from the spec of their object; nothing if the spec is malformed.
/// Malformed records and unknown fields are skipped.
[[nodiscard]] std::optional<KeptCrashRecords> readCrashRecords(const Json::Value &spec);

} // namespace jacinthroad
