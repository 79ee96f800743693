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

/// A call that may not be repeated arrived.
struct ClaimRequest
{
    RequestId id;
    /// Name of the shard object.
    std::string shard;
    /// Team and Idempotency-Key.
    std::string key;
    std::string bodyHash;
    /// Unique text of this attempt.
    std::string nonce;
    std::int64_t nowMs = 0;
    /// After this the claim is given up and the call refused.
    Instant deadline;
};

/// How a conditional write of a shard ended.
enum class ShardWriteOutcome : std::uint8_t {
    Written,
    /// The object has another version.
    Conflict,
    /// No answer; the write may have taken effect, now or later.
    NoResponse,
    /// Provably not written.
    Rejected,
};

/// The platform's answer to ReadShard.
struct ShardReadCompleted
{
    std::string shard;
    /// False when the platform gave no answer.
    bool responded = false;
    /// 0 when there is no such object.
    std::uint64_t version = 0;
    std::string text;
};

/// The platform's answer to WriteShard.
struct ShardWriteCompleted
{
    std::string shard;
    ShardWriteOutcome writeOutcome = ShardWriteOutcome::NoResponse;
    /// Version that the object has now, when written.
    std::uint64_t version = 0;
};

/// What became of a call that was let run.
enum class ClaimedCallOutcome : std::uint8_t {
    /// The service answered.
    Responded,
    /// The call provably never left.
    NotSent,
    /// It may have run.
    Uncertain,
};

/// A call that RunCall let run has ended.
struct CallFinished
{
    RequestId id;
    ClaimedCallOutcome callOutcome = ClaimedCallOutcome::Uncertain;
    StoredResponse storedResponse;
    std::int64_t nowMs = 0;
};

/// Time passed.
struct ClaimTick
{
    std::int64_t nowMs = 0;
};

using ClaimMessage
    = std::variant<ClaimRequest, ShardReadCompleted, ShardWriteCompleted, CallFinished, ClaimTick>;

/// Read a shard object.
struct ReadShard
{
    std::string shard;
};

/// Write a shard object if it still has this version; 0 creates it.
struct WriteShard
{
    std::string shard;
    std::uint64_t expectedVersion = 0;
    std::string text;
};

/// The claim is ours: run the call, once.
struct RunCall
{
    RequestId id;
};

/// Answer with what the first call with this key gave.
struct ReplayResponse
{
    RequestId id;
    StoredResponse storedResponse;
};

/// Refuse the call. The book never let it run.
struct RejectCall
{
    RequestId id;
    ErrorKind kind = ErrorKind::Internal;
    /// True when an earlier call with the same key and body may have run.
    bool earlierCallMayHaveRun = false;
};

using ClaimEffect = std::variant<ReadShard, WriteShard, RunCall, ReplayResponse, RejectCall>;

/// Settings of a ClaimBook.
struct ClaimCoordinatorOptions
{
    /// How long finished claims are kept, and the age above which a dated key is refused.
    Duration retention = std::chrono::hours(24);
    /// A claim that its owner has not finished in this time will never be: its outcome is
    /// unknown. Longer than the longest call.
    Duration claimTimeout = std::chrono::seconds(60);
    /// After a failure the platform is not asked for new claims for this long.
    Duration platformPause = milliseconds(500);
    /// Longest answer body that is kept for replay.
    std::size_t maximumResponseBytes = 8192;
    /// Largest shard object written.
    std::size_t maximumShardBytes = 900000;
};

/// Claims for calls that may not be repeated. Before such a call runs, a conditional write to
/// its shard object makes the claim; the write is the fence, so a paused or doubled node cannot
/// claim twice. While one write of a shard is under way further claims gather, and the next
/// write carries them all. A lost answer is settled by reading back: only the nonce in the
/// object, never a guess, lets a call run. Pure: messages and time in, effects out.
class ClaimCoordinator
{
public:
    explicit ClaimCoordinator(ClaimCoordinatorOptions options);

    /// Takes one message and returns what to do about it.
    [[nodiscard]] std::vector<ClaimEffect> handle(const ClaimMessage &message, Instant now);

    /// Claims and results that no write has carried to the platform yet.
    [[nodiscard]] std::size_t unwrittenCount() const;
    /// Writes asked for so far.
    [[nodiscard]] std::uint64_t writes() const { return writes_; }

private:
    /// A claim that waits for a write.
    struct PendingClaim
    {
        ClaimRequest wanted;
    };
    /// A change to a claim of ours that waits for a write.
    struct PendingResult
    {
        std::string key;
        std::string nonce;
        /// Absent to take the claim back.
        std::optional<Claim> claim;
    };
    struct Shard
    {
        bool known = false;
        bool busy = false;
        std::uint64_t version = 0;
        ClaimShard content;
        /// Content of the write under way.
        ClaimShard written;
        std::vector<PendingClaim> claims;
        std::vector<PendingResult> results;
        /// How many of the above the write under way carries.
        std::size_t carriedResults = 0;
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

    /// Starts the next read or write of a shard that has work.
    void advance(const std::string &name, Shard &shard, Instant now);
    /// Decides every pending claim that the known content decides.
    void decide(const std::string &name, Shard &shard);
    /// True when the claim is decided and no longer pending.
    [[nodiscard]] bool decideOne(const std::string &name, const Shard &shard,
                                 const ClaimRequest &wanted);
    void giveUpExpired(Shard &shard, Instant now);
    void platformFailed(Shard &shard, Instant now);
    [[nodiscard]] static Claim claimOf(const ClaimRequest &wanted);

    ClaimCoordinatorOptions options_;
    std::int64_t nowMs_ = 0;
    std::map<std::string, Shard> shards_;
    std::unordered_map<RequestId, Running> running_;
    std::uint64_t writes_ = 0;
    std::vector<ClaimEffect> effects_;
};

} // namespace jacinthroad
