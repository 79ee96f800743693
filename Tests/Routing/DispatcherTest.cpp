#include <set>

#include <boost/test/unit_test.hpp>

#include "DispatcherFixture.h"

using namespace jacinthroad;

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(samePrefixGoesToTheSameServer)
{
    DispatcherFixture fixture(8);
    std::set<std::string> used;
    for (int index = 0; index < 20; ++index) {
        const auto starts
            = fixture.send<StartAttempt>(fixture.request("r" + std::to_string(index)));
        BOOST_TEST_REQUIRE(starts.size() == 1U);
        used.insert(starts[0].server.text());
        fixture.finish(starts[0], index == 0 ? 0 : 960);
        fixture.now += milliseconds(100);
    }
    BOOST_TEST(used.size() == 1U);
}

BOOST_AUTO_TEST_CASE(newNodesAgreeWithoutCommunication)
{
    std::set<std::string> used;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        DispatcherFixture fixture(8, { .seed = seed });
        used.insert(fixture.send<StartAttempt>(fixture.request("r", 4000)).at(0).server.text());
    }
    BOOST_TEST(used.size() == 1U);
}

BOOST_AUTO_TEST_CASE(hotPrefixSpreadsWhenItsServerIsBusy)
{
    DispatcherFixture fixture(4);
    std::set<std::string> used;
    for (int index = 0; index < 12; ++index) {
        for (const auto &start :
             fixture.send<StartAttempt>(fixture.request("r" + std::to_string(index)))) {
            used.insert(start.server.text());
        }
    }
    BOOST_TEST(used.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(verdictIsUnknownOnceAnAttemptMayHaveRun)
{
    DispatcherFixture fixture(1, { .maximumAttempts = 1 });
    const auto start = fixture.send<StartAttempt>(fixture.request("r")).at(0);
    const auto refused = fixture.send<RefuseRequest>(
        AttemptEnded { .id = start.id, .attempt = 1, .end = AttemptEnd::Broken });
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].notRun == NotRun::Unknown));
}

BOOST_AUTO_TEST_CASE(notSentAttemptsProveNotRun)
{
    DispatcherFixture fixture(1, { .maximumAttempts = 1 });
    const auto start = fixture.send<StartAttempt>(fixture.request("r")).at(0);
    const auto refused = fixture.send<RefuseRequest>(
        AttemptEnded { .id = start.id, .attempt = 1, .end = AttemptEnd::NotSent });
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].notRun == NotRun::True));
}

BOOST_AUTO_TEST_CASE(brokenStreamResumesOnAnotherServerAfterItsLastToken)
{
    DispatcherFixture fixture(3);
    const auto first = fixture.send<StartAttempt>(fixture.request("r")).at(0);
    static_cast<void>(
        fixture.send<StartAttempt>(FirstTokenReceived { .id = first.id, .attempt = 1 }));
    const auto second = fixture.send<StartAttempt>(AttemptEnded {
        .id = first.id, .attempt = 1, .end = AttemptEnd::Broken, .deliveredTokens = 17 });
    // The crash made the request a suspect, so it now runs exclusively.
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].resumeAfterTokens == 17U);
    BOOST_TEST(second[0].server.text() != first.server.text());
}

BOOST_AUTO_TEST_CASE(crashingRequestIsQuarantinedAfterTwoCrashesAndOthersFinish)
{
    DispatcherFixture fixture(4);
    int crashes = 0;
    std::set<std::string> crashed;
    // The crashing request and two others share a server when the first crash happens.
    std::vector<StartAttempt> open;
    for (const char *id : { "poison", "a", "b" }) {
        for (const auto &start : fixture.send<StartAttempt>(fixture.request(id))) {
            open.push_back(start);
        }
    }
    int refused = 0;
    std::size_t finished = 0;
    for (int round = 0; round < 50; ++round) {
        fixture.now += milliseconds(200);
        for (const auto &start : fixture.send<StartAttempt>(Tick {})) {
            open.push_back(start);
        }
        if (open.empty()) {
            continue;
        }
        const StartAttempt next = open.front();
        open.erase(open.begin());
        if (next.id.text() != "poison") {
            for (const auto &start : fixture.finish(next)) {
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
                const auto effects = fixture.dispatcher.handle(
                    AttemptEnded {
                        .id = victim.id, .attempt = victim.attempt, .end = AttemptEnd::Broken },
                    fixture.now);
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
    const auto again = fixture.send<RefuseRequest>(fixture.request("poison"));
    BOOST_TEST_REQUIRE(again.size() == 1U);
    BOOST_TEST((again[0].notRun == NotRun::True));
}

BOOST_AUTO_TEST_CASE(leavingServerReceivesNoNewWork)
{
    DispatcherFixture fixture(3);
    const auto first = fixture.send<StartAttempt>(fixture.request("r0")).at(0);
    for (ServerInfo &server : fixture.serverInfos) {
        server.leaving = server.id == first.server;
    }
    fixture.dispatcher.configure(fixture.serverInfos, { { ModelId("m"), fixture.modelSettings } });
    for (int index = 1; index < 9; ++index) {
        for (const auto &start :
             fixture.send<StartAttempt>(fixture.request("r" + std::to_string(index)))) {
            BOOST_TEST(start.server.text() != first.server.text());
        }
    }
}

BOOST_AUTO_TEST_CASE(requestsAreServedWhenAllServersAreEjected)
{
    DispatcherFixture fixture(4, { .retryShare = 10, .retryReserve = 1000, .maximumAttempts = 6 });
    for (int index = 0; index < 30; ++index) {
        std::vector<StartAttempt> starts
            = fixture.send<StartAttempt>(fixture.request("r" + std::to_string(index)));
        BOOST_TEST(!starts.empty());
        while (!starts.empty()) {
            starts = fixture.send<StartAttempt>(AttemptEnded {
                .id = starts[0].id, .attempt = starts[0].attempt, .end = AttemptEnd::NotSent });
        }
        fixture.now += milliseconds(5);
    }
    BOOST_TEST(!fixture.send<StartAttempt>(fixture.request("last")).empty());
}

BOOST_AUTO_TEST_CASE(firstTokenOfHedgeCancelsTheOtherAttempt)
{
    DispatcherFixture fixture(3, { .hedgeMinimum = milliseconds(50) });
    const auto first = fixture.send<StartAttempt>(fixture.request("r")).at(0);
    fixture.now += std::chrono::seconds(3);
    const auto second = fixture.send<StartAttempt>(Tick {});
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].server.text() != first.server.text());
    const auto cancelled = fixture.send<CancelAttempt>(
        FirstTokenReceived { .id = first.id, .attempt = second[0].attempt });
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST(cancelled[0].attempt == first.attempt);
}

BOOST_AUTO_TEST_CASE(overdueFirstTokenMovesNewWorkToAnotherServer)
{
    DispatcherFixture fixture(2);
    const auto first = fixture.send<StartAttempt>(fixture.request("r0")).at(0);
    fixture.now += std::chrono::seconds(2);
    const auto second = fixture.send<StartAttempt>(fixture.request("r1"));
    BOOST_TEST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].server.text() != first.server.text());
}

BOOST_AUTO_TEST_CASE(requestWithUnreachableDeadlineIsRejectedAsNotRun)
{
    DispatcherFixture fixture(1);
    for (int index = 0; index < 40; ++index) {
        static_cast<void>(
            fixture.send<StartAttempt>(fixture.request("fill" + std::to_string(index), 20000)));
    }
    RequestArrived late = fixture.request("late", 20000);
    late.info.deadline = fixture.now + milliseconds(100);
    std::vector<RefuseRequest> refused = fixture.send<RefuseRequest>(late);
    fixture.now += milliseconds(101);
    for (const auto &refusal : fixture.send<RefuseRequest>(Tick {})) {
        refused.push_back(refusal);
    }
    BOOST_TEST_REQUIRE(!refused.empty());
    BOOST_TEST((refused.back().notRun == NotRun::True));
}

BOOST_AUTO_TEST_CASE(restartOrNewWeightsDropTheCache)
{
    DispatcherFixture fixture(2);
    const auto start = fixture.send<StartAttempt>(fixture.request("r")).at(0);
    fixture.finish(start);
    const auto slot = *fixture.dispatcher.servers().find(start.server);
    const auto keys = fixture.request("x").info.blocks;
    const auto report = [&](std::uint64_t incarnation, const char *weights) {
        static_cast<void>(fixture.send<StartAttempt>(
            ServerReported { .server = start.server,
                             .report = { .incarnation = incarnation, .weights = weights } }));
    };
    report(1, "v1");
    BOOST_TEST(fixture.dispatcher.index().matchAll(keys, fixture.now)[slot] > 0U);
    report(1, "v2");
    BOOST_TEST(fixture.dispatcher.index().matchAll(keys, fixture.now)[slot] == 0U);
}

BOOST_AUTO_TEST_CASE(gapInCacheEventsDropsTheCache)
{
    DispatcherFixture fixture(1);
    const ServerId server("s0");
    const auto keys = fixture.request("x").info.blocks;
    const auto events = [&](std::uint64_t first) {
        static_cast<void>(fixture.send<StartAttempt>(CacheEventsReceived {
            .server = server, .firstSequence = first, .count = 1, .stored = {} }));
    };
    static_cast<void>(fixture.send<StartAttempt>(
        CacheEventsReceived { .server = server, .firstSequence = 1, .count = 1, .stored = keys }));
    events(2);
    BOOST_TEST(fixture.dispatcher.index().matchAll(keys, fixture.now)[0] > 0U);
    events(9);
    BOOST_TEST(fixture.dispatcher.index().matchAll(keys, fixture.now)[0] == 0U);
}

BOOST_AUTO_TEST_CASE(sameMessagesGiveTheSameEffects)
{
    const auto run = [] {
        DispatcherFixture fixture(6, { .seed = 5 });
        std::string trace;
        for (int index = 0; index < 200; ++index) {
            const auto starts = fixture.send<StartAttempt>(
                fixture.request("r" + std::to_string(index), 500 + index % 7 * 300));
            for (const auto &start : starts) {
                trace += start.server.text();
                if (index % 3 == 0) {
                    fixture.finish(start);
                }
            }
            fixture.now += milliseconds(7);
        }
        return trace;
    };
    BOOST_TEST(run() == run());
}

BOOST_AUTO_TEST_CASE(loadIsZeroAfterAllAttemptsEnded)
{
    DispatcherFixture fixture(3, { .hedgeMinimum = milliseconds(20) });
    std::mt19937_64 random(11);
    std::vector<StartAttempt> open;
    for (int index = 0; index < 3000; ++index) {
        fixture.now += milliseconds(3);
        std::vector<DispatcherEffect> effects;
        if (index < 1500 && random() % 2 == 0) {
            effects = fixture.dispatcher.handle(fixture.request("r" + std::to_string(index)),
                                                fixture.now);
        } else if (!open.empty() && random() % 4 != 0) {
            const StartAttempt attempt = open[random() % open.size()];
            std::erase_if(open, [&](const auto &o) {
                return o.id == attempt.id && o.attempt == attempt.attempt;
            });
            effects = fixture.dispatcher.handle(
                AttemptEnded { .id = attempt.id,
                               .attempt = attempt.attempt,
                               .end = static_cast<AttemptEnd>(random() % 7) },
                fixture.now);
        } else {
            effects = fixture.dispatcher.handle(Tick {}, fixture.now);
        }
        for (const DispatcherEffect &effect : effects) {
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                open.push_back(*start);
            }
        }
    }
    fixture.now += std::chrono::minutes(1);
    for (const StartAttempt &attempt : open) {
        static_cast<void>(
            fixture.dispatcher.handle(CallerDisconnected { .id = attempt.id }, fixture.now));
    }
    static_cast<void>(fixture.dispatcher.handle(Tick {}, fixture.now));
    BOOST_TEST(fixture.dispatcher.openRequests() == 0U);
    BOOST_TEST(fixture.dispatcher.queuedRequests() == 0U);
    for (ServerSlot slot = 0; slot < 3; ++slot) {
        BOOST_TEST(fixture.dispatcher.servers().at(slot).own.inFlight == 0);
        BOOST_TEST(fixture.dispatcher.servers().at(slot).own.longJobs == 0);
        BOOST_TEST(fixture.dispatcher.servers().at(slot).own.waitingPrefill < 1e-6);
        BOOST_TEST(fixture.dispatcher.servers().at(slot).exclusiveRuns == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
