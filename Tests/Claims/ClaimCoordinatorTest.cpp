#include "Claims/ClaimCoordinator.h"

#include <boost/test/unit_test.hpp>

#include "Claims/IdempotencyKey.h"

using namespace jacinthroad;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);
constexpr std::int64_t WallMs = 1'800'000'000'000;

ClaimRequest claimRequest(const std::string &id, const std::string &key = "t/k",
                          const std::string &body = "b")
{
    return { .id = RequestId(id),
             .shard = "claims/s/0",
             .key = key,
             .bodyHash = body,
             .nonce = "nonce-" + id,
             .nowMs = WallMs,
             .deadline = Start + std::chrono::seconds(2) };
}

template <typename Effect> std::vector<Effect> effectsOf(const std::vector<ClaimEffect> &effects)
{
    std::vector<Effect> result;
    for (const ClaimEffect &effect : effects) {
        if (const auto *typed = std::get_if<Effect>(&effect)) {
            result.push_back(*typed);
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimCoordinatorTest)

BOOST_AUTO_TEST_CASE(claimsAreBatchedIntoOneWrite)
{
    ClaimCoordinator coordinator({});
    BOOST_TEST(effectsOf<ReadShard>(coordinator.handle(claimRequest("a", "t/1"), Start)).size()
               == 1U);
    for (int index = 0; index < 50; ++index) {
        const std::string name = std::to_string(index);
        BOOST_TEST(coordinator.handle(claimRequest("r" + name, "t/x" + name), Start).empty());
    }
    const auto writes = effectsOf<WriteShard>(
        coordinator.handle(ShardReadCompleted { .shard = "claims/s/0", .responded = true }, Start));
    BOOST_TEST_REQUIRE(writes.size() == 1U);
    const auto runs = effectsOf<RunCall>(coordinator.handle(
        ShardWriteCompleted {
            .shard = "claims/s/0", .writeOutcome = ShardWriteOutcome::Written, .version = 1 },
        Start));
    BOOST_TEST(runs.size() == 51U);
    BOOST_TEST(coordinator.writes() == 1U);
}

BOOST_AUTO_TEST_CASE(retryGetsTheStoredResponseAndOtherBodyIsRejected)
{
    ClaimCoordinator coordinator({});
    static_cast<void>(coordinator.handle(claimRequest("a"), Start));
    static_cast<void>(
        coordinator.handle(ShardReadCompleted { .shard = "claims/s/0", .responded = true }, Start));
    static_cast<void>(coordinator.handle(
        ShardWriteCompleted {
            .shard = "claims/s/0", .writeOutcome = ShardWriteOutcome::Written, .version = 1 },
        Start));
    const auto write = effectsOf<WriteShard>(
        coordinator.handle(CallFinished { .id = RequestId("a"),
                                          .callOutcome = ClaimedCallOutcome::Responded,
                                          .storedResponse = { .status = 201, .body = "booked" },
                                          .nowMs = WallMs },
                           Start));
    BOOST_TEST_REQUIRE(write.size() == 1U);
    ClaimCoordinator other({});
    static_cast<void>(other.handle(claimRequest("b"), Start));
    static_cast<void>(other.handle(claimRequest("c", "t/k", "another body"), Start));
    const auto effects = other.handle(
        ShardReadCompleted {
            .shard = "claims/s/0", .responded = true, .version = 2, .text = write[0].text },
        Start);
    const auto replays = effectsOf<ReplayResponse>(effects);
    BOOST_TEST_REQUIRE(replays.size() == 1U);
    BOOST_TEST(replays[0].storedResponse.body == "booked");
    const auto rejections = effectsOf<RejectCall>(effects);
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections[0].kind == ErrorKind::IdempotencyKeyReused));
}

BOOST_AUTO_TEST_CASE(platformFailureRejectsClaimsWithoutFurtherReads)
{
    ClaimCoordinator coordinator({});
    static_cast<void>(coordinator.handle(claimRequest("a"), Start));
    const auto rejections = effectsOf<RejectCall>(coordinator.handle(
        ShardReadCompleted { .shard = "claims/s/0", .responded = false }, Start));
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections[0].kind == ErrorKind::PlatformUnavailable));
    BOOST_TEST(!rejections[0].earlierCallMayHaveRun);
    for (int index = 0; index < 100; ++index) {
        const auto effects = coordinator.handle(claimRequest("r" + std::to_string(index)), Start);
        BOOST_TEST(effectsOf<RejectCall>(effects).size() == 1U);
        BOOST_TEST(effectsOf<ReadShard>(effects).empty());
    }
}

BOOST_AUTO_TEST_CASE(keyOlderThanTheRetentionIsRejected)
{
    ClaimCoordinator coordinator({ .retention = std::chrono::hours(24) });
    BOOST_TEST(uuidTimestampMs("018f0000-0000-7000-8000-000000000000").value() == 0x018f00000000);
    BOOST_TEST(!uuidTimestampMs("018f0000-0000-4000-8000-000000000000").has_value());
    const auto rejections = effectsOf<RejectCall>(
        coordinator.handle(claimRequest("a", "t/018f0000-0000-7000-8000-000000000000"), Start));
    BOOST_TEST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST((rejections[0].kind == ErrorKind::IdempotencyKeyExpired));
}

BOOST_AUTO_TEST_CASE(abandonedClaimHasUnknownOutcomeAndIsNotRunAgain)
{
    ClaimShard shard;
    shard.claims["t/k"]
        = { .nonce = "of a crashed node", .bodyHash = "b", .changedAtMs = WallMs - 70000 };
    ClaimCoordinator coordinator({ .claimTimeout = std::chrono::seconds(60) });
    static_cast<void>(coordinator.handle(claimRequest("a"), Start));
    const auto effects = coordinator.handle(
        ShardReadCompleted {
            .shard = "claims/s/0", .responded = true, .version = 5, .text = serializeShard(shard) },
        Start);
    BOOST_TEST(effectsOf<RunCall>(effects).empty());
    BOOST_TEST((effectsOf<RejectCall>(effects).at(0).kind == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(serializedShardIsParsedUnchanged)
{
    ClaimShard shard;
    shard.claims["a"]
        = { .nonce = "n",
            .bodyHash = "b",
            .state = ClaimState::Done,
            .changedAtMs = 5,
            .storedResponse = { .status = 200, .contentType = "x", .body = "\"{}\"" } };
    shard.claims["b"] = { .nonce = "m", .bodyHash = "c", .state = ClaimState::Unknown };
    const auto parsed = parseShard(serializeShard(shard));
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->claims == shard.claims));
    for (const char *bad : { "", "[]", "{\"a\":7}", "{\"a\":{\"at\":\"x\"}}" }) {
        BOOST_TEST(!parseShard(bad).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
