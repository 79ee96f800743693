#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Core/Error.h"

namespace jacinthroad {

/// State of a claimed call, as stored in the platform.
enum class ClaimState : std::uint8_t {
    /// A node holds the claim and may be running the call.
    Claimed,
    /// The call ran and its response is stored.
    Done,
    /// The call may have run; it is never run again.
    Unknown,
};

/// The response of a finished call, replayed for retries with the same key.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was too large to be stored.
    bool complete = true;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/// A claim on one Idempotency-Key.
struct Claim
{
    /// Unique identifier of the attempt that acquired the claim.
    std::string nonce;
    /// Hash of method, path and body; must be the same for a retry.
    std::string bodyHash;
    ClaimState state = ClaimState::Claimed;
    /// Time of the last change, Unix milliseconds.
    std::int64_t changedAtMs = 0;
    StoredResponse storedResponse;

    friend bool operator==(const Claim &, const Claim &) = default;
};

/// Content of one shard object: claims by team and key.
struct ClaimShard
{
    std::map<std::string, Claim> claims;

    /// Removes claims last changed before `horizonMs` (Unix milliseconds). Unfinished ones are
    /// included, as no node can still be running such a call.
    void removeOlderThan(std::int64_t horizonMs);
};

/// Serializes a shard to the JSON text stored in the platform.
[[nodiscard]] std::string serializeShard(const ClaimShard &shard);

/// Parses a shard; returns an error if the text was not written by serializeShard().
[[nodiscard]] Result<ClaimShard> parseShard(const std::string &text);

} // namespace jacinthroad
