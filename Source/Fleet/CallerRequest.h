#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// One part of a prompt. Requests with the same leading parts share their cache entries.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Metadata of a caller's request, decoded from its headers.
struct CallerRequest
{
    RequestId id;
    /// Host name in lower case, without a port.
    std::string host;
    /// Path without the query.
    std::string path;
    /// The path leads to the calls that backend servers keep for the system, in any spelling that a
    /// server may resolve to one of them.
    bool pathReserved = false;
    /// Bearer key; empty if none was sent.
    std::string key;
    /// Maximum time that the caller waits for the response.
    std::optional<Duration> callerTimeout;
    ModelId model;
    std::vector<PromptPart> parts;
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    /// Identifier of the last event received by the caller when it resumes a stream; empty
    /// otherwise.
    std::string resumeAfter;
    /// The attempt that brought the first event of the stream that the caller resumes; empty
    /// otherwise, or if the caller doesn't name it.
    RequestId resumes;
};

} // namespace jacinthroad
