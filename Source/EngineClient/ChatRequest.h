#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <json/value.h>

#include "Core/Error.h"
#include "Core/Ids.h"

namespace jacinthroad {

/// A checked request body of POST /v1/chat/completions or /v1/completions.
struct ChatRequest
{
    ModelId model;
    bool stream = false;
    std::optional<std::uint32_t> maxTokens;
    /// The prompt as engines see it: every message's role and content on lines of their own.
    std::string prompt;
    /// The body as the caller sent it.
    Json::Value body;
    /// True for /v1/chat/completions.
    bool chat = true;
};

/// Reads and checks a body; the error names the field and the remedy.
[[nodiscard]] Result<ChatRequest> readChatRequest(std::string_view body, bool chat);

/// What the router adds to the body that it sends to an engine.
struct EngineBodyOptions
{
    std::string attemptId;
    std::string cacheSalt;
    /// Lower goes first.
    std::int64_t priority = 0;
    std::uint32_t resumeAfterTokens = 0;
};

/// The body for an engine: the caller's, always streamed and with the usage asked for.
[[nodiscard]] std::string engineBody(const ChatRequest &request, const EngineBodyOptions &options);

} // namespace jacinthroad
