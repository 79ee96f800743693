#pragma once

#include <optional>
#include <span>
#include <vector>

#include <json/value.h>

#include "StreamVersions/OriginLog.h"
#include "StreamVersions/ServedVersions.h"

namespace jacinthroad {

/// Encodes the version table as the spec of its object in the platform's store. Fields that newer
/// builds have written to `stored`, the spec that it replaces, are kept.
[[nodiscard]] Json::Value versionTableSpec(const KeptVersions &content,
                                           const Json::Value &stored = {});

/// Decodes the version table; nothing if the spec is malformed. Malformed rows and unknown fields
/// are skipped.
[[nodiscard]] std::optional<KeptVersions> readVersionTable(const Json::Value &spec);

/// Encodes a node's stream records as the spec of their object in the platform's store.
[[nodiscard]] Json::Value streamOriginsSpec(std::span<const OriginBatch> batches);

/// Decodes stream records. Malformed batches and unknown fields are skipped.
[[nodiscard]] std::vector<OriginBatch> readStreamOrigins(const Json::Value &spec);

} // namespace jacinthroad
