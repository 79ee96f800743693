#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <variant>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Quarantine/CrashRecordKeeper.h"

namespace jacinthroad {

namespace {

constexpr RequestFingerprint Request = 7;
constexpr RequestFingerprint FirstRequest = 1000;
constexpr std::int64_t WallEpochMs = 1'700'000'000'000;
constexpr int StepMs = 100;

Instant at(int ms)
{
    return Instant(std::chrono::hours(1)) + milliseconds(ms);
}

/// What the store does with one call.
enum class Fault : std::uint8_t {
    None,
    /// Nothing is done, and the caller is told so.
    Rejected,
    /// Nothing is done, and there is no response.
    Lost,
    /// The call is done, and there is no response.
    ResponseLost,
    /// There is no response, and a write is applied some seconds later if its condition holds.
    Late,
};

/// A stand-in of the store with one object.
struct Store
{
    std::uint64_t revision = 10;
    std::optional<std::uint64_t> objectRevision;
    KeptCrashRecords content;
    int writes = 0;
    int calls = 0;
    std::vector<std::pair<int, WriteCrashRecords>> late;

    bool apply(const WriteCrashRecords &call)
    {
        if (call.revision != objectRevision) {
            return false;
        }
        objectRevision = ++revision;
        content = call.content;
        return true;
    }

    void applyLate(int now)
    {
        for (const auto &[time, call] : late) {
            if (time <= now) {
                static_cast<void>(apply(call));
            }
        }
        std::erase_if(late, [&](const auto &item) { return item.first <= now; });
    }
};

/// A node with its history; `clockMs` is how far its wall clock is ahead.
struct Node
{
    explicit Node(std::uint64_t reporter)
        : history({ .reporter = reporter })
        , keeper({ .reporter = reporter, .seed = reporter })
    { }

    void crash(RequestFingerprint fingerprint, std::uint64_t server, int sentAt, int crashedAt)
    {
        static_cast<void>(
            history.noteCrash(fingerprint, server, at(sentAt), at(crashedAt), at(crashedAt)));
    }

    /// Crashes three servers one after the other, ending at `now`.
    void crashThree(RequestFingerprint fingerprint, int now)
    {
        for (int crash = 0; crash < 3; ++crash) {
            const int crashedAt = now - 2000 + crash * 1000;
            this->crash(fingerprint, fingerprint * 10 + static_cast<std::uint64_t>(crash),
                        crashedAt - 200, crashedAt);
        }
    }

    void readFrom(const Store &store, const ReadCrashRecords &call, int now)
    {
        if (!store.objectRevision.has_value()) {
            keeper.noteMissing(call, at(now));
            return;
        }
        static_cast<void>(history.merge(
            keeper.noteRead(call, store.content, *store.objectRevision, at(now), wall(now)),
            at(now)));
    }

    /// Makes at most one call.
    void step(Store &store, int now, Fault fault = Fault::None)
    {
        keeper.setLocal(history.recordsToKeep(at(now), MaxKeptReports), at(now));
        const auto call = keeper.nextCall(at(now), wall(now));
        if (!call.has_value()) {
            return;
        }
        ++store.calls;
        if (const auto *read = std::get_if<ReadCrashRecords>(&*call)) {
            if (fault == Fault::None) {
                readFrom(store, *read, now);
            } else {
                keeper.noteReadFailed(at(now));
            }
            return;
        }
        const auto &write = std::get<WriteCrashRecords>(*call);
        ++store.writes;
        switch (fault) {
        case Fault::None:
            if (store.apply(write)) {
                keeper.noteWritten(write, *store.objectRevision, at(now));
            } else if (store.objectRevision.has_value()) {
                readFrom(store, {}, now);
                keeper.noteWriteRejected(at(now));
            } else {
                keeper.noteWriteUnanswered(at(now));
            }
            break;
        case Fault::Rejected:
            keeper.noteWriteRejected(at(now));
            break;
        case Fault::Late:
            store.late.emplace_back(now + 3000, write);
            keeper.noteWriteUnanswered(at(now));
            break;
        case Fault::ResponseLost:
            static_cast<void>(store.apply(write));
            keeper.noteWriteUnanswered(at(now));
            break;
        case Fault::Lost:
            keeper.noteWriteUnanswered(at(now));
            break;
        }
    }

    void run(Store &store, int from, int until, Fault fault = Fault::None)
    {
        for (int now = from; now < until; now += StepMs) {
            step(store, now, fault);
        }
    }

    [[nodiscard]] std::int64_t wall(int now) const { return WallEpochMs + now + clockMs; }

    [[nodiscard]] CrashAssessment assess(RequestFingerprint fingerprint, int now) const
    {
        return history.assess(fingerprint, at(now));
    }

    CrashHistory history;
    CrashRecordKeeper keeper;
    int clockMs = 0;
};

bool denied(const Node &node, RequestFingerprint fingerprint, int now)
{
    return node.assess(fingerprint, now).permission == CrashPermission::Denied;
}

/// Returns a node that has started and read the store.
std::unique_ptr<Node> startedNode(Store &store, std::uint64_t reporter, int now, int clockMs = 0)
{
    auto node = std::make_unique<Node>(reporter);
    node->clockMs = clockMs;
    node->step(store, now);
    return node;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashRecordKeeperTest)

BOOST_AUTO_TEST_CASE(deniedRequestStaysDeniedForTheRestOfItsTimeAfterRestart)
{
    Store store;
    Node node(1);
    node.run(store, 0, 1000);
    node.crashThree(Request, 1000);
    node.run(store, 1000, 3000);
    BOOST_TEST(store.writes == 1);
    const auto restarted = startedNode(store, 2, 61000);
    BOOST_TEST(denied(*restarted, Request, 61000));
    BOOST_TEST(restarted->assess(Request, 61000).crashes == 3U);
    BOOST_TEST((restarted->assess(Request, 61000).remaining == std::chrono::minutes(9)));
}

BOOST_AUTO_TEST_CASE(nodeWithoutCrashesMakesOneCall)
{
    Store store;
    Node node(1);
    node.run(store, 0, 600000);
    BOOST_TEST(store.calls == 1);
}

BOOST_AUTO_TEST_CASE(singleCrashesAreNotWritten)
{
    Store store;
    Node node(1);
    for (std::uint64_t request = 0; request < 100; ++request) {
        node.crash(request, 1, 0, 100);
    }
    node.run(store, 100, 60000);
    BOOST_TEST(store.writes == 0);
}

BOOST_AUTO_TEST_CASE(burstOfCrashesIsWrittenAtMostOnceASecond)
{
    Store store;
    Node node(1);
    for (int now = 0; now < 10000; now += StepMs) {
        node.crashThree(FirstRequest + static_cast<RequestFingerprint>(now), now);
        node.step(store, now);
    }
    BOOST_TEST(store.writes <= 10);
    node.run(store, 10000, 12000);
    const auto restarted = startedNode(store, 2, 12000);
    for (int now = 0; now < 10000; now += StepMs) {
        BOOST_TEST(denied(*restarted, FirstRequest + static_cast<RequestFingerprint>(now), 12000));
    }
}

BOOST_AUTO_TEST_CASE(writeWithLostResponseIsReadBackAndNotRepeated)
{
    Store store;
    Node node(1);
    node.step(store, 0);
    node.crashThree(Request, 1000);
    node.step(store, 1000, Fault::ResponseLost);
    node.run(store, 1100, 10000);
    BOOST_TEST(store.writes == 1);
    BOOST_TEST(denied(*startedNode(store, 2, 10000), Request, 10000));
}

BOOST_AUTO_TEST_CASE(failedWritesAreRepeatedWithBoundedPauses)
{
    for (const Fault fault : { Fault::Rejected, Fault::Lost }) {
        Store store;
        Node node(1);
        node.step(store, 0);
        node.crashThree(Request, 1000);
        node.run(store, 1000, 61000, fault);
        BOOST_TEST(store.calls < 60);
        node.run(store, 61000, 70000);
        BOOST_TEST(denied(*startedNode(store, 2, 70000), Request, 70000));
    }
}

BOOST_AUTO_TEST_CASE(anotherNodeWritesWhatItsObserverCannotWrite)
{
    Store store;
    Node observer(1);
    Node peer(2);
    observer.step(store, 0);
    peer.step(store, 0);
    observer.crashThree(Request, 1000);
    static_cast<void>(peer.history.merge(observer.history.takeRecords(at(1000), 64), at(1010)));
    for (int now = 1100; now < 13000; now += StepMs) {
        observer.step(store, now, Fault::Rejected);
        peer.step(store, now);
    }
    BOOST_TEST(denied(*startedNode(store, 3, 13000), Request, 13000));
}

BOOST_AUTO_TEST_CASE(peersOfAnObserverThatWritesDoNotWrite)
{
    Store store;
    Node observer(1);
    std::vector<std::unique_ptr<Node>> peers;
    for (std::uint64_t reporter = 2; reporter < 9; ++reporter) {
        peers.push_back(startedNode(store, reporter, 0));
    }
    observer.step(store, 0);
    observer.crashThree(Request, 1000);
    const auto records = observer.history.takeRecords(at(1000), 64);
    for (const auto &peer : peers) {
        static_cast<void>(peer->history.merge(records, at(1010)));
    }
    for (int now = 1100; now < 60000; now += StepMs) {
        observer.step(store, now);
        for (const auto &peer : peers) {
            peer->step(store, now);
        }
    }
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(nodesThatWriteTogetherKeepWhatBothKnow)
{
    Store store;
    Node first(1);
    Node second(2);
    first.step(store, 0);
    second.step(store, 0);
    first.crashThree(1, 1000);
    second.crashThree(2, 1000);
    for (int now = 1000; now < 5000; now += StepMs) {
        first.step(store, now);
        second.step(store, now);
    }
    const auto restarted = startedNode(store, 3, 5000);
    BOOST_TEST(denied(*restarted, 1, 5000));
    BOOST_TEST(denied(*restarted, 2, 5000));
}

BOOST_AUTO_TEST_CASE(clearedRequestIsNotDeniedAfterRestart)
{
    Store store;
    Node node(1);
    node.step(store, 0);
    node.crashThree(Request, 1000);
    node.run(store, 1000, 3000);
    node.history.noteCompleted(Request, at(3000));
    node.run(store, 3000, 15000);
    const auto restarted = startedNode(store, 2, 15000);
    BOOST_TEST(restarted->assess(Request, 15000).crashes == 0U);
    BOOST_TEST(store.writes == 2);
}

BOOST_AUTO_TEST_CASE(nodesThatStillRunLearnFromTheStoreThatAnOperatorClearedARequest)
{
    Store store;
    Node node(1);
    node.step(store, 0);
    node.crashThree(Request, 1000);
    node.run(store, 1000, 3000);
    for (CrashReport &report : store.content.records.at(0).crashes) {
        report.cleared = true;
    }
    store.objectRevision = ++store.revision;
    node.run(store, 3000, 40000);
    BOOST_TEST(!denied(node, Request, 40000));
    BOOST_TEST(store.content.records.at(0).crashes.at(0).cleared);
}

BOOST_AUTO_TEST_CASE(steppedWallClocksNeitherLoseDenialsNorCountCrashesTwice)
{
    for (const int clockMs : { -5000, -2400, 2400, 5000 }) {
        Store store;
        Node writer(1);
        writer.step(store, 0);
        writer.crash(Request, 1, 500, 1000);
        writer.crash(Request, 2, 1500, 2000);
        writer.run(store, 2000, 4000);
        const auto stepped = startedNode(store, 2, 5000, clockMs);
        const auto accurate = startedNode(store, 3, 5000);
        BOOST_TEST(stepped->assess(Request, 5000).crashes == 2U);
        for (int now = 5000; now < 15000; now += 1000) {
            for (const auto &[to, from] :
                 { std::pair { stepped.get(), accurate.get() },
                   std::pair { accurate.get(), stepped.get() },
                   std::pair { &writer, stepped.get() }, std::pair { stepped.get(), &writer } }) {
                static_cast<void>(
                    to->history.merge(from->history.takeRecords(at(now), 64), at(now + 5)));
            }
            stepped->step(store, now + 10);
            accurate->step(store, now + 10);
            writer.step(store, now + 10);
        }
        for (const Node *node : { stepped.get(), accurate.get(), &writer }) {
            BOOST_TEST(node->assess(Request, 15000).crashes == 2U);
        }
        stepped->crash(Request, 3, 15000, 15500);
        BOOST_TEST(denied(*stepped, Request, 15500));
        stepped->run(store, 15500, 17000);
        BOOST_TEST(denied(*startedNode(store, 4, 17000), Request, 17000));
        BOOST_TEST(denied(*startedNode(store, 5, 17000, -clockMs), Request, 17000));
    }
}

BOOST_AUTO_TEST_CASE(repeatedWritesWithWrongWallClocksDoNotShortenADenial)
{
    constexpr int Rounds = 20;
    constexpr int RoundMs = 10000;
    Store store;
    Node accurate(1);
    Node ahead(2);
    ahead.clockMs = 5000;
    accurate.step(store, 0);
    ahead.step(store, 0);
    accurate.crashThree(Request, 1000);
    for (int now = 1000; now < Rounds * RoundMs; now += StepMs) {
        if (now % RoundMs == 0) {
            Node &observer = now / RoundMs % 2 == 0 ? accurate : ahead;
            observer.crashThree(FirstRequest + static_cast<RequestFingerprint>(now), now);
        }
        for (const auto &[to, from] : { std::pair { &accurate, &ahead }, { &ahead, &accurate } }) {
            static_cast<void>(to->history.merge(from->history.takeRecords(at(now), 64), at(now)));
        }
        accurate.step(store, now);
        ahead.step(store, now);
    }
    const int end = Rounds * RoundMs;
    const Duration expected = std::chrono::minutes(10) - milliseconds(end - 1000);
    BOOST_TEST((std::chrono::abs(accurate.assess(Request, end).remaining - expected)
                < milliseconds(6000)));
}

BOOST_AUTO_TEST_CASE(recordsAreWrittenAgainAfterTheStoreLostItsLatestChanges)
{
    Store store;
    Node node(1);
    node.step(store, 0);
    node.crashThree(Request, 1000);
    const Store copy = store;
    node.run(store, 1000, 4000);
    store = copy;
    node.keeper.noteStoreRegained(at(4000));
    node.run(store, 4000, 8000);
    BOOST_TEST(denied(*startedNode(store, 2, 8000), Request, 8000));
}

BOOST_AUTO_TEST_CASE(isolatedNodeLearnsFromTheStore)
{
    Store store;
    Node observer(1);
    Node isolated(2);
    observer.step(store, 0);
    isolated.step(store, 0);
    isolated.keeper.setPeersMissing(true);
    observer.crashThree(Request, 1000);
    observer.run(store, 1000, 2000);
    isolated.run(store, 1000, 8000);
    BOOST_TEST(denied(isolated, Request, 8000));
}

BOOST_AUTO_TEST_CASE(storeThatDidNotAnswerAtStartIsReadLater)
{
    Store store;
    Node observer(1);
    observer.step(store, 0);
    observer.crashThree(Request, 1000);
    observer.run(store, 1000, 2000);
    Node started(2);
    started.run(store, 2000, 10000, Fault::Lost);
    BOOST_TEST(!started.keeper.known());
    started.run(store, 10000, 15000);
    BOOST_TEST(denied(started, Request, 15000));
}

BOOST_AUTO_TEST_CASE(contentIsBoundedAndKeepsRequestsWithTheMostCrashes)
{
    Store store;
    Node node(1);
    node.step(store, 0);
    for (RequestFingerprint request = 1; request <= 1000; ++request) {
        node.crash(request, 1, 0, 100);
        node.crash(request, 2, 200, 300);
    }
    node.crashThree(5000, 1000);
    node.run(store, 1000, 120000);
    std::size_t reports = 0;
    for (const CrashRecord &record : store.content.records) {
        reports += record.crashes.size();
    }
    BOOST_TEST(reports <= MaxKeptReports);
    BOOST_TEST(denied(*startedNode(store, 2, 120000), 5000, 120000));
    BOOST_TEST(store.writes == 1);
}

BOOST_AUTO_TEST_CASE(faultsOfTheStoreLoseNoDenial)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            Store store;
            std::vector<std::unique_ptr<Node>> nodes;
            for (std::uint64_t reporter = 1; reporter <= 4; ++reporter) {
                nodes.push_back(std::make_unique<Node>(reporter + seed * 100));
                nodes.back()->clockMs = static_cast<int>(random() % 5000) - 2500;
            }
            for (int now = 0; now < 60000; now += StepMs) {
                store.applyLate(now);
                const bool faulty = now < 40000;
                if (now >= 2000 && now < 32000 && now % 3000 == 0) {
                    nodes[random() % nodes.size()]->crashThree(static_cast<RequestFingerprint>(now),
                                                               now);
                }
                for (const auto &node : nodes) {
                    const auto fault = static_cast<Fault>(random() % 5);
                    node->step(store, now + static_cast<int>(random() % StepMs),
                               faulty && random() % 2 == 0 ? fault : Fault::None);
                    if (now % 500 == 0 && random() % 3 == 0) {
                        static_cast<void>(nodes[random() % nodes.size()]->history.merge(
                            node->history.takeRecords(at(now), 64),
                            at(now + static_cast<int>(random() % 300))));
                    }
                }
            }
            const auto restarted = startedNode(store, 9, 60000);
            for (int now = 3000; now < 32000; now += 3000) {
                const auto request = static_cast<RequestFingerprint>(now);
                BOOST_TEST(denied(*restarted, request, 60000));
                BOOST_TEST(restarted->assess(request, 60000).crashes == 3U);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
