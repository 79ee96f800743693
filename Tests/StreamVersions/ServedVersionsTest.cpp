#include <boost/test/unit_test.hpp>

#include "StreamVersions/ServedVersions.h"

namespace jacinthroad {

namespace {

const ServiceId Service("svc");
constexpr int RetentionMs = 60'000;
constexpr int ValidityMs = 35'000;

Instant at(int ms)
{
    return Instant(std::chrono::hours(1)) + milliseconds(ms);
}

/// A store with the object, and a node whose calls it answers at once.
struct Fixture
{
    Fixture() { node.setServices({ Service }); }

    /// The store's list shows these versions now.
    void list(const VersionSet &versions, int ms)
    {
        node.setListed({ { Service, versions } }, at(ms));
        node.confirmList(at(ms));
    }

    /// Makes all calls that are due; returns their number.
    int run(int ms)
    {
        int calls = 0;
        for (auto call = node.nextCall(at(ms)); call.has_value(); call = node.nextCall(at(ms))) {
            BOOST_REQUIRE(++calls < 10);
            if (std::holds_alternative<ReadVersionTable>(*call)) {
                answerRead(ms);
                continue;
            }
            ++writes;
            const auto &write = std::get<WriteVersionTable>(*call);
            if (write.revision == revision) {
                revision = revision.value_or(10) + 1;
                content = write.content;
            }
            answerRead(ms);
        }
        return calls;
    }

    void answerRead(int ms)
    {
        if (revision.has_value()) {
            node.noteRead(content, *revision, at(ms), at(ms));
        } else {
            node.noteMissing(at(ms), at(ms));
        }
    }

    /// Confirms the list every second, up to and including `end`.
    void pass(int begin, int end)
    {
        for (int ms = begin; ms <= end; ms += 1000) {
            node.confirmList(at(ms));
            run(ms);
        }
    }

    [[nodiscard]] VersionSet admitted(int ms) const
    {
        const VersionTable table = node.admitted(at(ms));
        return table.contains(Service) ? table.at(Service) : VersionSet {};
    }

    [[nodiscard]] VersionSet stored() const
    {
        return content.versions.contains(Service) ? content.versions.at(Service) : VersionSet {};
    }

    std::optional<std::uint64_t> revision;
    KeptVersions content;
    int writes = 0;
    ServedVersions node;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServedVersionsTest)

BOOST_AUTO_TEST_CASE(versionIsAdmittedOnlyOnceTheStoreHasAcknowledgedIt)
{
    Fixture fixture;
    fixture.list({ "v1" }, 0);
    BOOST_TEST(fixture.admitted(0).empty());
    BOOST_TEST(fixture.run(0) == 2);
    BOOST_TEST((fixture.admitted(0) == VersionSet { "v1" }));
    fixture.list({ "v1", "v2" }, 1000);
    BOOST_TEST((fixture.admitted(1000) == VersionSet { "v1" }));
    BOOST_TEST((fixture.node.known(Service, at(1000)) == VersionSet { "v1", "v2" }));
    fixture.run(1000);
    BOOST_TEST((fixture.admitted(1000) == VersionSet { "v1", "v2" }));
    BOOST_TEST((fixture.stored() == VersionSet { "v1", "v2" }));
}

BOOST_AUTO_TEST_CASE(idleNodeMakesNoCalls)
{
    Fixture fixture;
    BOOST_TEST(!ServedVersions().nextCall(at(0)).has_value());
    fixture.list({ "v1" }, 0);
    fixture.run(0);
    for (int ms = 1000; ms < 3 * RetentionMs; ms += 1000) {
        fixture.node.confirmList(at(ms));
        BOOST_TEST(fixture.run(ms) == 0);
    }
}

BOOST_AUTO_TEST_CASE(versionIsRemovedAfterTheRetentionAndTheLastOneStays)
{
    Fixture fixture;
    fixture.list({ "v1", "v2" }, 0);
    fixture.run(0);
    fixture.list({ "v2" }, 1000);
    fixture.pass(1000, RetentionMs);
    BOOST_TEST((fixture.stored() == VersionSet { "v1", "v2" }));
    BOOST_TEST((fixture.admitted(RetentionMs) == VersionSet { "v1", "v2" }));
    // The removal is announced, and follows once the list was confirmed again.
    fixture.pass(RetentionMs + 1000, RetentionMs + 1000);
    fixture.run(RetentionMs + 1900);
    BOOST_TEST((fixture.stored() == VersionSet { "v1", "v2" }));
    BOOST_TEST((fixture.content.leaving == VersionTable { { Service, { "v1" } } }));
    fixture.pass(RetentionMs + 2000, RetentionMs + 3000);
    BOOST_TEST((fixture.stored() == VersionSet { "v2" }));
    BOOST_TEST(fixture.content.leaving.empty());
    BOOST_TEST((fixture.node.known(Service, at(RetentionMs + 3000)) == VersionSet { "v2" }));
    fixture.list({}, RetentionMs + 4000);
    fixture.pass(RetentionMs + 4000, 3 * RetentionMs);
    BOOST_TEST((fixture.stored() == VersionSet { "v2" }));
}

BOOST_AUTO_TEST_CASE(versionIsNotRemovedIfTheListWasNotConfirmedAllTheTime)
{
    Fixture fixture;
    fixture.list({ "v1", "v2" }, 0);
    fixture.run(0);
    fixture.list({ "v2" }, 1000);
    fixture.pass(2000, 10'000);
    const int regained = 10'000 + ValidityMs + 30'000;
    fixture.pass(regained, regained + RetentionMs - 1000);
    BOOST_TEST((fixture.stored() == VersionSet { "v1", "v2" }));
}

BOOST_AUTO_TEST_CASE(nothingIsAdmittedWhileTheListIsTooOldAndUntilTheTableIsReadAgain)
{
    Fixture fixture;
    fixture.list({ "v1" }, 0);
    fixture.run(0);
    BOOST_TEST((fixture.admitted(ValidityMs - 1) == VersionSet { "v1" }));
    BOOST_TEST(fixture.admitted(ValidityMs).empty());
    BOOST_TEST((fixture.node.nextChange(at(0)) == at(ValidityMs)));
    fixture.node.confirmList(at(ValidityMs + 5000));
    BOOST_TEST(fixture.admitted(ValidityMs + 5000).empty());
    BOOST_TEST(fixture.run(ValidityMs + 5000) == 1);
    BOOST_TEST((fixture.admitted(ValidityMs + 5000) == VersionSet { "v1" }));
}

BOOST_AUTO_TEST_CASE(versionThatReturnsIsUsedOnlyOnceItsRemovalIsRuledOut)
{
    Fixture fixture;
    fixture.list({ "v1", "v2" }, 0);
    fixture.run(0);
    fixture.list({ "v2" }, 1000);
    fixture.pass(2000, 50'000);
    // Another node has announced the removal.
    fixture.content.leaving[Service].insert("v1");
    fixture.revision = *fixture.revision + 1;
    fixture.list({ "v1", "v2" }, 51'000);
    BOOST_TEST((fixture.admitted(51'000) == VersionSet { "v2" }));
    const int writes = fixture.writes;
    fixture.run(51'000);
    BOOST_TEST(fixture.writes == writes + 1);
    BOOST_TEST(fixture.content.leaving.empty());
    BOOST_TEST((fixture.admitted(51'000) == VersionSet { "v1", "v2" }));
}

BOOST_AUTO_TEST_CASE(restoredStoreGetsTheVersionsThatTheNodeKnows)
{
    Fixture fixture;
    fixture.content.versions[Service] = { "v0", "v1" };
    fixture.revision = 20;
    fixture.list({ "v1", "v2" }, 0);
    fixture.run(0);
    fixture.content.versions[Service] = { "v1" };
    fixture.revision = 5;
    fixture.node.noteRestored();
    BOOST_TEST(fixture.admitted(1000).empty());
    BOOST_TEST((fixture.node.known(Service, at(1000)) == VersionSet { "v0", "v1", "v2" }));
    fixture.run(1000);
    BOOST_TEST((fixture.stored() == VersionSet { "v0", "v1", "v2" }));
    BOOST_TEST((fixture.admitted(1000) == VersionSet { "v0", "v1", "v2" }));
}

BOOST_AUTO_TEST_CASE(unreadableTableIsWrittenAgain)
{
    Fixture fixture;
    fixture.content.versions[Service] = { "v0", "v1" };
    fixture.revision = 20;
    fixture.list({ "v1" }, 0);
    fixture.run(0);
    fixture.revision = 21;
    fixture.node.noteRead(std::nullopt, 21, at(1000), at(1000));
    BOOST_TEST(fixture.admitted(1000).empty());
    fixture.run(1000);
    BOOST_TEST((fixture.stored() == VersionSet { "v0", "v1" }));
}

BOOST_AUTO_TEST_CASE(failedCallsAreRepeatedWithGrowingPauses)
{
    Fixture fixture;
    fixture.list({ "v1" }, 0);
    int calls = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        if (fixture.node.nextCall(at(ms)).has_value()) {
            ++calls;
            fixture.node.noteFailed(at(ms));
        }
    }
    BOOST_TEST(calls >= 10);
    BOOST_TEST(calls <= 16);
    fixture.run(11'000);
    BOOST_TEST((fixture.admitted(11'000) == VersionSet { "v1" }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
