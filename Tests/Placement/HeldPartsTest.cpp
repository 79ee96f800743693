#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/HeldParts.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(HeldPartsTest)

BOOST_AUTO_TEST_CASE(partsCountFromTheHeadOnly)
{
    HeldParts held(10000);
    const std::vector<CachedPart> prompt { { 1, 1000 }, { 2, 2000 } };
    held.noteSent(prompt);
    BOOST_TEST(held.heldTokens(prompt) == 3000U);
    BOOST_TEST(held.heldTokens(std::vector<CachedPart> { { 1, 1000 }, { 9, 2000 } }) == 1000U);
    BOOST_TEST(held.heldTokens(std::vector<CachedPart> { { 9, 500 }, { 2, 2000 } }) == 0U);
}

BOOST_AUTO_TEST_CASE(whatIsStillBeingReadCannotBeFetched)
{
    HeldParts held(10000);
    const std::vector<CachedPart> prompt { { 1, 1000 }, { 2, 2000 } };
    held.noteSent(prompt);
    BOOST_TEST(held.readTokens(prompt) == 0U);
    held.noteRead(prompt);
    BOOST_TEST(held.readTokens(prompt) == 3000U);
    held.noteSent(prompt);
    BOOST_TEST(held.readTokens(prompt) == 3000U);
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedPartsAreDroppedFirst)
{
    HeldParts held(5000);
    const std::vector<CachedPart> first { { 1, 2000 } };
    const std::vector<CachedPart> second { { 2, 2000 } };
    const std::vector<CachedPart> third { { 3, 2000 } };
    held.noteRead(first);
    held.noteRead(second);
    held.noteRead(first);
    held.noteRead(third);
    BOOST_TEST(held.heldTokens(first) == 2000U);
    BOOST_TEST(held.heldTokens(second) == 0U);
    BOOST_TEST(held.heldTokens(third) == 2000U);
}

BOOST_AUTO_TEST_CASE(aPartThatIsStillGrowingIsNotHeldAsAWhole)
{
    HeldParts held(10000);
    const std::vector<CachedPart> part { { 1, 2000 } };
    held.noteRead(std::vector<CachedPart> { { 1, 1024 } });
    BOOST_TEST(held.heldTokens(part) == 0U);
    held.noteRead(std::vector<CachedPart> { { 1, 1983 } });
    BOOST_TEST(held.readTokens(part) == 0U);
    // Less than one block of sixteen tokens may be missing at the end.
    held.noteRead(std::vector<CachedPart> { { 1, 1984 } });
    BOOST_TEST(held.readTokens(part) == 2000U);
    held.noteDropped(1);
    BOOST_TEST(held.heldTokens(part) == 0U);
}

BOOST_AUTO_TEST_CASE(eventsOfAGrowingPartDoNotFinishOneThatWasSent)
{
    HeldParts held(10000);
    const std::vector<CachedPart> part { { 1, 2000 } };
    held.noteSent(part);
    held.noteRead(std::vector<CachedPart> { { 1, 1024 } });
    BOOST_TEST(held.readTokens(part) == 0U);
    held.noteRead(part);
    BOOST_TEST(held.readTokens(part) == 2000U);
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
