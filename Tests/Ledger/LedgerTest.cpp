#include "Ledger/Ledger.h"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

BOOST_AUTO_TEST_SUITE(LedgerTest)

BOOST_AUTO_TEST_CASE(tokenKindsAddUpToThePrompt)
{
    std::mt19937_64 random(7);
    std::uniform_int_distribution<std::uint64_t> tokens(0, 5000);
    for (int round = 0; round < 2000; ++round) {
        const PromptUsage usage { .promptTokens = tokens(random),
                                  .cachedTokens = tokens(random),
                                  .previouslyComputedTokens = tokens(random),
                                  .reason = RecomputeReason::RoutedAway };
        const LedgerLine line = ledgerLineOf(usage);
        std::uint64_t sum = line.reused + line.firstTime;
        for (const std::uint64_t part : line.recomputed) {
            sum += part;
        }
        BOOST_TEST_REQUIRE(sum == usage.promptTokens);
    }
}

BOOST_AUTO_TEST_CASE(computedBeforeButNotCachedIsRecomputed)
{
    const LedgerLine line = ledgerLineOf({ .promptTokens = 100,
                                           .cachedTokens = 20,
                                           .previouslyComputedTokens = 70,
                                           .reason = RecomputeReason::Evicted });
    BOOST_TEST(line.reused == 20U);
    BOOST_TEST(line.recomputed[0] == 50U);
    BOOST_TEST(line.firstTime == 30U);
}

BOOST_AUTO_TEST_SUITE_END()
