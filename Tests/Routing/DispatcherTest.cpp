#include <set>

#include <boost/test/unit_test.hpp>

#include "DispatcherBench.h"

using namespace jacinthroad;

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(samePrefixGoesToTheSameServer)
{
    DispatcherBench bench(8);
    std::set<std::string> used;
    for (int index = 0; index < 20; ++index) {
        const auto starts = bench.tell<StartAttempt>(bench.request("r" + std::to_string(index)));
        BOOST_TEST_REQUIRE(starts.size() == 1U);
        used.insert(starts[0].server.text());
        bench.finish(starts[0], index == 0 ? 0 : 960);
        bench.now += milliseconds(100);
    }
    BOOST_TEST(used.size() == 1U);
}

BOOST_AUTO_TEST_CASE(freshNodesAgreeWithoutAMessage)
{
    std::set<std::string> used;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        DispatcherBench bench(8, { .seed = seed });
        used.insert(bench.tell<StartAttempt>(bench.request("r", 4000)).at(0).server.text());
    }
    BOOST_TEST(used.size() == 1U);
}

BOOST_AUTO_TEST_CASE(hotPrefixSpreadsWhenItsServerIsBusy)
{
    DispatcherBench bench(4);
    std::set<std::string> used;
    for (int index = 0; index < 12; ++index) {
        for (const auto &start :
             bench.tell<StartAttempt>(bench.request("r" + std::to_string(index)))) {
            used.insert(start.server.text());
        }
    }
    BOOST_TEST(used.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(nothingIsSaidNotRunOnceAnAttemptMayHaveRun)
{
    DispatcherBench bench(1, { .maximumAttempts = 1 });
    const auto start = bench.tell<StartAttempt>(bench.request("r")).at(0);
    const auto refused = bench.tell<RefuseRequest>(
        AttemptEnded { .id = start.id, .attempt = 1, .end = AttemptEnd::Broken });
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].notRun == NotRun::Unknown));
}

BOOST_AUTO_TEST_CASE(notSentAttemptsProveNotRun)
{
    DispatcherBench bench(1, { .maximumAttempts = 1 });
    const auto start = bench.tell<StartAttempt>(bench.request("r")).at(0);
    const auto refused = bench.tell<RefuseRequest>(
        AttemptEnded { .id = start.id, .attempt = 1, .end = AttemptEnd::NotSent });
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].notRun == NotRun::True));
}

BOOST_AUTO_TEST_CASE(brokenStreamGoesOnElsewhereAfterItsLastToken)
{
    DispatcherBench bench(3);
    const auto first = bench.tell<StartAttempt>(bench.request("r")).at(0);
    static_cast<void>(bench.tell<StartAttempt>(FirstTokenSeen { .id = first.id, .attempt = 1 }));
    const auto second = bench.tell<StartAttempt>(AttemptEnded {
        .id = first.id, .attempt = 1, .end = AttemptEnd::Broken, .deliveredTokens = 17 });
    // The crash made the request a suspect, so it now runs alone.
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].resumeAfterTokens == 17U);
    BOOST_TEST(second[0].server.text() != first.server.text());
}

BOOST_AUTO_TEST_CASE(poisonCostsTwoServersAndNeighboursFinish)
{
    DispatcherBench bench(4);
    int crashes = 0;
    std::set<std::string> crashed;
    // The poison request and two neighbours share a server when the first crash comes.
    std::vector<StartAttempt> open;
    for (const char *id : { "poison", "a", "b" }) {
        for (const auto &start : bench.tell<StartAttempt>(bench.request(id))) {
            open.push_back(start);
        }
    }
    int refused = 0;
    std::size_t finished = 0;
    for (int round = 0; round < 50; ++round) {
        bench.now += milliseconds(200);
        for (const auto &start : bench.tell<StartAttempt>(TimePassed {})) {
            open.push_back(start);
        }
        if (open.empty()) {
            continue;
        }
        const StartAttempt next = open.front();
        open.erase(open.begin());
        if (next.id.text() != "poison") {
            for (const auto &start : bench.finish(next)) {
                open.push_back(start);
            }
            ++finished;
        } else {
            ++crashes;
            crashed.insert(next.server.text());
            std::vector<StartAttempt> victims { next };
            for (const StartAttempt &other : open) {
                if (other.server == next.server) {
                    victims.push_back(other);
                }
            }
            std::erase_if(open, [&](const auto &o) { return o.server == next.server; });
            for (const StartAttempt &victim : victims) {
                const auto effects = bench.dispatcher.handle(
                    AttemptEnded {
                        .id = victim.id, .attempt = victim.attempt, .end = AttemptEnd::Broken },
                    bench.now);
                for (const DispatcherEffect &effect : effects) {
                    if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                        open.push_back(*start);
                    } else if (const auto *refusal = std::get_if<RefuseRequest>(&effect)) {
                        BOOST_TEST((refusal->kind == ErrorKind::Quarantined),
                                   refusal->id.text() << errorResponse(refusal->kind).name);
                        ++refused;
                    }
                }
            }
        }
    }
    BOOST_TEST(crashes == 2);
    BOOST_TEST(refused == 1);
    BOOST_TEST(finished == 2U);
    const auto again = bench.tell<RefuseRequest>(bench.request("poison"));
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST((again[0].notRun == NotRun::True));
}

BOOST_AUTO_TEST_CASE(leavingServerGetsNoNewWork)
{
    DispatcherBench bench(3);
    const auto first = bench.tell<StartAttempt>(bench.request("r0")).at(0);
    for (ServerFacts &server : bench.facts) {
        server.leaving = server.id == first.server;
    }
    bench.dispatcher.configure(bench.facts, { { ModelId("m"), bench.terms } });
    for (int index = 1; index < 9; ++index) {
        for (const auto &start :
             bench.tell<StartAttempt>(bench.request("r" + std::to_string(index)))) {
            BOOST_TEST(start.server.text() != first.server.text());
        }
    }
}

BOOST_AUTO_TEST_CASE(ejectionNeverEmptiesTheFleet)
{
    DispatcherBench bench(4, { .retryShare = 10, .retryReserve = 1000, .maximumAttempts = 6 });
    for (int index = 0; index < 30; ++index) {
        std::vector<StartAttempt> starts
            = bench.tell<StartAttempt>(bench.request("r" + std::to_string(index)));
        BOOST_TEST(!starts.empty());
        while (!starts.empty()) {
            starts = bench.tell<StartAttempt>(AttemptEnded {
                .id = starts[0].id, .attempt = starts[0].attempt, .end = AttemptEnd::NotSent });
        }
        bench.now += milliseconds(5);
    }
    BOOST_TEST(!bench.tell<StartAttempt>(bench.request("last")).empty());
}

BOOST_AUTO_TEST_CASE(hedgeCancelsTheLoserAndIsBudgeted)
{
    DispatcherBench bench(3, { .hedgeMinimum = milliseconds(50) });
    const auto first = bench.tell<StartAttempt>(bench.request("r")).at(0);
    bench.now += std::chrono::seconds(3);
    const auto second = bench.tell<StartAttempt>(TimePassed {});
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].server.text() != first.server.text());
    const auto cancelled = bench.tell<CancelAttempt>(
        FirstTokenSeen { .id = first.id, .attempt = second[0].attempt });
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST(cancelled[0].attempt == first.attempt);
}

BOOST_AUTO_TEST_CASE(overdueFirstTokenTurnsNewWorkAway)
{
    DispatcherBench bench(2);
    const auto first = bench.tell<StartAttempt>(bench.request("r0")).at(0);
    bench.now += std::chrono::seconds(2);
    const auto second = bench.tell<StartAttempt>(bench.request("r1"));
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].server.text() != first.server.text());
}

BOOST_AUTO_TEST_CASE(deadlineThatCannotBeMetIsRefusedBeforeItPasses)
{
    DispatcherBench bench(1);
    for (int index = 0; index < 40; ++index) {
        static_cast<void>(
            bench.tell<StartAttempt>(bench.request("fill" + std::to_string(index), 20000)));
    }
    RequestArrived late = bench.request("late", 20000);
    late.facts.deadline = bench.now + milliseconds(100);
    std::vector<RefuseRequest> refused = bench.tell<RefuseRequest>(late);
    bench.now += milliseconds(101);
    for (const auto &refusal : bench.tell<RefuseRequest>(TimePassed {})) {
        refused.push_back(refusal);
    }
    BOOST_TEST_REQUIRE(!refused.empty());
    BOOST_TEST((refused.back().notRun == NotRun::True));
}

BOOST_AUTO_TEST_CASE(restartOrNewWeightsDropTheCache)
{
    DispatcherBench bench(2);
    const auto start = bench.tell<StartAttempt>(bench.request("r")).at(0);
    bench.finish(start);
    const auto slot = *bench.dispatcher.servers().find(start.server);
    const auto keys = bench.request("x").facts.blocks;
    const auto report = [&](std::uint64_t incarnation, const char *weights) {
        static_cast<void>(bench.tell<StartAttempt>(
            ServerReported { .server = start.server,
                             .report = { .incarnation = incarnation, .weights = weights } }));
    };
    report(1, "v1");
    BOOST_TEST(bench.dispatcher.index().matchAll(keys, bench.now)[slot] > 0U);
    report(1, "v2");
    BOOST_TEST(bench.dispatcher.index().matchAll(keys, bench.now)[slot] == 0U);
}

BOOST_AUTO_TEST_CASE(gapInCacheEventsDropsTheCache)
{
    DispatcherBench bench(1);
    const ServerId server("s0");
    const auto keys = bench.request("x").facts.blocks;
    const auto events = [&](std::uint64_t first) {
        static_cast<void>(bench.tell<StartAttempt>(CacheEventsSeen {
            .server = server, .firstSequence = first, .count = 1, .stored = {} }));
    };
    static_cast<void>(bench.tell<StartAttempt>(
        CacheEventsSeen { .server = server, .firstSequence = 1, .count = 1, .stored = keys }));
    events(2);
    BOOST_TEST(bench.dispatcher.index().matchAll(keys, bench.now)[0] > 0U);
    events(9);
    BOOST_TEST(bench.dispatcher.index().matchAll(keys, bench.now)[0] == 0U);
}

BOOST_AUTO_TEST_CASE(sameMessagesGiveTheSameEffects)
{
    const auto run = [] {
        DispatcherBench bench(6, { .seed = 5 });
        std::string trace;
        for (int index = 0; index < 200; ++index) {
            const auto starts = bench.tell<StartAttempt>(
                bench.request("r" + std::to_string(index), 500 + index % 7 * 300));
            for (const auto &start : starts) {
                trace += start.server.text();
                if (index % 3 == 0) {
                    bench.finish(start);
                }
            }
            bench.now += milliseconds(7);
        }
        return trace;
    };
    BOOST_TEST(run() == run());
}

BOOST_AUTO_TEST_CASE(loadOfEverythingThatEndedIsGone)
{
    DispatcherBench bench(3, { .hedgeMinimum = milliseconds(20) });
    std::mt19937_64 random(11);
    std::vector<StartAttempt> open;
    for (int index = 0; index < 3000; ++index) {
        bench.now += milliseconds(3);
        std::vector<DispatcherEffect> effects;
        if (index < 1500 && random() % 2 == 0) {
            effects
                = bench.dispatcher.handle(bench.request("r" + std::to_string(index)), bench.now);
        } else if (!open.empty() && random() % 4 != 0) {
            const StartAttempt attempt = open[random() % open.size()];
            std::erase_if(open, [&](const auto &o) {
                return o.id == attempt.id && o.attempt == attempt.attempt;
            });
            effects = bench.dispatcher.handle(
                AttemptEnded { .id = attempt.id,
                               .attempt = attempt.attempt,
                               .end = static_cast<AttemptEnd>(random() % 7) },
                bench.now);
        } else {
            effects = bench.dispatcher.handle(TimePassed {}, bench.now);
        }
        for (const DispatcherEffect &effect : effects) {
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                open.push_back(*start);
            }
        }
    }
    bench.now += std::chrono::minutes(1);
    for (const StartAttempt &attempt : open) {
        static_cast<void>(bench.dispatcher.handle(CallerLeft { .id = attempt.id }, bench.now));
    }
    static_cast<void>(bench.dispatcher.handle(TimePassed {}, bench.now));
    BOOST_TEST(bench.dispatcher.open() == 0U);
    BOOST_TEST(bench.dispatcher.queued() == 0U);
    for (ServerSlot slot = 0; slot < 3; ++slot) {
        BOOST_TEST(bench.dispatcher.servers().at(slot).own.inFlight == 0);
        BOOST_TEST(bench.dispatcher.servers().at(slot).own.longJobs == 0);
        BOOST_TEST(bench.dispatcher.servers().at(slot).own.waitingPrefill < 1e-6);
        BOOST_TEST(bench.dispatcher.servers().at(slot).soloRuns == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
