#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/CachedPartSet.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(CachedPartSetTest)

BOOST_AUTO_TEST_CASE(onlyLeadingPartsCount)
{
    CachedPartSet cache(10000);
    const std::vector<CachedPart> prompt { { 1, 1000 }, { 2, 2000 } };
    cache.noteSent(prompt);
    BOOST_TEST(cache.cachedTokens(prompt) == 3000U);
    BOOST_TEST(cache.cachedTokens(std::vector<CachedPart> { { 1, 1000 }, { 9, 2000 } }) == 1000U);
    BOOST_TEST(cache.cachedTokens(std::vector<CachedPart> { { 9, 500 }, { 2, 2000 } }) == 0U);
}

BOOST_AUTO_TEST_CASE(partsDuringPrefillCannotBeFetched)
{
    CachedPartSet cache(10000);
    const std::vector<CachedPart> prompt { { 1, 1000 }, { 2, 2000 } };
    cache.noteSent(prompt);
    BOOST_TEST(cache.fetchableTokens(prompt) == 0U);
    cache.notePrefilled(prompt);
    BOOST_TEST(cache.fetchableTokens(prompt) == 3000U);
    cache.noteSent(prompt);
    BOOST_TEST(cache.fetchableTokens(prompt) == 3000U);
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedPartsAreEvictedFirst)
{
    CachedPartSet cache(5000);
    const std::vector<CachedPart> first { { 1, 2000 } };
    const std::vector<CachedPart> second { { 2, 2000 } };
    const std::vector<CachedPart> third { { 3, 2000 } };
    cache.notePrefilled(first);
    cache.notePrefilled(second);
    cache.notePrefilled(first);
    cache.notePrefilled(third);
    BOOST_TEST(cache.cachedTokens(first) == 2000U);
    BOOST_TEST(cache.cachedTokens(second) == 0U);
    BOOST_TEST(cache.cachedTokens(third) == 2000U);
}

BOOST_AUTO_TEST_CASE(incompletePartIsNotCached)
{
    CachedPartSet cache(10000);
    const std::vector<CachedPart> part { { 1, 2000 } };
    cache.notePrefilled(std::vector<CachedPart> { { 1, 1024 } });
    BOOST_TEST(cache.cachedTokens(part) == 0U);
    cache.notePrefilled(std::vector<CachedPart> { { 1, 1983 } });
    BOOST_TEST(cache.fetchableTokens(part) == 0U);
    // Up to one block of 16 tokens may be missing at the end.
    cache.notePrefilled(std::vector<CachedPart> { { 1, 1984 } });
    BOOST_TEST(cache.fetchableTokens(part) == 2000U);
    cache.noteRemoved(1);
    BOOST_TEST(cache.cachedTokens(part) == 0U);
}

BOOST_AUTO_TEST_CASE(eventsOfAnIncompletePartDoNotCompleteASentOne)
{
    CachedPartSet cache(10000);
    const std::vector<CachedPart> part { { 1, 2000 } };
    cache.noteSent(part);
    cache.notePrefilled(std::vector<CachedPart> { { 1, 1024 } });
    BOOST_TEST(cache.fetchableTokens(part) == 0U);
    cache.notePrefilled(part);
    BOOST_TEST(cache.fetchableTokens(part) == 2000U);
}

BOOST_AUTO_TEST_CASE(saltsSeparateWeightsAndIsolationScopes)
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
