#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/HeldParts.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(HeldPartsTest)

BOOST_AUTO_TEST_CASE(partsCountFromTheHeadOnly)
{
    HeldParts held(10000);
    const std::vector<PromptPrefix> prompt { { 1, 1000 }, { 2, 3000 } };
    held.noteSent(prompt);
    BOOST_TEST(held.heldTokens(prompt) == 3000U);
    BOOST_TEST(held.heldTokens(std::vector<PromptPrefix> { { 1, 1000 }, { 9, 2000 } }) == 1000U);
    BOOST_TEST(held.heldTokens(std::vector<PromptPrefix> { { 9, 500 }, { 2, 3000 } }) == 0U);
}

BOOST_AUTO_TEST_CASE(whatIsStillBeingReadCannotBeFetched)
{
    HeldParts held(10000);
    const std::vector<PromptPrefix> prompt { { 1, 1000 }, { 2, 3000 } };
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
    const std::vector<PromptPrefix> first { { 1, 2000 } };
    const std::vector<PromptPrefix> second { { 2, 2000 } };
    const std::vector<PromptPrefix> third { { 3, 2000 } };
    held.noteRead(first);
    held.noteRead(second);
    held.noteRead(first);
    held.noteRead(third);
    BOOST_TEST(held.heldTokens(first) == 2000U);
    BOOST_TEST(held.heldTokens(second) == 0U);
    BOOST_TEST(held.heldTokens(third) == 2000U);
}

BOOST_AUTO_TEST_CASE(severalPromptsInOneListCountTheirOwnTokens)
{
    HeldParts held(4000);
    held.noteRead(std::vector<PromptPrefix> { { 1, 1000 }, { 2, 1500 }, { 3, 800 } });
    // 1000 + 500 + 800 tokens leave room for 1700 more.
    held.noteRead(std::vector<PromptPrefix> { { 4, 1700 } });
    BOOST_TEST(held.heldTokens(std::vector<PromptPrefix> { { 1, 1000 } }) == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
