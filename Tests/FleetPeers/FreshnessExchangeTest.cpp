#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "FleetPeers/FreshnessExchange.h"

namespace jacinthroad {

namespace {

constexpr std::uint64_t Boot = 7;
constexpr Duration OldAfter = milliseconds(1500);

BootInstant at(std::int64_t milli)
{
    return { milliseconds(milli) };
}

NodeDigest digestOf(const std::string &node, std::uint64_t sequence, std::uint32_t ageMs,
                    std::uint64_t version = 1)
{
    return { .node = node,
             .boot = Boot,
             .sequence = sequence,
             .configurationVersion = version,
             .configurationAgeMs = ageMs };
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessExchangeTest)

BOOST_AUTO_TEST_CASE(anEchoProvesTheAgeFromTheSendingTime)
{
    FreshnessExchange cutOff({ .self = "a", .boot = Boot });
    FreshnessExchange inTouch({ .self = "b", .boot = Boot });
    cutOff.noteSent(1, at(5000));
    cutOff.noteSent(2, at(5200));
    inTouch.noteReceived(digestOf("a", 2, 3000), OldAfter);
    NodeDigest answer = digestOf("b", 1, 400);
    answer.echoes = inTouch.takeEchoes();
    BOOST_REQUIRE(answer.echoes.size() == 1U);
    // However late it comes.
    BOOST_TEST((cutOff.confirmedBy(answer, 1) == at(4800)));
    BOOST_TEST(inTouch.takeEchoes().empty());
}

BOOST_AUTO_TEST_CASE(anAgeWithoutAnEchoProvesNothing)
{
    FreshnessExchange cutOff({ .self = "a", .boot = Boot });
    cutOff.noteSent(1, at(5000));
    BOOST_TEST(!cutOff.confirmedBy(digestOf("b", 1, 0), 1).has_value());
    NodeDigest answer = digestOf("b", 1, 0);
    answer.echoes = { { .node = "a", .boot = Boot + 1, .sequence = 1 } };
    BOOST_TEST(!cutOff.confirmedBy(answer, 1).has_value());
    answer.echoes = { { .node = "c", .boot = Boot, .sequence = 1 } };
    BOOST_TEST(!cutOff.confirmedBy(answer, 1).has_value());
    answer.echoes = { { .node = "a", .boot = Boot, .sequence = 9 } };
    BOOST_TEST(!cutOff.confirmedBy(answer, 1).has_value());
    answer.echoes = { { .node = "a", .boot = Boot, .sequence = 1 } };
    BOOST_TEST(!cutOff.confirmedBy(answer, 2).has_value());
    answer.configurationAgeMs = UnknownAgeMs;
    BOOST_TEST(!cutOff.confirmedBy(answer, 1).has_value());
}

BOOST_AUTO_TEST_CASE(nodesInTouchAskForNothing)
{
    FreshnessExchange node({ .self = "b", .boot = Boot });
    node.noteReceived(digestOf("a", 1, 900), OldAfter);
    node.noteReceived(digestOf("c", 1, UnknownAgeMs), OldAfter);
    BOOST_TEST(node.takeEchoes().empty());
}

BOOST_AUTO_TEST_CASE(noDelayEverMakesAConfigurationLookNewer)
{
    // One node is cut off from the store and two read it. Digests take up to four seconds, are
    // lost and overtake each other; versions change at random.
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        const auto upTo
            = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
        struct Reader
        {
            FreshnessExchange exchange;
            std::uint64_t version = 1;
            std::int64_t confirmedAt = 0;
        };
        FreshnessExchange cutOff({ .self = "a", .boot = Boot });
        std::vector<Reader> readers;
        readers.push_back({ .exchange = FreshnessExchange({ .self = "b", .boot = Boot }) });
        readers.push_back({ .exchange = FreshnessExchange({ .self = "c", .boot = Boot }) });
        std::uint64_t newest = 1;
        std::optional<std::int64_t> replacedAt;
        std::multimap<std::int64_t, NodeDigest> toReaders[2];
        std::multimap<std::int64_t, NodeDigest> toCutOff;
        unsigned confirmations = 0;
        for (std::int64_t now = 0; now < 30000; now += 50) {
            if (now > 15000 && upTo(200) == 0) {
                ++newest;
                replacedAt = replacedAt.value_or(now);
            }
            if (now % 200 == 0) {
                const auto sequence = static_cast<std::uint64_t>(now / 200 + 1);
                cutOff.noteSent(sequence, at(now));
                for (auto &way : toReaders) {
                    if (upTo(4) > 0) {
                        way.emplace(now + upTo(4000), digestOf("a", sequence, 5000));
                    }
                }
            }
            for (std::size_t index = 0; index < readers.size(); ++index) {
                Reader &reader = readers[index];
                auto &way = toReaders[index];
                while (!way.empty() && way.begin()->first <= now) {
                    reader.exchange.noteReceived(way.begin()->second, OldAfter);
                    way.erase(way.begin());
                }
                if (upTo(10) == 0) {
                    reader.version = newest;
                    reader.confirmedAt = now;
                }
                if (upTo(4) == 0) {
                    NodeDigest digest = digestOf(
                        index == 0 ? "b" : "c", static_cast<std::uint64_t>(now),
                        static_cast<std::uint32_t>(now - reader.confirmedAt), reader.version);
                    digest.echoes = reader.exchange.takeEchoes();
                    toCutOff.emplace(now + upTo(4000), std::move(digest));
                }
            }
            while (!toCutOff.empty() && toCutOff.begin()->first <= now) {
                const auto confirmed = cutOff.confirmedBy(toCutOff.begin()->second, 1);
                toCutOff.erase(toCutOff.begin());
                if (confirmed.has_value()) {
                    ++confirmations;
                    BOOST_TEST((!replacedAt.has_value() || *confirmed <= at(*replacedAt)));
                }
            }
        }
        BOOST_TEST(confirmations > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
