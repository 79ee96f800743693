#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"
#include "PrefixIndex/PrefixKey.h"
#include "Quarantine/Quarantine.h"

namespace jacinthroad {

/// What the decision core needs to know of one request for a model.
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
    /// Latest time at which the whole answer is still of use to the caller, if it said so.
    std::optional<Instant> deadline;
    /// Output tokens that the caller already has from an earlier stream.
    std::uint32_t resumeAfterTokens = 0;
};

} // namespace jacinthroad
