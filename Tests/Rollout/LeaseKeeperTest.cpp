#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Rollout/LeaseKeeper.h"

namespace jacinthroad {

namespace {

constexpr Duration Validity = milliseconds(1500);
constexpr Duration Handover = milliseconds(3500);
constexpr Duration RenewAfter = milliseconds(600);

BootInstant at(std::int64_t milli)
{
    return { milliseconds(milli) };
}

LeaseKeeper keeper(std::string name)
{
    return LeaseKeeper({ .holderId = std::move(name),
                         .validity = Validity,
                         .handover = Handover,
                         .renewAfter = RenewAfter });
}

/// Simulates a store object with conditional writes.
struct StoreObject
{
    std::optional<LeaseRecord> record;
    std::uint64_t revision = 0;

    /// Applies a write if its condition holds. A write that changes nothing gets no new revision.
    std::optional<LeaseRecord> apply(const std::variant<CreateLease, ReplaceLease> &write)
    {
        LeaseRecord next;
        if (const auto *create = std::get_if<CreateLease>(&write)) {
            if (record.has_value()) {
                return std::nullopt;
            }
            next = create->record;
        } else {
            const auto &replace = std::get<ReplaceLease>(write);
            if (!record.has_value() || replace.revision != revision) {
                return std::nullopt;
            }
            next = replace.record;
        }
        if (record != next) {
            ++revision;
        }
        record = next;
        return next;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeaseKeeperTest)

BOOST_AUTO_TEST_CASE(noLeaseBeforeTheStoreWasRead)
{
    const LeaseKeeper lease = keeper("a");
    BOOST_TEST(!lease.nextWrite(true, at(0)).has_value());
    BOOST_TEST(!lease.holds(at(0)));
}

BOOST_AUTO_TEST_CASE(everyRenewalGetsANewRevision)
{
    StoreObject store;
    LeaseKeeper holder = keeper("a");
    LeaseKeeper other = keeper("b");
    holder.observe(std::nullopt, 0, at(0));
    std::uint64_t before = 0;
    for (int now = 0; now < 20000; now += 600) {
        const auto write = holder.nextWrite(true, at(now));
        BOOST_REQUIRE(write.has_value());
        const auto record = store.apply(*write);
        BOOST_REQUIRE(record.has_value());
        holder.noteWritten(*record, store.revision, at(now));
        BOOST_TEST(store.revision > before);
        before = store.revision;
        other.observe(store.record, store.revision, at(now + 5));
        BOOST_TEST(!other.nextWrite(true, at(now + 500)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(failedHolderIsReplacedOnlyAfterValidityAndHandover)
{
    LeaseKeeper other = keeper("b");
    const LeaseRecord record { .holder = "a", .token = 4 };
    other.observe(record, 10, at(1000));
    other.observe(record, 10, at(4000));
    BOOST_TEST(!other.nextWrite(true, at(5999)).has_value());
    const auto write = other.nextWrite(true, at(6000));
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(std::get<ReplaceLease>(*write).record.token == 5U);
    BOOST_TEST(std::get<ReplaceLease>(*write).revision == 10U);
}

BOOST_AUTO_TEST_CASE(holderStopsByItsOwnClock)
{
    LeaseKeeper holder = keeper("a");
    holder.observe(std::nullopt, 0, at(0));
    holder.noteWritten({ .holder = "a", .token = 1 }, 1, at(100));
    BOOST_TEST(holder.holds(at(1599)));
    BOOST_TEST(!holder.holds(at(1600)));
    // A record of another holder ends the lease at once.
    holder.noteWritten({ .holder = "a", .token = 1, .renewals = 1 }, 2, at(2000));
    holder.observe(LeaseRecord { .holder = "b", .token = 2 }, 3, at(2100));
    BOOST_TEST(!holder.holds(at(2101)));
}

BOOST_AUTO_TEST_CASE(releaseShortensTheWaitToTheHandover)
{
    LeaseKeeper other = keeper("b");
    other.observe(LeaseRecord { .holder = "a", .token = 4, .released = true }, 10, at(1000));
    BOOST_TEST(!other.nextWrite(true, at(4499)).has_value());
    BOOST_TEST(other.nextWrite(true, at(4500)).has_value());
    BOOST_TEST(!other.nextWrite(false, at(9000)).has_value());
}

BOOST_AUTO_TEST_CASE(neverTwoHoldersWithinTheHandover)
{
    // Three nodes compete for the lease with lost writes, lost responses, delayed writes and
    // pauses; each acts whenever it holds the lease.
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        StoreObject store;
        std::vector<LeaseKeeper> nodes { keeper("a"), keeper("b"), keeper("c") };
        std::vector<std::int64_t> pausedUntil(nodes.size(), 0);
        struct DelayedWrite
        {
            std::int64_t due;
            std::variant<CreateLease, ReplaceLease> write;
        };
        std::vector<DelayedWrite> delayedWrites;
        std::int64_t lastAct = -100000;
        std::size_t lastActor = nodes.size();
        std::uint64_t lastToken = 0;
        for (std::int64_t now = 0; now < 60000; now += 50) {
            for (const DelayedWrite &one : delayedWrites) {
                if (one.due <= now) {
                    static_cast<void>(store.apply(one.write));
                }
            }
            std::erase_if(delayedWrites, [&](const DelayedWrite &one) { return one.due <= now; });
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                if (pausedUntil[index] > now) {
                    continue;
                }
                LeaseKeeper &node = nodes[index];
                if (random() % 200 == 0) {
                    pausedUntil[index] = now + static_cast<std::int64_t>(random() % 9000);
                    continue;
                }
                if (random() % 3 == 0) {
                    node.observe(store.record, store.revision, at(now));
                }
                if (node.holds(at(now))) {
                    if (lastActor != index) {
                        BOOST_TEST_INFO("seed " << seed << " at " << now);
                        BOOST_TEST(now - lastAct >= 3000);
                        BOOST_TEST(node.token() > lastToken);
                    }
                    lastActor = index;
                    lastAct = now;
                    lastToken = node.token();
                }
                const auto write = node.nextWrite(true, at(now));
                if (!write.has_value()) {
                    continue;
                }
                const auto outcome = random() % 10;
                if (outcome == 0) {
                    continue;
                }
                if (outcome == 1) {
                    delayedWrites.push_back(
                        { now + static_cast<std::int64_t>(random() % 6000), *write });
                    continue;
                }
                const auto record = store.apply(*write);
                if (outcome == 2) {
                    continue;
                }
                if (record.has_value()) {
                    node.noteWritten(*record, store.revision, at(now));
                } else {
                    node.observe(store.record, store.revision, at(now));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
