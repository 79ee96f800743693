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
    FreshnessExchange isolatedNode({ .self = "a", .boot = Boot });
    FreshnessExchange connectedNode({ .self = "b", .boot = Boot });
    isolatedNode.noteSent(1, at(5000));
    isolatedNode.noteSent(2, at(5200));
    connectedNode.noteReceived(digestOf("a", 2, 3000), OldAfter);
    NodeDigest reply = digestOf("b", 1, 400);
    reply.echoes = connectedNode.takeEchoes();
    BOOST_REQUIRE(reply.echoes.size() == 1U);
    // The result does not depend on when the digest is received.
    BOOST_TEST((isolatedNode.confirmedBy(reply, 1, 0) == at(4800)));
    BOOST_TEST(connectedNode.takeEchoes().empty());
}

BOOST_AUTO_TEST_CASE(anAgeWithoutAnEchoProvesNothing)
{
    FreshnessExchange isolatedNode({ .self = "a", .boot = Boot });
    isolatedNode.noteSent(1, at(5000));
    BOOST_TEST(!isolatedNode.confirmedBy(digestOf("b", 1, 0), 1, 0).has_value());
    NodeDigest reply = digestOf("b", 1, 0);
    reply.echoes = { { .node = "a", .boot = Boot + 1, .sequence = 1 } };
    BOOST_TEST(!isolatedNode.confirmedBy(reply, 1, 0).has_value());
    reply.echoes = { { .node = "c", .boot = Boot, .sequence = 1 } };
    BOOST_TEST(!isolatedNode.confirmedBy(reply, 1, 0).has_value());
    reply.echoes = { { .node = "a", .boot = Boot, .sequence = 9 } };
    BOOST_TEST(!isolatedNode.confirmedBy(reply, 1, 0).has_value());
    reply.echoes = { { .node = "a", .boot = Boot, .sequence = 1 } };
    BOOST_TEST(!isolatedNode.confirmedBy(reply, 2, 0).has_value());
    reply.configurationAgeMs = UnknownAgeMs;
    BOOST_TEST(!isolatedNode.confirmedBy(reply, 1, 0).has_value());
}

BOOST_AUTO_TEST_CASE(peerWithAnotherConfigurationOfTheSameVersionConfirmsNothing)
{
    // A restored store assigned version 1 again; only the peer has read that.
    FreshnessExchange isolatedNode({ .self = "a", .boot = Boot });
    isolatedNode.noteSent(1, at(5000));
    NodeDigest reply = digestOf("b", 1, 0);
    reply.configurationHash = 51;
    reply.echoes = { { .node = "a", .boot = Boot, .sequence = 1 } };
    BOOST_TEST(!isolatedNode.confirmedBy(reply, 1, 50).has_value());
    BOOST_TEST(isolatedNode.confirmedBy(reply, 1, 51).has_value());
}

BOOST_AUTO_TEST_CASE(nodesWithCurrentConfigurationAreNotEchoed)
{
    FreshnessExchange node({ .self = "b", .boot = Boot });
    node.noteReceived(digestOf("a", 1, 900), OldAfter);
    node.noteReceived(digestOf("c", 1, UnknownAgeMs), OldAfter);
    BOOST_TEST(node.takeEchoes().empty());
}

BOOST_AUTO_TEST_CASE(delayedDigestsNeverConfirmAReplacedConfiguration)
{
    // One node cannot reach the store and two nodes read it. Digests are delayed by up to four
    // seconds, lost and reordered; versions change at random.
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
        FreshnessExchange isolatedNode({ .self = "a", .boot = Boot });
        std::vector<Reader> readers;
        readers.push_back({ .exchange = FreshnessExchange({ .self = "b", .boot = Boot }) });
        readers.push_back({ .exchange = FreshnessExchange({ .self = "c", .boot = Boot }) });
        std::uint64_t newest = 1;
        std::optional<std::int64_t> replacedAt;
        std::multimap<std::int64_t, NodeDigest> toReaders[2];
        std::multimap<std::int64_t, NodeDigest> toIsolatedNode;
        unsigned confirmations = 0;
        for (std::int64_t now = 0; now < 30000; now += 50) {
            if (now > 15000 && upTo(200) == 0) {
                ++newest;
                replacedAt = replacedAt.value_or(now);
            }
            if (now % 200 == 0) {
                const auto sequence = static_cast<std::uint64_t>(now / 200 + 1);
                isolatedNode.noteSent(sequence, at(now));
                for (auto &queue : toReaders) {
                    if (upTo(4) > 0) {
                        queue.emplace(now + upTo(4000), digestOf("a", sequence, 5000));
                    }
                }
            }
            for (std::size_t index = 0; index < readers.size(); ++index) {
                Reader &reader = readers[index];
                auto &queue = toReaders[index];
                while (!queue.empty() && queue.begin()->first <= now) {
                    reader.exchange.noteReceived(queue.begin()->second, OldAfter);
                    queue.erase(queue.begin());
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
                    toIsolatedNode.emplace(now + upTo(4000), std::move(digest));
                }
            }
            while (!toIsolatedNode.empty() && toIsolatedNode.begin()->first <= now) {
                const auto confirmed
                    = isolatedNode.confirmedBy(toIsolatedNode.begin()->second, 1, 0);
                toIsolatedNode.erase(toIsolatedNode.begin());
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
