// Explores every interleaving of a small model up to a fixed depth: two nodes, one key, one shard
// object, retrying callers, lost or delayed responses, and node crashes at any point. Guards
// against a call that runs twice and against a call that ran but is reported as not run.

#include <array>
#include <set>

#include <boost/test/unit_test.hpp>

#include "Claims/ClaimCoordinator.h"

using namespace jacinthroad;

namespace {

const Instant Start = Instant() + std::chrono::hours(1);
constexpr std::int64_t WallMs = 1'800'000'000'000;
const std::string Shard = "claims/s/0";

/// A read or write in flight to the platform.
struct Operation
{
    int node = 0;
    int incarnation = 0;
    bool isWrite = false;
    std::uint64_t expected = 0;
    std::string text;
    /// The node was notified of a lost response; only the effect is still pending.
    bool responseLost = false;
};

/// A call started by a node.
struct Call
{
    int node = 0;
    int incarnation = 0;
    RequestId id;
};

struct World
{
    std::array<ClaimCoordinator, 2> coordinators { ClaimCoordinator({}), ClaimCoordinator({}) };
    std::array<int, 2> incarnations { 0, 0 };
    std::uint64_t version = 0;
    std::string text;
    std::vector<Operation> operations;
    std::vector<Call> calls;
    int executed = 0;
    std::set<std::string> ran;
    int remainingCalls = 3;
    int remainingCrashes = 1;
    int remainingLosses = 2;
};

struct Explorer
{
    std::uint64_t steps = 0;
    std::uint64_t replays = 0;
    std::uint64_t rejections = 0;
    int maximumExecuted = 0;
    bool falseNotRun = false;
    bool replayWithoutRun = false;

    void applyEffects(World &world, int node, const std::vector<ClaimEffect> &effects)
    {
        for (const ClaimEffect &effect : effects) {
            if (std::holds_alternative<ReadShard>(effect)) {
                world.operations.push_back(
                    { .node = node, .incarnation = world.incarnations[node] });
            } else if (const auto *write = std::get_if<WriteShard>(&effect)) {
                world.operations.push_back({ .node = node,
                                             .incarnation = world.incarnations[node],
                                             .isWrite = true,
                                             .expected = write->expectedVersion,
                                             .text = write->text });
            } else if (const auto *run = std::get_if<RunCall>(&effect)) {
                world.calls.push_back(
                    { .node = node, .incarnation = world.incarnations[node], .id = run->id });
                world.ran.insert(run->id.text());
            } else if (std::holds_alternative<ReplayResponse>(effect)) {
                ++replays;
                replayWithoutRun = replayWithoutRun || world.executed != 1;
            } else if (const auto *reject = std::get_if<RejectCall>(&effect)) {
                ++rejections;
                falseNotRun = falseNotRun
                    || (!reject->earlierCallMayHaveRun && world.ran.contains(reject->id.text()));
            }
        }
    }

    void deliver(World &world, int node, const ClaimMessage &message)
    {
        applyEffects(world, node,
                     world.coordinators[static_cast<std::size_t>(node)].handle(message, Start));
    }

    static bool apply(World &world, const Operation &operation)
    {
        if (operation.expected != world.version) {
            return false;
        }
        ++world.version;
        world.text = operation.text;
        return true;
    }

    void respond(World &world, const Operation &operation, bool written)
    {
        if (operation.responseLost || operation.incarnation != world.incarnations[operation.node]) {
            return;
        }
        if (!operation.isWrite) {
            deliver(world, operation.node,
                    ShardReadCompleted { .shard = Shard,
                                         .responded = true,
                                         .version = world.version,
                                         .text = world.text });
            return;
        }
        deliver(world, operation.node,
                ShardWriteCompleted { .shard = Shard,
                                      .writeOutcome = written ? ShardWriteOutcome::Written
                                                              : ShardWriteOutcome::Conflict,
                                      .version = world.version });
    }

    void explore(const World &world, int depth)
    {
        maximumExecuted = std::max(maximumExecuted, world.executed);
        ++steps;
        if (depth == 0) {
            return;
        }
        arrivals(world, depth);
        for (std::size_t index = 0; index < world.operations.size(); ++index) {
            platformSteps(world, index, depth);
        }
        for (std::size_t index = 0; index < world.calls.size(); ++index) {
            serviceSteps(world, index, depth);
        }
        if (world.remainingCrashes > 0) {
            for (int node = 0; node < 2; ++node) {
                World next = world;
                --next.remainingCrashes;
                ++next.incarnations[node];
                next.coordinators[static_cast<std::size_t>(node)] = ClaimCoordinator({});
                explore(next, depth - 1);
            }
        }
    }

    void arrivals(const World &world, int depth)
    {
        if (world.remainingCalls == 0) {
            return;
        }
        for (int node = 0; node < 2; ++node) {
            World next = world;
            const std::string id = "call-" + std::to_string(next.remainingCalls--);
            deliver(next, node,
                    ClaimRequest { .id = RequestId(id),
                                   .shard = Shard,
                                   .key = "t/k",
                                   .bodyHash = "b",
                                   .nonce = "nonce-" + id,
                                   .nowMs = WallMs,
                                   .deadline = Start + std::chrono::seconds(2) });
            explore(next, depth - 1);
        }
    }

    void platformSteps(const World &world, std::size_t index, int depth)
    {
        const Operation operation = world.operations[index];
        {
            World next = world;
            next.operations.erase(next.operations.begin() + static_cast<long>(index));
            const bool written = operation.isWrite && apply(next, operation);
            respond(next, operation, written);
            explore(next, depth - 1);
        }
        if (world.remainingLosses == 0 || operation.responseLost || !operation.isWrite) {
            return;
        }
        // The response is lost, and the write takes effect now, later or never.
        World later = world;
        --later.remainingLosses;
        later.operations[index].responseLost = true;
        if (operation.incarnation == later.incarnations[operation.node]) {
            deliver(later, operation.node,
                    ShardWriteCompleted { .shard = Shard,
                                          .writeOutcome = ShardWriteOutcome::NoResponse });
        }
        explore(later, depth - 1);
    }

    void serviceSteps(const World &world, std::size_t index, int depth)
    {
        const Call call = world.calls[index];
        // Executed with a response, executed without one, not executed without one, certainly not
        // sent.
        for (int outcome = 0; outcome < 4; ++outcome) {
            World next = world;
            next.calls.erase(next.calls.begin() + static_cast<long>(index));
            next.executed += outcome < 2 ? 1 : 0;
            if (call.incarnation == next.incarnations[call.node]) {
                const ClaimedCallOutcome end = outcome == 0 ? ClaimedCallOutcome::Responded
                    : outcome == 3                          ? ClaimedCallOutcome::NotSent
                                                            : ClaimedCallOutcome::Uncertain;
                if (outcome == 3) {
                    next.ran.erase(call.id.text());
                }
                deliver(next, call.node,
                        CallFinished { .id = call.id,
                                       .callOutcome = end,
                                       .storedResponse = { .status = 200, .body = "done" },
                                       .nowMs = WallMs });
            }
            explore(next, depth - 1);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimExplorationTest)

BOOST_AUTO_TEST_CASE(noInterleavingRunsTheCallTwice)
{
    constexpr int Depth = 9;
    Explorer explorer;
    explorer.explore(World {}, Depth);
    BOOST_TEST_MESSAGE("states " << explorer.steps << ", replays " << explorer.replays
                                 << ", rejections " << explorer.rejections);
    BOOST_TEST(explorer.steps > 100000U);
    BOOST_TEST(explorer.replays > 0U);
    BOOST_TEST(explorer.maximumExecuted == 1);
    BOOST_TEST(!explorer.falseNotRun);
    BOOST_TEST(!explorer.replayWithoutRun);
}

BOOST_AUTO_TEST_SUITE_END()
