#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "EngineClient/SseParser.h"

namespace jacinthroad {

/// State of a relayed stream.
enum class RelayState : std::uint8_t {
    Open,
    /// The usage and the end marker were received.
    Complete,
    /// An event belonged to another request, or a token was missing.
    Crossed,
    /// The engine violated the protocol.
    Malformed,
};

/// Settings of a StreamRelay.
struct StreamRelayOptions
{
    /// The id that this attempt's events must carry.
    std::string attemptId;
    /// The id that replaces it in the caller's events.
    std::string publicId;
    /// Number of the last token already delivered to the caller.
    std::uint32_t afterTokens = 0;
};

/// Validates the event stream of one attempt and rewrites it for the caller. Each event id must
/// consist of the attempt's id and the next sequence number; an event of another request is never
/// forwarded. The caller's event ids contain the request id and the token number, which suffice to
/// resume the stream.
class StreamRelay
{
public:
    explicit StreamRelay(StreamRelayOptions options);

    /// Processes bytes from the engine and appends the valid, rewritten events to `output`.
    RelayState feed(std::string_view bytes, std::string &output);

    [[nodiscard]] RelayState state() const { return state_; }
    /// Memory in bytes that an unfinished event takes.
    [[nodiscard]] std::size_t memory() const { return parser_.memory(); }
    /// Drops an unfinished event.
    void clear() { parser_.clear(); }
    /// Number of the last token forwarded.
    [[nodiscard]] std::uint32_t lastToken() const { return lastToken_; }
    /// Number of prompt tokens, once the engine has reported it.
    [[nodiscard]] std::optional<std::uint64_t> promptTokens() const { return promptTokens_; }
    /// Number of prompt tokens found in the engine's cache, once the engine has reported it.
    [[nodiscard]] std::optional<std::uint64_t> cachedTokens() const { return cachedTokens_; }

private:
    void processEvent(std::string_view id, std::string_view data, std::string &output);
    [[nodiscard]] bool checkId(std::string_view id);
    void readUsage(std::string_view data);
    void forward(std::string_view data, std::string &output) const;

    StreamRelayOptions options_;
    std::string quotedAttemptId_;
    SseParser parser_;
    RelayState state_ = RelayState::Open;
    std::uint32_t lastToken_ = 0;
    std::optional<std::uint64_t> promptTokens_;
    std::optional<std::uint64_t> cachedTokens_;
};

} // namespace jacinthroad
