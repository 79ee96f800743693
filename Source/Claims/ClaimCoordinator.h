#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Claims/ClaimShard.h"
#include "Core/ErrorKind.h"
#include "Core/Ids.h"
#include "Core/Time.h"

namespace jacinthroad {

/// Requests a claim for a call that must not run twice.
struct ClaimRequest
{
    RequestId id;
    /// Name of the shard object.
    std::string shard;
    /// Team and Idempotency-Key, separated by a slash.
    std::string key;
    std::string bodyHash;
    /// Unique identifier of this attempt.
    std::string nonce;
    std::int64_t nowMs = 0;
    /// Time after which the claim is abandoned and the call rejected.
    Instant deadline;
};

/// Outcome of a conditional write of a shard.
enum class ShardWriteOutcome : std::uint8_t {
    Written,
    /// The object has another version.
    Conflict,
    /// No response; the write may have taken effect or may still do so.
    NoResponse,
    /// The write certainly had no effect.
    Rejected,
};

/// The platform's response to ReadShard.
struct ShardReadCompleted
{
    std::string shard;
    /// False if the platform did not respond.
    bool responded = false;
    /// 0 if the object does not exist.
    std::uint64_t version = 0;
    std::string text;
};

/// The platform's response to WriteShard.
struct ShardWriteCompleted
{
    std::string shard;
    ShardWriteOutcome writeOutcome = ShardWriteOutcome::NoResponse;
    /// New version of the object after a successful write.
    std::uint64_t version = 0;
};

/// Outcome of a call that was started by RunCall.
enum class ClaimedCallOutcome : std::uint8_t {
    /// The service sent a response.
    Responded,
    /// The call was certainly never sent.
    NotSent,
    /// The call may have run.
    Uncertain,
};

/// A call that was started by RunCall has finished.
struct CallFinished
{
    RequestId id;
    ClaimedCallOutcome callOutcome = ClaimedCallOutcome::Uncertain;
    StoredResponse storedResponse;
    std::int64_t nowMs = 0;
};

/// Periodic tick with the current wall-clock time.
struct ClaimTick
{
    std::int64_t nowMs = 0;
};

using ClaimMessage
    = std::variant<ClaimRequest, ShardReadCompleted, ShardWriteCompleted, CallFinished, ClaimTick>;

/// Requests a read of a shard object.
struct ReadShard
{
    std::string shard;
};

/// Requests a write of a shard object, provided that it still has the expected version; 0 creates
/// it.
struct WriteShard
{
    std::string shard;
    std::uint64_t expectedVersion = 0;
    std::string text;
};

/// The claim was acquired: run the call exactly once.
struct RunCall
{
    RequestId id;
};

/// Respond with the stored response of the first call with this key.
struct ReplayResponse
{
    RequestId id;
    StoredResponse storedResponse;
};

/// Reject the call, which was never started.
struct RejectCall
{
    RequestId id;
    ErrorKind kind = ErrorKind::Internal;
    /// True if an earlier call with the same key and body may have run.
    bool earlierCallMayHaveRun = false;
};

using ClaimEffect = std::variant<ReadShard, WriteShard, RunCall, ReplayResponse, RejectCall>;

/// Settings of a ClaimCoordinator.
struct ClaimCoordinatorOptions
{
    /// Retention time of finished claims. Keys with a timestamp older than this are rejected.
    Duration retention = std::chrono::hours(24);
    /// A claim not finished within this time is considered abandoned, with an unknown outcome. Must
    /// be longer than the longest call.
    Duration claimTimeout = std::chrono::seconds(60);
    /// After a platform failure, new claims of the shard are rejected and no reads or writes of it
    /// are started for this long.
    Duration platformPause = milliseconds(500);
    /// Maximum size of a response body that is stored for replay, in bytes.
    std::size_t maximumResponseBytes = 8192;
    /// Maximum size of a shard object, in bytes.
    std::size_t maximumShardBytes = 900000;
};

/// Manages claims for calls that must not run twice. Before such a call runs, a conditional write
/// to its shard object acquires the claim. The write acts as a fence, so a paused or duplicated
/// node cannot claim twice. Claims that arrive during a write of their shard are batched into the
/// next write. If the response to a write is lost, the shard is read again, and only the nonce
/// found in the object allows a call to run. Performs no I/O: takes messages and the time, returns
/// effects.
class ClaimCoordinator
{
public:
    explicit ClaimCoordinator(ClaimCoordinatorOptions options);

    /// Processes one message and returns the resulting effects.
    [[nodiscard]] std::vector<ClaimEffect> handle(const ClaimMessage &message, Instant now);

    /// Number of claims and results not yet written to the platform.
    [[nodiscard]] std::size_t unwrittenCount() const;
    /// Number of writes requested so far.
    [[nodiscard]] std::uint64_t writes() const { return writes_; }

private:
    /// A claim waiting to be written.
    struct PendingClaim
    {
        ClaimRequest request;
    };
    /// A change to a claim of this node, waiting to be written.
    struct PendingResult
    {
        std::string key;
        std::string nonce;
        /// Absent to withdraw the claim.
        std::optional<Claim> claim;
    };
    struct Shard
    {
        bool loaded = false;
        bool operationPending = false;
        std::uint64_t version = 0;
        ClaimShard content;
        /// Content of the write in progress.
        ClaimShard written;
        std::vector<PendingClaim> claims;
        std::vector<PendingResult> results;
        /// Number of leading `results` included in the write in progress.
        std::size_t writingResults = 0;
        Instant pausedUntil;
    };
    struct Running
    {
        std::string shard;
        std::string key;
        Claim claim;
    };

    void on(const ClaimRequest &message, Instant now);
    void on(const ShardReadCompleted &message, Instant now);
    void on(const ShardWriteCompleted &message, Instant now);
    void on(const CallFinished &message, Instant now);
    void on(const ClaimTick &message, Instant now);

    /// Starts the next read or write of a shard with pending claims or results.
    void advance(const std::string &name, Shard &shard, Instant now);
    /// Resolves every pending claim that the known content allows to resolve.
    void resolveClaims(const std::string &name, Shard &shard);
    /// Returns true if the claim was resolved and is no longer pending.
    [[nodiscard]] bool resolveClaim(const std::string &name, const Shard &shard,
                                    const ClaimRequest &request);
    void rejectExpired(Shard &shard, Instant now);
    void handlePlatformFailure(Shard &shard, Instant now);
    [[nodiscard]] static Claim claimOf(const ClaimRequest &request);

    ClaimCoordinatorOptions options_;
    std::int64_t nowMs_ = 0;
    std::map<std::string, Shard> shards_;
    std::unordered_map<RequestId, Running> running_;
    std::uint64_t writes_ = 0;
    std::vector<ClaimEffect> effects_;
};

} // namespace jacinthroad
