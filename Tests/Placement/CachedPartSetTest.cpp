#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/CachedPartSet.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(HeldPartsTest)

BOOST_AUTO_TEST_CASE(partsCountFromTheHeadOnly)
{
    CachedPartSet held(10000);
    const std::vector<CachedPart> prompt { { 1, 1000 }, { 2, 2000 } };
    held.noteSent(prompt);
    BOOST_TEST(held.cachedTokens(prompt) == 3000U);
    BOOST_TEST(held.cachedTokens(std::vector<CachedPart> { { 1, 1000 }, { 9, 2000 } }) == 1000U);
    BOOST_TEST(held.cachedTokens(std::vector<CachedPart> { { 9, 500 }, { 2, 2000 } }) == 0U);
}

BOOST_AUTO_TEST_CASE(whatIsStillBeingReadCannotBeFetched)
{
    CachedPartSet held(10000);
    const std::vector<CachedPart> prompt { { 1, 1000 }, { 2, 2000 } };
    held.noteSent(prompt);
    BOOST_TEST(held.fetchableTokens(prompt) == 0U);
    held.notePrefilled(prompt);
    BOOST_TEST(held.fetchableTokens(prompt) == 3000U);
    held.noteSent(prompt);
    BOOST_TEST(held.fetchableTokens(prompt) == 3000U);
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedPartsAreDroppedFirst)
{
    CachedPartSet held(5000);
    const std::vector<CachedPart> first { { 1, 2000 } };
    const std::vector<CachedPart> second { { 2, 2000 } };
    const std::vector<CachedPart> third { { 3, 2000 } };
    held.notePrefilled(first);
    held.notePrefilled(second);
    held.notePrefilled(first);
    held.notePrefilled(third);
    BOOST_TEST(held.cachedTokens(first) == 2000U);
    BOOST_TEST(held.cachedTokens(second) == 0U);
    BOOST_TEST(held.cachedTokens(third) == 2000U);
}

BOOST_AUTO_TEST_CASE(aPartThatIsStillGrowingIsNotHeldAsAWhole)
{
    CachedPartSet held(10000);
    const std::vector<CachedPart> part { { 1, 2000 } };
    held.notePrefilled(std::vector<CachedPart> { { 1, 1024 } });
    BOOST_TEST(held.cachedTokens(part) == 0U);
    held.notePrefilled(std::vector<CachedPart> { { 1, 1983 } });
    BOOST_TEST(held.fetchableTokens(part) == 0U);
    // Less than one block of sixteen tokens may be missing at the end.
    held.notePrefilled(std::vector<CachedPart> { { 1, 1984 } });
    BOOST_TEST(held.fetchableTokens(part) == 2000U);
    held.noteRemoved(1);
    BOOST_TEST(held.cachedTokens(part) == 0U);
}

BOOST_AUTO_TEST_CASE(eventsOfAGrowingPartDoNotFinishOneThatWasSent)
{
    CachedPartSet held(10000);
    const std::vector<CachedPart> part { { 1, 2000 } };
    held.noteSent(part);
    held.notePrefilled(std::vector<CachedPart> { { 1, 1024 } });
    BOOST_TEST(held.fetchableTokens(part) == 0U);
    held.notePrefilled(part);
    BOOST_TEST(held.fetchableTokens(part) == 2000U);
}

BOOST_AUTO_TEST_CASE(saltsKeepWeightsAndWallsApart)
{
    const ModelId model("m");
    const std::uint64_t key = partKey(model, cacheSalt(1, ""), 7);
    BOOST_TEST(key == partKey(model, "v1", 7));
    BOOST_TEST(key != partKey(model, cacheSalt(2, ""), 7));
    BOOST_TEST(key != partKey(model, cacheSalt(1, "north"), 7));
    BOOST_TEST(key != partKey(ModelId("n"), cacheSalt(1, ""), 7));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
