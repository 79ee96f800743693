#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <json/value.h>

#include "Core/Error.h"
#include "Core/Ids.h"

namespace jacinthroad {

/// A validated request body of POST /v1/chat/completions or /v1/completions.
struct ChatRequest
{
    ModelId model;
    bool stream = false;
    std::optional<std::uint32_t> maxTokens;
    /// The prompt as the engine processes it. For chat requests, the role and the content of each
    /// message are on separate lines.
    std::string prompt;
    /// The parsed body as received from the caller.
    Json::Value body;
    /// True for /v1/chat/completions, false for /v1/completions.
    bool chat = true;
};

/// Parses and validates a request body. The error names the invalid field and a remedy.
[[nodiscard]] Result<ChatRequest> readChatRequest(std::string_view body, bool chat);

/// Fields that the router adds to the body sent to an engine.
struct EngineBodyOptions
{
    std::string attemptId;
    std::string cacheSalt;
    /// Lower values are scheduled first.
    std::int64_t priority = 0;
    std::uint32_t resumeAfterTokens = 0;
};

/// Returns the body for an engine: the caller's body with streaming and the usage report always
/// enabled.
[[nodiscard]] std::string engineBody(const ChatRequest &request, const EngineBodyOptions &options);

} // namespace jacinthroad
