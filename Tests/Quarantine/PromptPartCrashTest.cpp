#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Quarantine/CrashHistory.h"

namespace jacinthroad {

namespace {

constexpr std::uint8_t First = 1;
constexpr std::uint8_t Second = 2;
constexpr RequestFingerprint SomePart = 500;

Instant at(int ms)
{
    return Instant(std::chrono::hours(1)) + milliseconds(ms);
}

void crash(CrashHistory &history, RequestFingerprint part, std::uint8_t depth, std::uint64_t server,
           int sentAt, int crashedAt)
{
    static_cast<void>(
        history.noteCrash(part, server, at(sentAt), at(crashedAt), at(crashedAt), depth));
}

bool denied(const CrashHistory &history, RequestFingerprint part, int now)
{
    return history.assess(part, at(now)).permission == CrashPermission::Denied;
}

/// Plays requests at several nodes and servers, some of which have a prompt part that crashes each
/// server that begins to respond. Messages between the nodes are lost, doubled and reordered.
class Fleet
{
public:
    struct Options
    {
        unsigned seed = 1;
        /// Deadly parts by their position in the prompt.
        std::set<RequestFingerprint> deadlyFirst;
        std::set<RequestFingerprint> deadlySecond;
        /// Percentage of the requests that have a deadly part.
        unsigned deadlyShare = 5;
        /// Mean time in ms between crashes that no request causes; 0 for none.
        int otherCrashInterval = 0;
        /// Times at which most servers crash together.
        std::vector<int> outages;
        /// Time in ms between the crashes of two servers in an outage.
        int outageStagger = 0;
        /// The server that keeps crashing, or -1.
        int badServer = -1;
    };

    static constexpr int Nodes = 5;
    static constexpr int Servers = 12;
    static constexpr int End = 25000;
    static constexpr int FaultsBegin = 3000;

    explicit Fleet(Options options)
        : options_(std::move(options))
        , random_(options_.seed)
        , upAt_(Servers, 0)
    {
        for (int node = 0; node < Nodes; ++node) {
            nodes_.push_back(CrashHistory({ .reporter = 1000 + static_cast<std::uint64_t>(node) }));
        }
        for (now_ = 0; now_ < End; now_ += 10) {
            step();
        }
    }

    /// The most requests with one deadly part that were sent more than 3 s after its fifth crash.
    [[nodiscard]] int lateDeadly() const
    {
        int most = 0;
        for (const auto &[part, toll] : tolls_) {
            most = std::max(most, toll.late);
        }
        return most;
    }
    /// Share of the sound requests of the last half of the day that were refused as denied.
    [[nodiscard]] double refusedShare() const
    {
        return static_cast<double>(refused_) / std::max(1, sound_);
    }
    /// Parts that each node denies at the end.
    [[nodiscard]] std::vector<std::set<RequestFingerprint>> deniedParts() const
    {
        std::vector<std::set<RequestFingerprint>> sets(Nodes);
        for (std::size_t node = 0; node < Nodes; ++node) {
            for (RequestFingerprint part = 1; part < 500; ++part) {
                if (denied(nodes_[node], part, End)) {
                    sets[node].insert(part);
                }
            }
        }
        return sets;
    }

private:
    static constexpr int RestartTime = 3000;
    static constexpr int HarmlessTime = 250;

    struct Running
    {
        std::size_t node = 0;
        std::uint64_t server = 0;
        RequestFingerprint request = 0;
        RequestFingerprint first = 0;
        RequestFingerprint second = 0;
        /// The deadly part; 0 if there is none.
        RequestFingerprint deadly = 0;
        unsigned attempt = 1;
        int sentAt = 0;
        int beginsAt = 0;
        int endsAt = 0;
        bool cleared = false;
    };

    /// What one deadly part has done.
    struct Toll
    {
        int crashes = 0;
        int fifthCrashAt = 0;
        int late = 0;
    };

    struct Message
    {
        std::size_t receiver = 0;
        std::vector<CrashRecord> records;
    };

    int below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }

    RequestFingerprint any(const std::set<RequestFingerprint> &parts)
    {
        return *std::next(parts.begin(), below(static_cast<int>(parts.size())));
    }

    void step()
    {
        for (int arrivals = 0; arrivals < 2; ++arrivals) {
            arrive();
        }
        serve();
        if (now_ >= FaultsBegin) {
            if (options_.otherCrashInterval > 0 && below(options_.otherCrashInterval) < 10) {
                crashServers({ static_cast<std::uint64_t>(below(Servers)) });
            }
            if (options_.badServer >= 0) {
                crashServers({ static_cast<std::uint64_t>(options_.badServer) });
            }
        }
        for (const int outage : options_.outages) {
            std::vector<std::uint64_t> servers;
            for (int server = 0; server < Servers - 2; ++server) {
                if (outage + server * options_.outageStagger == now_) {
                    servers.push_back(static_cast<std::uint64_t>(server));
                }
            }
            crashServers(servers);
        }
        exchange();
    }

    void arrive()
    {
        Running request { .node = static_cast<std::size_t>(below(Nodes)),
                          .request = 10000 + nextRequest_++,
                          .first = static_cast<RequestFingerprint>(1 + below(3)),
                          .second = static_cast<RequestFingerprint>(100 + below(200)) };
        const bool anyDeadly = !options_.deadlyFirst.empty() || !options_.deadlySecond.empty();
        if (anyDeadly && now_ >= FaultsBegin
            && below(100) < static_cast<int>(options_.deadlyShare)) {
            if (options_.deadlySecond.empty() || (!options_.deadlyFirst.empty() && below(2) == 0)) {
                request.first = request.deadly = any(options_.deadlyFirst);
            } else {
                request.second = request.deadly = any(options_.deadlySecond);
            }
        }
        if (request.deadly == 0 && now_ >= End / 2) {
            ++sound_;
        }
        send(request);
    }

    void send(Running request)
    {
        const CrashHistory &history = nodes_[request.node];
        CrashPermission permission = CrashPermission::Unrestricted;
        for (const RequestFingerprint key : { request.request, request.first, request.second }) {
            permission = std::max(permission, history.assess(key, at(now_)).permission);
        }
        if (permission == CrashPermission::Denied) {
            refused_ += request.deadly == 0 && now_ >= End / 2 ? 1 : 0;
            return;
        }
        if (request.attempt > 2
            || (request.attempt > 1 && permission == CrashPermission::WithoutRetry)) {
            return;
        }
        request.server = static_cast<std::uint64_t>(below(Servers));
        if (upAt_[request.server] > now_) {
            return;
        }
        request.sentAt = now_;
        request.beginsAt = now_ + 50 + below(300);
        request.endsAt = request.beginsAt + 50 + below(1500);
        if (request.deadly != 0) {
            Toll &toll = tolls_[request.deadly];
            toll.late += toll.crashes >= 5 && now_ > toll.fifthCrashAt + 3000 ? 1 : 0;
        }
        running_.push_back(request);
    }

    void serve()
    {
        std::map<std::uint64_t, RequestFingerprint> crashing;
        for (const Running &request : running_) {
            if (request.deadly != 0 && request.beginsAt <= now_) {
                crashing.emplace(request.server, request.deadly);
            }
        }
        std::vector<std::uint64_t> servers;
        for (const auto &[server, part] : crashing) {
            Toll &toll = tolls_[part];
            if (++toll.crashes == 5) {
                toll.fifthCrashAt = now_;
            }
            servers.push_back(server);
        }
        crashServers(servers);
        std::vector<Running> left;
        for (Running &request : running_) {
            const bool ended = request.endsAt <= now_;
            if (!request.cleared && (ended || request.beginsAt + HarmlessTime <= now_)) {
                request.cleared = true;
                nodes_[request.node].noteCompleted(request.first, at(now_));
                nodes_[request.node].noteCompleted(request.second, at(now_));
            }
            if (ended) {
                nodes_[request.node].noteCompleted(request.request, at(now_));
            } else {
                left.push_back(request);
            }
        }
        running_ = std::move(left);
    }

    void crashServers(const std::vector<std::uint64_t> &servers)
    {
        std::vector<Running> lost;
        for (const std::uint64_t server : servers) {
            if (upAt_[server] > now_) {
                continue;
            }
            upAt_[server] = now_ + RestartTime;
            std::erase_if(running_, [&](const Running &request) {
                if (request.server == server) {
                    lost.push_back(request);
                }
                return request.server == server;
            });
        }
        for (Running &request : lost) {
            CrashHistory &history = nodes_[request.node];
            crash(history, request.request, WholeRequestDepth, request.server, request.sentAt,
                  now_);
            if (!request.cleared) {
                crash(history, request.first, First, request.server, request.sentAt, now_);
                crash(history, request.second, Second, request.server, request.sentAt, now_);
            }
        }
        for (Running &request : lost) {
            ++request.attempt;
            request.cleared = false;
            send(request);
        }
    }

    void exchange()
    {
        if (now_ % 50 == 0) {
            for (std::size_t node = 0; node < Nodes; ++node) {
                const auto records = nodes_[node].takeRecords(at(now_), 24);
                for (std::size_t receiver = 0; receiver < Nodes && !records.empty(); ++receiver) {
                    const int copies = below(10) < 3 ? 0 : 1 + below(2);
                    for (int copy = 0; copy < copies && receiver != node; ++copy) {
                        inTransit_.emplace(now_ + below(100), Message { receiver, records });
                    }
                }
            }
        }
        while (!inTransit_.empty() && inTransit_.begin()->first <= now_) {
            const Message &message = inTransit_.begin()->second;
            static_cast<void>(nodes_[message.receiver].merge(message.records, at(now_)));
            inTransit_.erase(inTransit_.begin());
        }
    }

    Options options_;
    std::mt19937 random_;
    std::vector<int> upAt_;
    std::vector<CrashHistory> nodes_;
    std::vector<Running> running_;
    std::multimap<int, Message> inTransit_;
    RequestFingerprint nextRequest_ = 0;
    int now_ = 0;
    std::map<RequestFingerprint, Toll> tolls_;
    int sound_ = 0;
    int refused_ = 0;
};

constexpr unsigned Seeds = 20;
/// Requests with a deadly part that may reach servers late.
constexpr int MaxLateDeadly = 3;
/// Share of sound requests that may be refused, which have a part that few others have.
constexpr double MaxRefusedShare = 0.02;

/// Plays a day and checks that the deadly parts are denied at all nodes and sound requests served.
void checkDay(const Fleet::Options &options)
{
    const Fleet fleet(options);
    std::set<RequestFingerprint> deadly = options.deadlyFirst;
    deadly.insert(options.deadlySecond.begin(), options.deadlySecond.end());
    BOOST_TEST(fleet.lateDeadly() <= MaxLateDeadly,
               "share " << options.deadlyShare << ", "
                        << "seed " << options.seed << ", late requests " << fleet.lateDeadly());
    BOOST_TEST(fleet.refusedShare() <= MaxRefusedShare,
               "seed " << options.seed << ", refused share " << fleet.refusedShare());
    for (const auto &parts : fleet.deniedParts()) {
        BOOST_TEST(std::includes(parts.begin(), parts.end(), deadly.begin(), deadly.end()),
                   "seed " << options.seed);
        for (RequestFingerprint first = 1; first <= 3; ++first) {
            BOOST_TEST(!parts.contains(first), "seed " << options.seed);
        }
    }
}

/// Plays a day without deadly parts and checks that no part is denied.
void checkNothingDenied(const Fleet::Options &options)
{
    const Fleet fleet(options);
    BOOST_TEST(fleet.refusedShare() == 0,
               "seed " << options.seed << ", refused share " << fleet.refusedShare());
    for (const auto &parts : fleet.deniedParts()) {
        BOOST_TEST(parts.empty(),
                   "seed " << options.seed << ", part " << (parts.empty() ? 0 : *parts.begin()));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptPartCrashTest)

BOOST_AUTO_TEST_CASE(deadlyPartAmongPopularFirstPartsIsDeniedAtAllNodes)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkDay({ .seed = seed, .deadlySecond = { 400 } });
    }
}

BOOST_AUTO_TEST_CASE(deadlyFirstPartIsDeniedAtAllNodes)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkDay({ .seed = seed, .deadlyFirst = { 50 } });
    }
}

BOOST_AUTO_TEST_CASE(twoDeadlyPartsAtOnceAreDenied)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkDay({ .seed = seed, .deadlyFirst = { 50 }, .deadlySecond = { 400 } });
    }
}

BOOST_AUTO_TEST_CASE(threeDeadlyPartsAtOnceAreDenied, *boost::unit_test::disabled())
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkDay({ .seed = seed, .deadlyFirst = { 50 }, .deadlySecond = { 400, 401 } });
    }
}

BOOST_AUTO_TEST_CASE(deadlyPartBesideUnrelatedCrashesIsDenied)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkDay({ .seed = seed, .deadlySecond = { 400 }, .otherCrashInterval = 1000 });
    }
}

BOOST_AUTO_TEST_CASE(rareRequestsWithADeadlyPartAreDenied)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkDay({ .seed = seed, .deadlySecond = { 400 }, .deadlyShare = 2 });
    }
}

BOOST_AUTO_TEST_CASE(frequentRequestsWithADeadlyPartAreDenied, *boost::unit_test::disabled())
{
    for (const unsigned share : { 20U, 50U }) {
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            checkDay({ .seed = seed, .deadlySecond = { 400 }, .deadlyShare = share });
        }
    }
}

BOOST_AUTO_TEST_CASE(unrelatedCrashesDenyNoPart)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkNothingDenied({ .seed = seed, .otherCrashInterval = 2000 });
    }
}

BOOST_AUTO_TEST_CASE(frequentUnrelatedCrashesDenyNoPart, *boost::unit_test::disabled())
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkNothingDenied({ .seed = seed, .otherCrashInterval = 500 });
    }
}

BOOST_AUTO_TEST_CASE(outagesOfManyServersDenyNoPart)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkNothingDenied({ .seed = seed, .outages = { 5000, 8200, 11400, 14600, 17800 } });
    }
}

BOOST_AUTO_TEST_CASE(outagesOfServersOneAfterTheOtherDenyNoPart, *boost::unit_test::disabled())
{
    for (const int stagger : { 50, 100, 200 }) {
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            checkNothingDenied(
                { .seed = seed, .outages = { 5000, 10000, 15000 }, .outageStagger = stagger });
        }
    }
}

BOOST_AUTO_TEST_CASE(serverThatKeepsCrashingDeniesNoPart)
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        checkNothingDenied({ .seed = seed, .badServer = 3 });
    }
}

BOOST_AUTO_TEST_CASE(partWithOneServerIsDeniedAfterMoreCrashes)
{
    CrashHistory history({ .reporter = 1 });
    for (int time = 0; time < 4; ++time) {
        crash(history, SomePart, Second, 1, time * 5000, time * 5000 + 100);
    }
    BOOST_TEST((history.assess(SomePart, at(16000)).permission == CrashPermission::WithoutRetry));
    crash(history, SomePart, Second, 1, 20000, 20100);
    BOOST_TEST(denied(history, SomePart, 20200));
}

BOOST_AUTO_TEST_CASE(harmlessRunClearsTheCrashesOfItsParts)
{
    CrashHistory history({ .reporter = 1 });
    crash(history, SomePart, Second, 1, 0, 10);
    crash(history, SomePart, Second, 2, 20, 30);
    history.noteCompleted(SomePart, at(40));
    crash(history, SomePart, Second, 3, 50, 60);
    BOOST_TEST((history.assess(SomePart, at(70)).permission == CrashPermission::Unrestricted));
}

BOOST_AUTO_TEST_CASE(crashesOfADeniedPartCountForNothingElse)
{
    constexpr RequestFingerprint Parent = 1;
    constexpr RequestFingerprint Sibling = 2;
    CrashHistory history({ .reporter = 1 });
    for (int time = 0; time < 4; ++time) {
        const std::uint64_t server = static_cast<std::uint64_t>(time);
        const int sentAt = time * 1000;
        crash(history, Parent, First, server, sentAt, sentAt + 100);
        if (time > 0) {
            crash(history, Sibling, Second, server, sentAt, sentAt + 100);
        }
        crash(history, SomePart, Second, server, sentAt, sentAt + 100);
    }
    BOOST_TEST(denied(history, SomePart, 4000));
    BOOST_TEST(history.assess(Parent, at(4000)).crashes == 0U);
    BOOST_TEST(history.assess(Sibling, at(4000)).crashes == 0U);
    // Crashes without the denied part incriminate the parent.
    for (int time = 5; time < 8; ++time) {
        crash(history, Parent, First, static_cast<std::uint64_t>(time), time * 1000,
              time * 1000 + 100);
    }
    BOOST_TEST(denied(history, Parent, 8000));
}

BOOST_AUTO_TEST_CASE(deniedSetIsTheSameForEachOrderOfMessages)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        std::vector<CrashRecord> records;
        CrashHistory source({ .reporter = 7 });
        for (int time = 0; time < 12; ++time) {
            for (RequestFingerprint part = 1; part <= 8; ++part) {
                if (random() % 3 != 0) {
                    crash(source, part, static_cast<std::uint8_t>(1 + part % 3),
                          static_cast<std::uint64_t>(time), time * 1000, time * 1000 + 200);
                }
            }
            const auto taken = source.takeRecords(at(time * 1000 + 400), 100);
            if (time == 11) {
                records = taken;
            }
        }
        source.resendAll();
        records = source.takeRecords(at(20000), 1000);
        std::set<std::vector<bool>> results;
        for (int order = 0; order < 5; ++order) {
            std::shuffle(records.begin(), records.end(), random);
            CrashHistory receiver({ .reporter = 8 });
            for (const CrashRecord &record : records) {
                for (int copy = 0; copy < 1 + order % 2; ++copy) {
                    static_cast<void>(receiver.merge({ &record, 1 }, at(20000)));
                }
            }
            std::vector<bool> result;
            for (RequestFingerprint part = 1; part <= 8; ++part) {
                result.push_back(denied(receiver, part, 20000));
            }
            results.insert(result);
        }
        BOOST_TEST(results.size() == 1U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(oneNodeTriesADeniedPartAgainAndACrashDeniesItAtOnce)
{
    CrashHistory observer({ .reporter = 1 });
    CrashHistory peer({ .reporter = 2 });
    for (int time = 0; time < 3; ++time) {
        crash(observer, SomePart, Second, static_cast<std::uint64_t>(time), time * 1000,
              time * 1000 + 100);
    }
    static_cast<void>(peer.merge(observer.takeRecords(at(2200), 10), at(2210)));
    BOOST_TEST(denied(observer, SomePart, 30000));
    const int trialAt = 2100 + 30000;
    BOOST_TEST(denied(peer, SomePart, trialAt));
    BOOST_TEST(!denied(observer, SomePart, trialAt));
    BOOST_TEST(observer.assess(SomePart, at(trialAt)).trial);
    observer.noteTrial(SomePart, at(trialAt));
    BOOST_TEST(denied(observer, SomePart, trialAt + 10));
    crash(observer, SomePart, Second, 9, trialAt, trialAt + 200);
    BOOST_TEST(denied(observer, SomePart, trialAt + 9 * 60 * 1000));
    const int secondTrialAt = trialAt + 11 * 60 * 1000;
    BOOST_TEST(observer.assess(SomePart, at(secondTrialAt)).trial);
    observer.noteCompleted(SomePart, at(secondTrialAt + 1000));
    static_cast<void>(
        peer.merge(observer.takeRecords(at(secondTrialAt + 1010), 10), at(secondTrialAt + 1020)));
    BOOST_TEST((peer.assess(SomePart, at(secondTrialAt + 1030)).permission
                == CrashPermission::Unrestricted));
}

BOOST_AUTO_TEST_CASE(partIsTriedAgainAfterTheNodeThatSawTheLastCrashHasEnded)
{
    CrashHistory observer({ .reporter = 1 });
    CrashHistory peer({ .reporter = 2 });
    for (int crashes = 0; crashes < 3; ++crashes) {
        crash(observer, SomePart, Second, static_cast<std::uint64_t>(crashes), crashes * 1000,
              crashes * 1000 + 100);
    }
    const int deniedAt = 2100;
    static_cast<void>(peer.merge(observer.takeRecords(at(deniedAt), 100), at(deniedAt)));
    BOOST_TEST(denied(peer, SomePart, deniedAt + 45 * 1000));
    const int lastTrialAt = deniedAt + 5 * 60 * 1000;
    BOOST_TEST(peer.assess(SomePart, at(lastTrialAt)).trial);
    peer.noteTrial(SomePart, at(lastTrialAt));
    BOOST_TEST(denied(peer, SomePart, lastTrialAt + 10));
    peer.noteCompleted(SomePart, at(lastTrialAt + 500));
    BOOST_TEST(!denied(peer, SomePart, lastTrialAt + 600));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
