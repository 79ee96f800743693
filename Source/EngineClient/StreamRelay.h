#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "EngineClient/SseParser.h"

namespace jacinthroad {

/// What is known of a relayed stream so far.
enum class RelayState : std::uint8_t {
    Open,
    /// The end marker came after the usage.
    Complete,
    /// An event was another request's, or tokens were missing.
    Crossed,
    /// The engine sent something that is not its protocol.
    Malformed,
};

/// Settings of a StreamRelay.
struct StreamRelayOptions
{
    /// The id that this attempt's events must carry.
    std::string attemptId;
    /// The id that the caller sees instead.
    std::string publicId;
    /// Number of the last token that the caller has.
    std::uint32_t afterTokens = 0;
};

/// Checks one attempt's stream and rewrites it for the caller. Each event's id must be the
/// attempt's with the next sequence number; an event of another request is never passed on. The
/// caller's event ids carry the request and token number, which is all that a resume needs.
class StreamRelay
{
public:
    explicit StreamRelay(StreamRelayOptions options);

    /// Takes bytes from the engine and appends to `output` what the caller may have.
    RelayState feed(std::string_view bytes, std::string &output);

    [[nodiscard]] RelayState state() const { return state_; }
    /// Number of the last token passed on.
    [[nodiscard]] std::uint32_t lastToken() const { return lastToken_; }
    /// The engine's count of prompt tokens, once it came.
    [[nodiscard]] std::optional<std::uint64_t> promptTokens() const { return promptTokens_; }
    /// The engine's count of prompt tokens found in its cache, once it came.
    [[nodiscard]] std::optional<std::uint64_t> cachedTokens() const { return cachedTokens_; }

private:
    void event(std::string_view id, std::string_view data, std::string &output);
    [[nodiscard]] bool checkId(std::string_view id);
    void readUsage(std::string_view data);
    void pass(std::string_view data, std::string &output) const;

    StreamRelayOptions options_;
    std::string quotedAttempt_;
    SseParser parser_;
    RelayState state_ = RelayState::Open;
    std::uint32_t lastToken_ = 0;
    std::optional<std::uint64_t> promptTokens_;
    std::optional<std::uint64_t> cachedTokens_;
};

} // namespace jacinthroad
