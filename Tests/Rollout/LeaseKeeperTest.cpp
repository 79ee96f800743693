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

/// A process that listens on its VM, which is named like the node.
LeaseKeeper processOn(const std::string &node, std::int64_t boot)
{
    LeaseKeeper process({ .holderId = node + "/" + std::to_string(boot),
                          .address = node + ":7340",
                          .validity = Validity,
                          .handover = Handover,
                          .renewAfter = RenewAfter });
    process.noteOnlyProcess();
    return process;
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

/// Simulates a store that comes back from earlier copies and assigns their revisions again.
struct RestoredStore
{
    StoreObject object;
    std::uint64_t era = 1;
    std::optional<StoreObject> copy;

    void restore()
    {
        object = copy.value_or(StoreObject());
        ++era;
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

BOOST_AUTO_TEST_CASE(holderStepsDownWhenTheStoreWasRestored)
{
    LeaseKeeper holder = keeper("a");
    holder.enterEra(1, at(0));
    holder.observe(std::nullopt, 0, at(0));
    const auto write = holder.nextWrite(true, at(5000));
    BOOST_REQUIRE(write.has_value());
    const LeaseRecord record = std::get<CreateLease>(*write).record;
    holder.noteWritten(record, 9, at(5000));
    BOOST_TEST(holder.holds(at(5100)));
    holder.enterEra(1, at(5100));
    BOOST_TEST(holder.holds(at(5100)));
    holder.enterEra(2, at(5200));
    BOOST_TEST(!holder.holds(at(5200)));
    // Even its own record may be older than that of another holder which was lost.
    holder.observe(record, 3, at(5300));
    BOOST_TEST(!holder.nextWrite(true, at(10299)).has_value());
    const auto again = holder.nextWrite(true, at(10300));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(std::get<ReplaceLease>(*again).revision == 3U);
    BOOST_TEST(std::get<ReplaceLease>(*again).record.token > record.token);
}

BOOST_AUTO_TEST_CASE(lostRecordIsNotReplacedWhileItsHolderMayAct)
{
    LeaseKeeper started = keeper("b");
    started.enterEra(2, at(1000));
    started.observe(std::nullopt, 0, at(1100));
    BOOST_TEST(!started.nextWrite(true, at(5999)).has_value());
    BOOST_TEST(started.nextWrite(true, at(6000)).has_value());
    // A release of an earlier era says nothing of holders after it.
    LeaseKeeper other = keeper("c");
    other.enterEra(2, at(1000));
    other.observe(LeaseRecord { .holder = "a", .token = 4, .released = true, .era = 1 }, 5,
                  at(1100));
    BOOST_TEST(!other.nextWrite(true, at(6099)).has_value());
    BOOST_TEST(other.nextWrite(true, at(6100)).has_value());
}

BOOST_AUTO_TEST_CASE(tokenIsHigherThanAnyOfAnEarlierEra)
{
    LeaseKeeper started = keeper("b");
    started.enterEra(1, at(0));
    started.observe(LeaseRecord { .holder = "a", .token = 40, .released = true, .era = 1 }, 5,
                    at(0));
    const auto before = started.nextWrite(true, at(3500));
    BOOST_REQUIRE(before.has_value());
    const std::uint64_t used = std::get<ReplaceLease>(*before).record.token;
    BOOST_TEST(used > 40U);
    // A node without memory sees only a record that is older than `used`.
    LeaseKeeper other = keeper("c");
    other.enterEra(2, at(9000));
    other.observe(LeaseRecord { .holder = "a", .token = 4, .era = 1 }, 3, at(9000));
    const auto after = other.nextWrite(true, at(14000));
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(std::get<ReplaceLease>(*after).record.token > used);
}

BOOST_AUTO_TEST_CASE(writeOfAnEarlierEraGivesNoLease)
{
    LeaseKeeper holder = keeper("a");
    holder.enterEra(1, at(0));
    holder.observe(std::nullopt, 0, at(0));
    const auto write = holder.nextWrite(true, at(5000));
    BOOST_REQUIRE(write.has_value());
    const LeaseRecord record = std::get<CreateLease>(*write).record;
    holder.enterEra(2, at(5100));
    holder.noteWritten(record, 7, at(5000));
    BOOST_TEST(!holder.holds(at(5200)));
    holder.observe(record, 7, at(5200));
    BOOST_TEST(!holder.nextWrite(true, at(10199)).has_value());
}

BOOST_AUTO_TEST_CASE(tokenOfHolderHiddenByALateWriteIsNotUsedAgain)
{
    LeaseKeeper holder = keeper("a");
    holder.enterEra(2, at(0));
    holder.observe(LeaseRecord { .holder = "c", .token = 4, .era = 1 }, 5, at(0));
    const auto write = holder.nextWrite(true, at(5000));
    BOOST_REQUIRE(write.has_value());
    const std::uint64_t used = std::get<ReplaceLease>(*write).record.token;
    // A write of era 1 replaced the record before this node read it.
    LeaseKeeper other = keeper("b");
    other.enterEra(2, at(5000));
    other.observe(LeaseRecord { .holder = "c", .token = 4, .renewals = 1, .era = 1 }, 7, at(6000));
    const auto next = other.nextWrite(true, at(11000));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(std::get<ReplaceLease>(*next).record.token > used);
}

BOOST_AUTO_TEST_CASE(neverTwoHoldersWithinTheHandoverAcrossRestores)
{
    // As above, with restores from copies up to some seconds old, and nodes that are cut off from
    // the store and miss eras. Writes that were decided before a restore may be applied after it if
    // their revision was assigned again.
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        RestoredStore store;
        std::vector<LeaseKeeper> nodes { keeper("a"), keeper("b"), keeper("c") };
        std::vector<std::int64_t> pausedUntil(nodes.size(), 0);
        std::vector<std::int64_t> cutOffUntil(nodes.size(), 0);
        struct DelayedWrite
        {
            std::int64_t due;
            std::variant<CreateLease, ReplaceLease> write;
        };
        std::vector<DelayedWrite> delayedWrites;
        std::int64_t lastAct = -100000;
        std::size_t lastActor = nodes.size();
        std::uint64_t lastToken = 0;
        unsigned changes = 0;
        for (std::int64_t now = 0; now < 120000; now += 50) {
            if (random() % 60 == 0) {
                store.copy = store.object;
            }
            if (random() % 400 == 0) {
                store.restore();
            }
            for (const DelayedWrite &one : delayedWrites) {
                if (one.due <= now) {
                    static_cast<void>(store.object.apply(one.write));
                }
            }
            std::erase_if(delayedWrites, [&](const DelayedWrite &one) { return one.due <= now; });
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                LeaseKeeper &node = nodes[index];
                if (pausedUntil[index] > now) {
                    continue;
                }
                if (random() % 200 == 0) {
                    pausedUntil[index] = now + static_cast<std::int64_t>(random() % 9000);
                    continue;
                }
                if (random() % 300 == 0) {
                    cutOffUntil[index] = now + static_cast<std::int64_t>(random() % 15000);
                }
                const bool cutOff = cutOffUntil[index] > now;
                if (random() % 900 == 0) {
                    // A restarted node remembers neither eras nor tokens.
                    node = keeper(std::string(1, static_cast<char>('a' + index)) + "/"
                                  + std::to_string(now));
                }
                if (!cutOff && random() % 3 == 0) {
                    node.enterEra(store.era, at(now));
                    node.observe(store.object.record, store.object.revision, at(now));
                }
                if (node.holds(at(now))) {
                    if (lastActor != index || lastToken != node.token()) {
                        BOOST_TEST_INFO("seed " << seed << " at " << now);
                        BOOST_TEST((lastActor == index || now - lastAct >= 3000));
                        BOOST_TEST_INFO("seed " << seed << " at " << now);
                        BOOST_TEST(node.token() > lastToken);
                        ++changes;
                    }
                    lastActor = index;
                    lastAct = now;
                    lastToken = node.token();
                }
                const auto write = node.nextWrite(true, at(now));
                if (!write.has_value() || cutOff) {
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
                const auto record = store.object.apply(*write);
                if (outcome == 2) {
                    continue;
                }
                node.enterEra(store.era, at(now));
                if (record.has_value()) {
                    node.noteWritten(*record, store.object.revision, at(now));
                } else {
                    node.observe(store.object.record, store.object.revision, at(now));
                }
            }
        }
        BOOST_TEST(changes > 0U);
    }
}

BOOST_AUTO_TEST_CASE(processThatFollowsTheHolderOnItsVmGoesOnAtOnce)
{
    const LeaseRecord record {
        .holder = "a/1", .address = "a:7340", .token = 4, .renewals = 8, .era = 2
    };
    LeaseKeeper next = processOn("a", 2);
    next.enterEra(2, at(900));
    next.observe(record, 10, at(1000));
    const auto write = next.nextWrite(true, at(1000));
    BOOST_REQUIRE(write.has_value());
    const auto &replace = std::get<ReplaceLease>(*write);
    BOOST_TEST(replace.revision == 10U);
    BOOST_TEST(replace.record.holder == "a/2");
    BOOST_TEST(replace.record.token == 4U);
    BOOST_TEST(!next.holds(at(1000)));
    next.noteWritten(replace.record, 11, at(1000));
    BOOST_TEST(next.holds(at(1001)));
    BOOST_TEST(next.token() == 4U);
}

BOOST_AUTO_TEST_CASE(onlyTheNextProcessOnTheVmOfTheHolderNeedNotWait)
{
    const LeaseRecord record { .holder = "a/1", .address = "a:7340", .token = 4, .era = 2 };
    const auto waits = [](LeaseKeeper &other, const LeaseRecord &seen) {
        other.enterEra(2, at(900));
        other.observe(seen, 10, at(1000));
        return !other.nextWrite(true, at(5999)).has_value()
            && other.nextWrite(true, at(6000)).has_value();
    };
    LeaseKeeper otherVm = processOn("b", 2);
    BOOST_TEST(waits(otherVm, record));
    // The VM that replaced another one has its name, not its address.
    LeaseKeeper replacement({ .holderId = "a/2",
                              .address = "c:7340",
                              .validity = Validity,
                              .handover = Handover,
                              .renewAfter = RenewAfter });
    replacement.noteOnlyProcess();
    BOOST_TEST(waits(replacement, record));
    // A build that doesn't know the address has kept that of an earlier holder.
    LeaseKeeper earlierHolder = processOn("a", 2);
    BOOST_TEST(
        waits(earlierHolder, { .holder = "b/1", .address = "a:7340", .token = 4, .era = 2 }));
    LeaseKeeper otherEra = processOn("a", 2);
    BOOST_TEST(waits(otherEra, { .holder = "a/1", .address = "a:7340", .token = 4, .era = 1 }));
    LeaseKeeper notListening({ .holderId = "a/2",
                               .address = "a:7340",
                               .validity = Validity,
                               .handover = Handover,
                               .renewAfter = RenewAfter });
    BOOST_TEST(waits(notListening, record));
}

BOOST_AUTO_TEST_CASE(neverTwoVmsWithinTheHandoverWhileProcessesEndAndOrdersAreUnderWay)
{
    // Processes on three VMs end at any moment, singly or all at once, and their writes and orders
    // may arrive later. An order arrives after as much as a process needs to start.
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        const std::vector<std::string> names { "a", "b", "c" };
        StoreObject store;
        std::vector<LeaseKeeper> nodes { processOn("a", 0), processOn("b", 0), processOn("c", 0) };
        std::vector<std::int64_t> downUntil(nodes.size(), 0);
        struct DelayedWrite
        {
            std::int64_t due;
            std::variant<CreateLease, ReplaceLease> write;
        };
        std::vector<DelayedWrite> delayedWrites;
        struct Order
        {
            std::int64_t due;
            std::size_t vm;
            std::uint64_t token;
        };
        std::vector<Order> orders;
        std::int64_t lastAct = -100000;
        std::size_t lastVm = nodes.size();
        std::uint64_t lastToken = 0;
        std::uint64_t highestArrived = 0;
        unsigned continued = 0;
        std::int64_t allEndedAt = -100000;
        for (std::int64_t now = 0; now < 60000; now += 50) {
            for (const DelayedWrite &one : delayedWrites) {
                if (one.due <= now) {
                    static_cast<void>(store.apply(one.write));
                }
            }
            std::erase_if(delayedWrites, [&](const DelayedWrite &one) { return one.due <= now; });
            for (const Order &order : orders) {
                if (order.due <= now) {
                    BOOST_TEST_INFO("seed " << seed << " at " << now);
                    BOOST_TEST(order.token >= highestArrived);
                    highestArrived = std::max(highestArrived, order.token);
                }
            }
            std::erase_if(orders, [&](const Order &one) { return one.due <= now; });
            const bool allEnd = random() % 100 == 0;
            allEndedAt = allEnd ? now : allEndedAt;
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                if (allEnd || random() % 400 == 0) {
                    downUntil[index] = now + 500 + static_cast<std::int64_t>(random() % 2000);
                    nodes[index] = processOn(names[index], now);
                }
                if (downUntil[index] > now) {
                    continue;
                }
                LeaseKeeper &node = nodes[index];
                if (random() % 3 == 0) {
                    node.observe(store.record, store.revision, at(now));
                }
                if (node.holds(at(now))) {
                    BOOST_TEST_INFO("seed " << seed << " at " << now);
                    if (lastVm == index) {
                        BOOST_TEST(node.token() >= lastToken);
                        continued += now - allEndedAt < 5000 ? 1 : 0;
                    } else {
                        BOOST_TEST((now - lastAct >= 3000 && node.token() > lastToken));
                    }
                    lastVm = index;
                    lastAct = now;
                    lastToken = node.token();
                    orders.push_back(
                        { now + static_cast<std::int64_t>(random() % 2500), index, node.token() });
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
        BOOST_TEST(continued > 0U);
    }
}

BOOST_AUTO_TEST_CASE(leaseObjectThatCannotBeReadIsReplacedOnceItsHolderIsSilent)
{
    LeaseKeeper first = keeper("a");
    first.observe(LeaseRecord { .holder = "b", .token = 7 }, 3, at(0));
    first.observe(std::nullopt, 4, at(100));
    BOOST_TEST(!first.holds(at(100)));
    BOOST_TEST(!first.nextWrite(false, at(60000)).has_value());
    BOOST_TEST(!first.nextWrite(true, at(100) + Handover).has_value());
    const auto write = first.nextWrite(true, at(100) + Handover + Validity);
    BOOST_REQUIRE(write.has_value());
    const auto *replace = std::get_if<ReplaceLease>(&*write);
    BOOST_REQUIRE(replace != nullptr);
    BOOST_TEST(replace->revision == 4U);
    BOOST_TEST(replace->record.token > 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
