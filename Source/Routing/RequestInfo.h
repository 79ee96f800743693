#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "PrefixIndex/PrefixKey.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// Attributes of one model request that the dispatcher uses.
struct RequestInfo
{
    RequestId id;
    TeamId team;
    ModelId model;
    std::vector<BlockKey> blocks;
    std::uint32_t promptTokens = 0;
    /// The caller's max_tokens.
    std::optional<std::uint32_t> maxOutputTokens;
    RequestFingerprint fingerprint = 0;
    Instant arrived;
    /// Latest time at which the complete response is useful to the caller, if given.
    std::optional<Instant> deadline;
    /// Output tokens that the caller already received in an earlier stream.
    std::uint32_t resumeAfterTokens = 0;
};

} // namespace jacinthroad
