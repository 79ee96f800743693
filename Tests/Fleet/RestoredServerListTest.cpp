#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Fleet/RestoredServerList.h"

namespace jacinthroad {

namespace {

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(milli));
}

ServerEntry entry(const std::string &id, std::uint64_t revision, bool leaving = false,
                  std::int64_t bootedAt = 1)
{
    return { .server = { .id = ServerId(id), .leaving = leaving, .bootedAt = bootedAt },
             .revision = revision };
}

/// The servers in use, with a minus sign behind those that leave.
std::string text(const std::vector<ListedServer> &servers)
{
    std::vector<std::string> names;
    names.reserve(servers.size());
    for (const ListedServer &server : servers) {
        names.push_back(server.id.text() + (server.leaving ? "- " : " "));
    }
    std::sort(names.begin(), names.end());
    std::string joined;
    for (const std::string &name : names) {
        joined += name;
    }
    return joined;
}

struct Fixture
{
    RestoredServerList list { { .missingGrace = milliseconds(2500),
                                .leftMemory = milliseconds(60000) } };

    std::string apply(std::vector<ServerEntry> entries, std::uint64_t era, std::int64_t milli)
    {
        return text(list.apply(entries, era, at(milli)));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestoredServerListTest, Fixture)

BOOST_AUTO_TEST_CASE(listIsUnchangedWithoutARestore)
{
    for (const std::uint64_t era : { 0, 1 }) {
        BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, era, 0) == "a b ");
        BOOST_TEST(apply({ entry("a", 1, true) }, era, 100) == "a- ");
        BOOST_TEST(apply({}, era, 200) == "");
        BOOST_TEST(apply({ entry("a", 3), entry("b", 2) }, era, 300) == "a b ");
        BOOST_TEST(!list.applyAgainAt().has_value());
    }
}

BOOST_AUTO_TEST_CASE(serversMissingAfterARestoreStayListedUntilTheyRegisterAgain)
{
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2), entry("c", 3) }, 1, 0) == "a b c ");
    BOOST_TEST(apply({ entry("a", 1) }, 2, 1000) == "a b c ");
    BOOST_TEST((list.applyAgainAt() == at(3500)));
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 2, 2000) == "a b c ");
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 2, 3500) == "a b ");
    BOOST_TEST(!list.applyAgainAt().has_value());
    // After it has registered again, a server that goes is gone.
    BOOST_TEST(apply({ entry("a", 1) }, 2, 3600) == "a ");
}

BOOST_AUTO_TEST_CASE(serverThatIsRemovedAfterItRegisteredAgainIsGoneAtOnce)
{
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 1, 0) == "a b ");
    BOOST_TEST(apply({ entry("a", 1) }, 2, 1000) == "a b ");
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 2, 1500) == "a b ");
    BOOST_TEST(apply({ entry("a", 1) }, 2, 2000) == "a ");
}

BOOST_AUTO_TEST_CASE(leavingServerThatIsReadyInTheCopyStaysLeaving)
{
    BOOST_TEST(apply({ entry("a", 5, true), entry("b", 2) }, 1, 0) == "a- b ");
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 2, 1000) == "a- b ");
    BOOST_TEST(apply({ entry("a", 7), entry("b", 2) }, 2, 2000) == "a- b ");
    // Another start of the server has not left.
    BOOST_TEST(apply({ entry("a", 8, false, 9), entry("b", 2) }, 2, 3000) == "a b ");
}

BOOST_AUTO_TEST_CASE(removedServerThatIsBackInTheCopyIsUsedOnceItWritesItsEntry)
{
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 1, 0) == "a b ");
    BOOST_TEST(apply({ entry("b", 2) }, 1, 500) == "b ");
    BOOST_TEST(apply({ entry("a", 1), entry("b", 2) }, 2, 1000) == "a- b ");
    BOOST_TEST(apply({ entry("a", 1), entry("b", 6) }, 2, 1500) == "a- b ");
    BOOST_TEST(apply({ entry("a", 7), entry("b", 6) }, 2, 2000) == "a b ");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
