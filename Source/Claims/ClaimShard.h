#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Core/Error.h"

namespace jacinthroad {

/// How far a claimed call has come, as the platform keeps it.
enum class ClaimState : std::uint8_t {
    /// Somebody holds the right to run it and may be running it.
    Claimed,
    /// It ran and the answer is kept.
    Done,
    /// It may have run; nobody will run it again.
    Unknown,
};

/// The answer of a finished call, replayed to repeats with the same key.
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// False when the body was too long to be kept.
    bool complete = true;

    friend bool operator==(const StoredResponse &, const StoredResponse &) = default;
};

/// One claim.
struct Claim
{
    /// Unique text of the attempt that made the claim.
    std::string nonce;
    /// Hash of method, path and body; a repeat must have the same.
    std::string bodyHash;
    ClaimState state = ClaimState::Claimed;
    /// Wall-clock milliseconds of the last change.
    std::int64_t changedAtMs = 0;
    StoredResponse storedResponse;

    friend bool operator==(const Claim &, const Claim &) = default;
};

/// The content of one shard object: claims by team and key.
struct ClaimShard
{
    std::map<std::string, Claim> claims;

    /// Removes finished claims last changed before `horizonMs`, and claims still open from
    /// before it, which nobody can be running any more.
    void removeOlderThan(std::int64_t horizonMs);
};

/// Writes a shard as the platform keeps it.
[[nodiscard]] std::string serializeShard(const ClaimShard &shard);

/// Reads a shard; an error when the text was not written by writeShard().
[[nodiscard]] Result<ClaimShard> parseShard(const std::string &text);

} // namespace jacinthroad
