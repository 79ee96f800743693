#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// One part of a prompt; requests whose first parts are equal share them in the cache.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// What a caller's request says of itself, decoded from its headers.
struct CallerRequest
{
    RequestId id;
    /// Host name in lower case, without a port.
    std::string host;
    /// Path without the query.
    std::string path;
    /// Bearer key; empty where none was sent.
    std::string key;
    /// How long the caller will wait.
    std::optional<Duration> callerTimeout;
    ModelId model;
    std::vector<PromptPart> parts;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    /// Last event that the caller holds of an earlier answer; empty where it begins.
    std::string resumeAfter;
};

} // namespace jacinthroad
