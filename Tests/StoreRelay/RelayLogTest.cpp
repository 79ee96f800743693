#include <boost/test/unit_test.hpp>

#include "StoreRelay/RelayLog.h"

namespace jacinthroad {

namespace {

constexpr BootInstant Start { std::chrono::seconds(100) };

platform::StoredObject server(const std::string &name, std::uint64_t revision, int heartbeats,
                              const std::string &state = "ready")
{
    platform::StoredObject object { .name = name, .revision = revision };
    object.spec["state"] = state;
    object.spec["seq"] = heartbeats;
    return object;
}

ObjectTable tableOf(std::initializer_list<platform::StoredObject> objects)
{
    ObjectTable table;
    for (const platform::StoredObject &object : objects) {
        table[object.name] = object;
    }
    return table;
}

/// What a node at a position receives first.
RelayedChanges changesAfter(const RelayLog &log, const RelayPosition &position, BootInstant now)
{
    const RelayPage page = log.pageAfter(position, now);
    auto changes = decodeRelayedChanges(encodeRelayPage(page));
    BOOST_REQUIRE(changes.has_value());
    // Messages round the age up to milliseconds.
    changes->age = page.head.age;
    return *changes;
}

RelayLog serversLog()
{
    return RelayLog({ .kind = platform::ObjectKind::Servers, .source = 7 });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayLogTest)

BOOST_AUTO_TEST_CASE(heartbeatsAreNotPassedOn)
{
    RelayLog log = serversLog();
    BOOST_TEST(log.applyTable(tableOf({ server("a", 1, 1), server("b", 2, 1) }), 2, {}));
    log.confirm(Start, 2);
    const RelayPosition position = changesAfter(log, {}, Start).position;
    BOOST_TEST(!log.applyTable(tableOf({ server("a", 3, 2), server("b", 4, 2) }), 4, {}));
    log.confirm(Start + milliseconds(500), 4);
    BOOST_TEST(!log.hasChanges(position));
    const RelayedChanges changes = changesAfter(log, position, Start + milliseconds(600));
    BOOST_CHECK(changes.content == RelayContent::Changes);
    BOOST_TEST(changes.events.empty());
    BOOST_TEST(changes.revision == 4U);
    BOOST_CHECK(changes.age == milliseconds(100));
}

BOOST_AUTO_TEST_CASE(changesAndRemovalsFollowThePosition)
{
    RelayLog log = serversLog();
    log.applyTable(tableOf({ server("a", 1, 1), server("b", 2, 1) }), 2, {});
    log.confirm(Start, 2);
    const RelayPosition position = changesAfter(log, {}, Start).position;
    BOOST_TEST(log.applyTable(tableOf({ server("a", 3, 2, "draining") }), 3, {}));
    log.confirm(Start, 3);
    const RelayedChanges changes = changesAfter(log, position, Start);
    BOOST_CHECK(changes.content == RelayContent::Changes);
    BOOST_REQUIRE(changes.events.size() == 2U);
    BOOST_TEST(changes.events[0].object.name == "a");
    BOOST_TEST(!changes.events[0].removed);
    BOOST_TEST(changes.events[1].object.name == "b");
    BOOST_TEST(changes.events[1].removed);
}

BOOST_AUTO_TEST_CASE(restartedRelayPassesOnAllObjects)
{
    RelayLog log = serversLog();
    log.applyTable(tableOf({ server("a", 1, 1) }), 2, {});
    log.confirm(Start, 2);
    const RelayedChanges changes = changesAfter(log, { .source = 6, .sequence = 2 }, Start);
    BOOST_CHECK(changes.content == RelayContent::All);
    BOOST_TEST(changes.events.size() == 1U);
    BOOST_TEST(log.hasChanges({ .source = 6, .sequence = 2 }));
}

BOOST_AUTO_TEST_CASE(positionFromTheFutureGetsAllObjects)
{
    RelayLog log = serversLog();
    log.applyTable(tableOf({ server("a", 1, 1) }), 2, {});
    log.confirm(Start, 2);
    BOOST_CHECK(changesAfter(log, { .source = 7, .sequence = 99 }, Start).content
                == RelayContent::All);
}

BOOST_AUTO_TEST_CASE(restoredStoreIsPassedOnAsAWholeAndNotBeforeItIsConfirmed)
{
    RelayLog log = serversLog();
    log.applyTable(tableOf({ server("a", 5, 1), server("b", 6, 1) }), 6, 1);
    log.confirm(Start, 6);
    const RelayPosition position = changesAfter(log, {}, Start).position;
    BOOST_TEST(log.applyTable(tableOf({ server("a", 5, 1) }), 5, 2));
    BOOST_TEST(!log.filled());
    log.confirm(Start + milliseconds(10), 5);
    const RelayedChanges changes = changesAfter(log, position, Start + milliseconds(10));
    BOOST_CHECK(changes.content == RelayContent::All);
    BOOST_CHECK(changes.era == std::optional<std::uint64_t>(2));
    BOOST_TEST(changes.events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ageNeverLooksSmallerThanItIs)
{
    RelayLog log = serversLog();
    log.applyTable({}, 2, {});
    log.confirm(Start, 2);
    // A confirmation of an earlier read arrives late.
    log.confirm(Start - milliseconds(300), 2);
    BOOST_CHECK(changesAfter(log, {}, Start + milliseconds(250)).age == milliseconds(250));
}

BOOST_AUTO_TEST_CASE(forgottenRemovalsMakeTheNextResponseComplete)
{
    RelayLog log({ .kind = platform::ObjectKind::Servers, .source = 7, .maxRemovals = 2 });
    log.applyTable(
        tableOf({ server("a", 1, 1), server("b", 1, 1), server("c", 1, 1), server("d", 1, 1) }), 2,
        {});
    log.confirm(Start, 2);
    const RelayPosition position = changesAfter(log, {}, Start).position;
    log.applyTable(tableOf({ server("a", 1, 1) }), 3, {});
    BOOST_CHECK(changesAfter(log, position, Start).content == RelayContent::All);
}

BOOST_AUTO_TEST_CASE(configurationWrittenAgainWithTheSameHeaderIsPassedOnWithItsNewRevision)
{
    RelayLog log({ .kind = platform::ObjectKind::Configuration, .source = 7 });
    platform::StoredObject header { .name = "main", .revision = 2 };
    header.text = "{\"version\":4}";
    log.applyTable(tableOf({ header }), 2, {});
    log.confirm(Start, 2);
    const RelayPosition position = changesAfter(log, {}, Start).position;
    header.revision = 3;
    BOOST_TEST(log.applyTable(tableOf({ header }), 3, {}));
    log.confirm(Start, 3);
    const RelayedChanges changes = changesAfter(log, position, Start);
    BOOST_REQUIRE(changes.events.size() == 1U);
    BOOST_TEST(changes.events[0].object.revision == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
