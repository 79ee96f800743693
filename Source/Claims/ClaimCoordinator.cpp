#include "Claims/ClaimCoordinator.h"

#include <algorithm>
#include <utility>

#include "Claims/IdempotencyKey.h"

namespace jacinthroad {

namespace {

std::int64_t toWholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorOptions options)
    : options_(options)
{ }

std::vector<ClaimEffect> ClaimCoordinator::handle(const ClaimMessage &message, Instant now)
{
    std::visit([&](const auto &typed) { on(typed, now); }, message);
    return std::exchange(effects_, {});
}

std::size_t ClaimCoordinator::unwrittenCount() const
{
    std::size_t count = 0;
    for (const auto &[name, shard] : shards_) {
        count += shard.claims.size() + shard.results.size();
    }
    return count;
}

Claim ClaimCoordinator::claimOf(const ClaimRequest &request)
{
    return { .nonce = request.nonce,
             .bodyHash = request.bodyHash,
             .state = ClaimState::Claimed,
             .changedAtMs = request.nowMs };
}

void ClaimCoordinator::on(const ClaimRequest &message, Instant now)
{
    nowMs_ = std::max(nowMs_, message.nowMs);
    const auto createdAtMs = uuidTimestampMs(message.key.substr(message.key.find('/') + 1));
    if (createdAtMs.has_value()
        && *createdAtMs < nowMs_ - toWholeMilliseconds(options_.retention)) {
        effects_.emplace_back(RejectCall { .id = message.id,
                                           .kind = ErrorKind::IdempotencyKeyExpired,
                                           .earlierCallMayHaveRun = true });
        return;
    }
    Shard &shard = shards_[message.shard];
    if (now < shard.pausedUntil) {
        effects_.emplace_back(
            RejectCall { .id = message.id, .kind = ErrorKind::PlatformUnavailable });
        return;
    }
    shard.claims.push_back({ message });
    advance(message.shard, shard, now);
}

bool ClaimCoordinator::resolveClaim(const std::string &name, const Shard &shard,
                                    const ClaimRequest &request)
{
    const auto found = shard.content.claims.find(request.key);
    if (found == shard.content.claims.end()) {
        return false;
    }
    const Claim &claim = found->second;
    if (claim.nonce == request.nonce) {
        running_[request.id] = { .shard = name, .key = request.key, .claim = claim };
        effects_.emplace_back(RunCall { .id = request.id });
        return true;
    }
    if (claim.bodyHash != request.bodyHash) {
        effects_.emplace_back(
            RejectCall { .id = request.id, .kind = ErrorKind::IdempotencyKeyReused });
        return true;
    }
    const bool abandoned = claim.state == ClaimState::Claimed
        && claim.changedAtMs < nowMs_ - toWholeMilliseconds(options_.claimTimeout);
    if (claim.state == ClaimState::Done && claim.storedResponse.complete) {
        effects_.emplace_back(
            ReplayResponse { .id = request.id, .storedResponse = claim.storedResponse });
    } else if (claim.state == ClaimState::Claimed && !abandoned) {
        effects_.emplace_back(RejectCall { .id = request.id,
                                           .kind = ErrorKind::RequestInProgress,
                                           .earlierCallMayHaveRun = true });
    } else {
        effects_.emplace_back(RejectCall {
            .id = request.id, .kind = ErrorKind::OutcomeUnknown, .earlierCallMayHaveRun = true });
    }
    return true;
}

void ClaimCoordinator::resolveClaims(const std::string &name, Shard &shard)
{
    std::erase_if(shard.claims, [&](const PendingClaim &pending) {
        return resolveClaim(name, shard, pending.request);
    });
}

void ClaimCoordinator::advance(const std::string &name, Shard &shard, Instant now)
{
    if (shard.operationPending || now < shard.pausedUntil) {
        return;
    }
    if (shard.claims.empty() && shard.results.empty()) {
        return;
    }
    shard.operationPending = true;
    if (!shard.loaded) {
        effects_.emplace_back(ReadShard { .shard = name });
        return;
    }
    shard.written = shard.content;
    shard.written.removeOlderThan(nowMs_ - toWholeMilliseconds(options_.retention));
    for (const PendingResult &result : shard.results) {
        const auto found = shard.written.claims.find(result.key);
        if (found == shard.written.claims.end() || found->second.nonce != result.nonce) {
            continue;
        }
        if (result.claim.has_value()) {
            found->second = *result.claim;
        } else {
            shard.written.claims.erase(found);
        }
    }
    shard.writingResults = shard.results.size();
    for (const PendingClaim &pending : shard.claims) {
        // Of two claims for one key in one write, the first acquires it and the second is rejected.
        shard.written.claims.try_emplace(pending.request.key, claimOf(pending.request));
    }
    ++writes_;
    effects_.emplace_back(WriteShard {
        .shard = name, .expectedVersion = shard.version, .text = serializeShard(shard.written) });
}

void ClaimCoordinator::handlePlatformFailure(Shard &shard, Instant now)
{
    shard.pausedUntil = now + options_.platformPause;
    // A claim whose write may still take effect would stay in the object as claimed without ever
    // running. Withdrawing it allows the caller's next retry with the same key to run.
    for (const PendingClaim &pending : shard.claims) {
        effects_.emplace_back(
            RejectCall { .id = pending.request.id, .kind = ErrorKind::PlatformUnavailable });
        shard.results.push_back(
            { .key = pending.request.key, .nonce = pending.request.nonce, .claim = std::nullopt });
    }
    shard.claims.clear();
}

void ClaimCoordinator::on(const ShardReadCompleted &message, Instant now)
{
    Shard &shard = shards_[message.shard];
    shard.operationPending = false;
    if (!message.responded) {
        handlePlatformFailure(shard, now);
        return;
    }
    auto content
        = message.version == 0 ? Result<ClaimShard>(ClaimShard {}) : parseShard(message.text);
    if (!content.has_value()) {
        handlePlatformFailure(shard, now);
        return;
    }
    shard.loaded = true;
    shard.version = message.version;
    shard.content = std::move(*content);
    resolveClaims(message.shard, shard);
    advance(message.shard, shard, now);
}

void ClaimCoordinator::on(const ShardWriteCompleted &message, Instant now)
{
    Shard &shard = shards_[message.shard];
    shard.operationPending = false;
    switch (message.writeOutcome) {
    case ShardWriteOutcome::Written:
        shard.version = message.version;
        shard.content = std::move(shard.written);
        shard.results.erase(shard.results.begin(),
                            shard.results.begin()
                                + static_cast<std::ptrdiff_t>(shard.writingResults));
        resolveClaims(message.shard, shard);
        break;
    case ShardWriteOutcome::Conflict:
    case ShardWriteOutcome::NoResponse:
        shard.loaded = false;
        break;
    case ShardWriteOutcome::Rejected:
        handlePlatformFailure(shard, now);
        return;
    }
    advance(message.shard, shard, now);
}

void ClaimCoordinator::on(const CallFinished &message, Instant now)
{
    nowMs_ = std::max(nowMs_, message.nowMs);
    const auto found = running_.find(message.id);
    if (found == running_.end()) {
        return;
    }
    const Running running = std::move(found->second);
    running_.erase(found);
    PendingResult result { .key = running.key, .nonce = running.claim.nonce };
    if (message.callOutcome != ClaimedCallOutcome::NotSent) {
        Claim claim = running.claim;
        claim.changedAtMs = message.nowMs;
        claim.state = message.callOutcome == ClaimedCallOutcome::Responded ? ClaimState::Done
                                                                           : ClaimState::Unknown;
        claim.storedResponse = message.storedResponse;
        if (claim.storedResponse.body.size() > options_.maximumResponseBytes) {
            claim.storedResponse.body.clear();
            claim.storedResponse.complete = false;
        }
        result.claim = std::move(claim);
    }
    Shard &shard = shards_[running.shard];
    shard.results.push_back(std::move(result));
    advance(running.shard, shard, now);
}

void ClaimCoordinator::rejectExpired(Shard &shard, Instant now)
{
    std::erase_if(shard.claims, [&](const PendingClaim &pending) {
        if (now < pending.request.deadline) {
            return false;
        }
        effects_.emplace_back(
            RejectCall { .id = pending.request.id, .kind = ErrorKind::PlatformUnavailable });
        shard.results.push_back(
            { .key = pending.request.key, .nonce = pending.request.nonce, .claim = std::nullopt });
        return true;
    });
}

void ClaimCoordinator::on(const ClaimTick &message, Instant now)
{
    nowMs_ = std::max(nowMs_, message.nowMs);
    for (auto &[name, shard] : shards_) {
        rejectExpired(shard, now);
        advance(name, shard, now);
    }
}

} // namespace jacinthroad
