#include "PrefixIndex/PrefixIndex.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthroad;

namespace {

Instant at(int ms)
{
    return Instant() + milliseconds(ms);
}

std::vector<BlockKey> keysOf(const char *team, const char *version, const std::string &prompt)
{
    const TeamId teamId { std::string(team) };
    const ModelId model { std::string("m") };
    return blockKeys(scopeSeed({ .team = teamId, .model = model, .version = version }), prompt, 4);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixIndexTest)

BOOST_AUTO_TEST_CASE(keysOfOtherTeamsAndWeightsNeverMatch)
{
    const std::string prompt(160, 'x');
    const auto own = keysOf("a", "v1", prompt);
    BOOST_TEST(own.size() == 10U);
    for (const auto &other : { keysOf("b", "v1", prompt), keysOf("a", "v2", prompt) }) {
        for (std::size_t index = 0; index < own.size(); ++index) {
            BOOST_TEST(own[index] != other[index]);
        }
    }
}

BOOST_AUTO_TEST_CASE(keyDependsOnEverythingBefore)
{
    std::string changed(160, 'x');
    changed[0] = 'y';
    const auto first = keysOf("a", "v1", std::string(160, 'x'));
    const auto second = keysOf("a", "v1", changed);
    BOOST_TEST(first.back() != second.back());
}

BOOST_AUTO_TEST_CASE(newEpochInvalidatesTheEntriesOfOneServer)
{
    PrefixIndex index({});
    index.resize(2);
    const auto keys = keysOf("a", "v1", std::string(160, 'x'));
    index.noteStored(0, keys, at(0));
    index.noteStored(1, std::span(keys).first(4), at(0));
    BOOST_TEST(index.matchAll(keys, at(10)) == (std::vector<std::uint32_t> { 10, 4 }),
               boost::test_tools::per_element());
    index.newEpoch(0);
    BOOST_TEST(index.matchAll(keys, at(10))[0] == 0U);
    BOOST_TEST(index.matchAll(keys, at(10))[1] == 4U);
    BOOST_TEST(index.seenBlocks(keys) == 10U);
}

BOOST_AUTO_TEST_CASE(oneSampledKeyImpliesAllEarlierBlocks)
{
    PrefixIndex index({});
    index.resize(1);
    const auto keys = keysOf("a", "v1", std::string(160, 'x'));
    index.noteStored(0, std::span(keys).subspan(7, 1), at(0));
    BOOST_TEST(index.matchAll(keys, at(1))[0] == 8U);
}

BOOST_AUTO_TEST_CASE(wrongEstimatesShortenTheHorizon)
{
    PrefixIndex index({ .initialHorizon = std::chrono::seconds(30) });
    index.resize(1);
    const auto keys = keysOf("a", "v1", std::string(160, 'x'));
    for (int round = 0; round < 40; ++round) {
        index.noteStored(0, keys, at(round * 2000));
        index.noteObserved(0, keys, 0, at(round * 2000 + 1000));
    }
    BOOST_TEST((index.horizon(0) < std::chrono::seconds(2)));
    index.noteStored(0, keys, at(100000));
    BOOST_TEST(index.matchAll(keys, at(100100))[0] == 10U);
    BOOST_TEST(index.matchAll(keys, at(109000))[0] == 0U);
}

BOOST_AUTO_TEST_CASE(staysWithinItsCapacity)
{
    PrefixIndex index({ .capacityBlocks = 1000 });
    index.resize(1);
    for (BlockKey key = 1; key < 10000; ++key) {
        index.noteStored(0, std::span(&key, 1), at(static_cast<int>(key)));
    }
    BOOST_TEST(index.size() <= 1000U);
    const BlockKey last = 9999;
    BOOST_TEST(index.matchAll(std::span(&last, 1), at(10000))[0] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
