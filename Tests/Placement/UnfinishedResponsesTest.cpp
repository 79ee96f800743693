#include <algorithm>
#include <array>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/ServerPool.h"
#include "Placement/UnfinishedResponses.h"

namespace jacinthroad {

namespace {

const std::string RouteName("orders");
const ServiceId Plain("plain");
constexpr Duration Usual = milliseconds(40);
constexpr Duration Limit = milliseconds(2000);
constexpr Duration PartInterval = milliseconds(20);

Instant at(Duration time)
{
    return Instant(std::chrono::hours(1)) + time;
}

Instant at(std::int64_t ms)
{
    return at(Duration(milliseconds(ms)));
}

ServerId server(std::size_t index)
{
    return ServerId("s" + std::to_string(index + 1));
}

std::vector<OtherServer> others(std::size_t servers, std::size_t without, bool idle = false)
{
    std::vector<OtherServer> result;
    for (std::size_t index = 0; index < servers; ++index) {
        if (index != without) {
            result.push_back({ .id = server(index), .idle = idle });
        }
    }
    return result;
}

/// Notes that the other three servers answer at `now`.
void answerAtOthers(UnfinishedResponses &rule, Instant now)
{
    for (std::size_t index = 1; index < 4; ++index) {
        rule.noteAnswered(RouteName, server(index), Usual, now);
    }
}

/// A rule that knows the other three servers to have answered many requests until the time 0.
UnfinishedResponses ruleWithAnswers()
{
    UnfinishedResponses rule;
    for (int count = 100; count > 0; --count) {
        answerAtOthers(rule, at(-count));
    }
    return rule;
}

/// Notes an attempt at the first server that was sent `ran` before `now`.
std::optional<UnfinishedResponses::Avoidance> unfinished(UnfinishedResponses &rule, Duration ran,
                                                         Duration silence, Instant now,
                                                         bool othersIdle = false)
{
    return rule.noteUnfinished(RouteName, server(0), others(4, 0, othersIdle),
                               { .sentAt = now - ran, .longestSilence = silence }, now);
}

/// What a request meets at a server.
struct Work
{
    /// Until the response is complete; none if it has no end.
    std::optional<Duration> time;
    Duration silence = PartInterval;
};

/// Callers that send one request after another to the servers of a service, each to the one with
/// the fewest requests.
class ServiceModel
{
public:
    ServiceModel(std::size_t servers, std::size_t callers, unsigned seed)
        : servers_(servers)
        , callers_(callers)
        , random_(seed)
    { }
    virtual ~ServiceModel() = default;

    /// Runs until `end`, ms.
    void run(std::int64_t end)
    {
        if (ends_.empty()) {
            for (std::size_t caller = 0; caller < callers_; ++caller) {
                send(at(static_cast<std::int64_t>(caller)));
            }
        }
        while (ends_.top().at < at(end)) {
            const End ended = ends_.top();
            ends_.pop();
            finish(ended);
            send(ended.at);
        }
    }

    [[nodiscard]] unsigned calls(std::size_t index) const { return servers_[index].calls; }
    [[nodiscard]] unsigned failed() const { return failed_; }
    [[nodiscard]] unsigned avoidances(std::size_t index) const
    {
        return servers_[index].avoidances;
    }
    [[nodiscard]] unsigned allAvoidances() const
    {
        unsigned sum = 0;
        for (const ServerState &state : servers_) {
            sum += state.avoidances;
        }
        return sum;
    }

protected:
    virtual Work work(std::size_t index, Instant now) = 0;
    [[nodiscard]] double random() { return std::uniform_real_distribution<>()(random_); }

private:
    struct ServerState
    {
        unsigned inFlight = 0;
        unsigned calls = 0;
        unsigned avoidances = 0;
    };
    struct End
    {
        Instant at;
        std::size_t index = 0;
        Instant sentAt;
        bool answered = false;
        Duration silence {};

        bool operator>(const End &other) const { return at > other.at; }
    };

    void send(Instant now)
    {
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (!rule_.avoided(RouteName, server(index), now)
                && (!best.has_value() || servers_[index].inFlight < servers_[*best].inFlight)) {
                best = index;
            }
        }
        BOOST_REQUIRE(best.has_value());
        rule_.noteSending(RouteName, server(*best), now);
        ++servers_[*best].inFlight;
        ++servers_[*best].calls;
        const Work next = work(*best, now);
        const bool answered = next.time.has_value() && *next.time < Limit;
        ends_.push({ .at = now + (answered ? *next.time : Limit),
                     .index = *best,
                     .sentAt = now,
                     .answered = answered,
                     .silence = next.silence });
    }

    void finish(const End &end)
    {
        ServerState &state = servers_[end.index];
        --state.inFlight;
        if (end.answered) {
            rule_.noteAnswered(RouteName, server(end.index), end.at - end.sentAt, end.at);
            return;
        }
        ++failed_;
        std::vector<OtherServer> rest = others(servers_.size(), end.index);
        std::size_t position = 0;
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            if (index != end.index) {
                rest[position++].idle = servers_[index].inFlight == 0;
            }
        }
        if (rule_.noteUnfinished(RouteName, server(end.index), rest,
                                 { .sentAt = end.sentAt, .longestSilence = end.silence }, end.at)) {
            ++state.avoidances;
        }
    }

    UnfinishedResponses rule_;
    std::vector<ServerState> servers_;
    std::size_t callers_ = 0;
    std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
    unsigned failed_ = 0;
    std::mt19937 random_;
};

/// Servers of which the first ones leave part of their responses without an end in a period.
class FaultyServers : public ServiceModel
{
public:
    FaultyServers(std::size_t faulty, double share, std::int64_t begin, std::int64_t end)
        : ServiceModel(4, 40, 1)
        , faulty_(faulty)
        , share_(share)
        , begin_(at(begin))
        , end_(at(end))
    { }

protected:
    Work work(std::size_t index, Instant now) override
    {
        if (index < faulty_ && now >= begin_ && now < end_ && random() < share_) {
            return {};
        }
        return { .time = Usual };
    }

private:
    std::size_t faulty_;
    double share_;
    Instant begin_;
    Instant end_;
};

/// Sound servers at which a share of the requests needs longer than the limit.
class HeavyRequests : public ServiceModel
{
public:
    HeavyRequests(double share, unsigned seed)
        : ServiceModel(4, 40, seed)
        , share_(share)
    { }

protected:
    Work work(std::size_t /*index*/, Instant /*now*/) override
    {
        return random() < share_ ? Work {} : Work { .time = Usual };
    }

private:
    double share_;
};

ServerPool plainPool(std::size_t servers)
{
    ServerPool pool({ .zone = ZoneId("z") });
    pool.applyServices(std::vector<ServiceDefinition> { { .name = Plain } });
    for (std::size_t index = 0; index < servers; ++index) {
        pool.applyServer({ .id = server(index),
                           .service = Plain,
                           .address = "127.0.0.1:" + std::to_string(9000 + index),
                           .zone = ZoneId("z"),
                           .slots = 8,
                           .bootedAt = 1 },
                         at(0));
    }
    return pool;
}

/// Lets the first server leave requests without an end while the others answer.
void leaveUnfinished(ServerPool &pool, std::size_t servers, std::int64_t ms)
{
    for (int count = 0; count < 5; ++count) {
        for (std::size_t index = 1; index < servers; ++index) {
            pool.noteAnswered(server(index), RouteName, Usual, at(ms + count));
        }
        pool.noteUnfinished(server(0), RouteName,
                            { .sentAt = at(ms + count) - Limit, .longestSilence = PartInterval },
                            at(ms + count));
    }
}

std::optional<ServerId> chosen(const ServerPool &pool, std::span<const ServerId> tried,
                               std::int64_t ms, std::string_view route = RouteName)
{
    const auto result = pool.choose({ .service = Plain, .tried = tried, .route = route }, at(ms));
    const auto *placement = std::get_if<Placement>(&result);
    return placement != nullptr ? std::optional(placement->server) : std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnfinishedResponsesTest)

BOOST_AUTO_TEST_CASE(serverWithoutEndOfResponsesGetsTrialsOnly)
{
    FaultyServers model(1, 1.0, 1000, 20000);
    model.run(1000);
    const unsigned before = model.calls(0);
    model.run(20000);
    // What it had at the first end, three ends, and a trial a second.
    BOOST_TEST(model.calls(0) - before <= 40U + 3U + 19U);
    BOOST_TEST(model.failed() <= 40U + 3U + 19U);
    BOOST_TEST(model.avoidances(0) > 0U);
    BOOST_TEST(model.allAvoidances() == model.avoidances(0));
}

BOOST_AUTO_TEST_CASE(serverThatLeavesHalfOfItsResponsesWithoutEndIsAvoided)
{
    FaultyServers model(1, 0.5, 1000, 30000);
    model.run(30000);
    BOOST_TEST(model.avoidances(0) > 0U);
    BOOST_TEST(model.allAvoidances() == model.avoidances(0));
    BOOST_TEST(model.failed() <= 100U);
}

BOOST_AUTO_TEST_CASE(halfOfTheServersAreAvoided)
{
    FaultyServers model(2, 1.0, 1000, 20000);
    model.run(20000);
    BOOST_TEST(model.avoidances(0) > 0U);
    BOOST_TEST(model.avoidances(1) > 0U);
    BOOST_TEST(model.failed() <= 2U * (40U + 3U + 19U));
}

BOOST_AUTO_TEST_CASE(repairedServerIsUsedAgain)
{
    FaultyServers model(1, 1.0, 1000, 10000);
    model.run(10000 + toMilliseconds(UnfinishedResponses::LongestAvoidance + Limit) + 1000);
    const unsigned used = model.calls(0);
    const unsigned compared = model.calls(1);
    model.run(30000);
    BOOST_TEST(model.calls(0) - used >= (model.calls(1) - compared) * 9 / 10);
}

BOOST_AUTO_TEST_CASE(heavyRequestsAreNotTheFaultOfTheirServers)
{
    for (const double share : { 0.01, 0.05, 0.2, 0.5, 1.0 }) {
        unsigned failed = 0;
        unsigned avoidances = 0;
        for (unsigned seed = 1; seed <= 10; ++seed) {
            HeavyRequests model(share, seed);
            model.run(60000);
            failed += model.failed();
            avoidances += model.allAvoidances();
        }
        BOOST_TEST_CONTEXT("share " << share)
        {
            BOOST_TEST(failed > 1000U);
            BOOST_TEST(avoidances <= failed / 1000);
        }
    }
}

BOOST_AUTO_TEST_CASE(serviceThatComesToAHaltHasNoAvoidedServer)
{
    FaultyServers model(4, 1.0, 1000, 20000);
    model.run(30000);
    BOOST_TEST(model.failed() > 40U);
    BOOST_TEST(model.allAvoidances() == 0U);
}

BOOST_AUTO_TEST_CASE(shortLimitOfACallerIsNoEvidence)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 100; ++count) {
        answerAtOthers(rule, at(count));
        BOOST_TEST(!unfinished(rule, 2 * Usual, PartInterval, at(count)).has_value());
    }
    BOOST_TEST(!rule.avoided(RouteName, server(0), at(100)));
}

BOOST_AUTO_TEST_CASE(silenceOfASoundServerIsNoEvidence)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 100; ++count) {
        answerAtOthers(rule, at(count));
        BOOST_TEST(
            !unfinished(rule, milliseconds(1700), milliseconds(1500), at(count)).has_value());
        BOOST_TEST(!unfinished(rule, Limit, Limit, at(count)).has_value());
    }
    BOOST_TEST(!rule.avoided(RouteName, server(0), at(100)));
}

// They ended soon, and didn't count against the server, as the memory of the node was full.
BOOST_AUTO_TEST_CASE(serverWhoseResponsesFillTheMemoryIsNotAvoided)
{
    UnfinishedResponses rule = ruleWithAnswers();
    const UnfinishedAttempt filling { .sentAt = at(0) - Usual, .withoutMemory = true };
    for (int count = 0; count < 3; ++count) {
        answerAtOthers(rule, at(count));
        static_cast<void>(
            rule.noteUnfinished(RouteName, server(0), others(4, 0), filling, at(count)));
    }
    BOOST_TEST(rule.avoided(RouteName, server(0), at(3)));
}

// Responses of others take the memory.
BOOST_AUTO_TEST_CASE(serversWhoseResponsesAllFindNoMemoryAreAvoided)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 100; ++count) {
        for (std::size_t index = 0; index < 4; ++index) {
            rule.noteAnswered(RouteName, server(index), Usual, at(count));
            if (count % 4 == 0) {
                static_cast<void>(rule.noteUnfinished(
                    RouteName, server(index), others(4, index),
                    { .sentAt = at(count) - Usual, .withoutMemory = true }, at(count)));
            }
        }
    }
    for (std::size_t index = 0; index < 4; ++index) {
        BOOST_TEST(!rule.avoided(RouteName, server(index), at(100)));
    }
}

BOOST_AUTO_TEST_CASE(callerThatReadsSlowlyIsNoEvidence)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 100; ++count) {
        answerAtOthers(rule, at(count));
        BOOST_TEST(!rule.noteUnfinished(RouteName, server(0), others(4, 0),
                                        { .sentAt = at(count) - Limit,
                                          .longestSilence = PartInterval,
                                          .callerTime = Limit - 5 * Usual },
                                        at(count))
                        .has_value());
    }
    BOOST_TEST(!rule.avoided(RouteName, server(0), at(100)));
}

BOOST_AUTO_TEST_CASE(serverThatIsSilentToTheLimitOfALongRouteIsAvoided)
{
    UnfinishedResponses rule = ruleWithAnswers();
    std::optional<UnfinishedResponses::Avoidance> avoidance;
    for (int count = 0; count < 3; ++count) {
        answerAtOthers(rule, at(count));
        avoidance = unfinished(rule, std::chrono::seconds(10), std::chrono::seconds(10), at(count));
    }
    BOOST_REQUIRE(avoidance.has_value());
    BOOST_TEST((avoidance->time == UnfinishedResponses::FirstAvoidance));
    BOOST_TEST((avoidance->usual == Usual));
}

BOOST_AUTO_TEST_CASE(trialsAreMadeOneAtATimeAndFewerWithEachFailure)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 3; ++count) {
        answerAtOthers(rule, at(count));
        static_cast<void>(unfinished(rule, Limit, PartInterval, at(count)));
    }
    Instant now = at(2);
    for (const std::int64_t seconds : { 1, 2, 4, 4 }) {
        const Duration interval = std::chrono::seconds(seconds);
        BOOST_TEST(rule.avoided(RouteName, server(0), now + interval - milliseconds(1)));
        now += interval;
        BOOST_TEST(!rule.avoided(RouteName, server(0), now));
        rule.noteSending(RouteName, server(0), now);
        BOOST_TEST(rule.avoided(RouteName, server(0), now));
        now += milliseconds(500);
        answerAtOthers(rule, now);
        const auto avoidance = unfinished(rule, milliseconds(500), PartInterval, now);
        BOOST_TEST(avoidance.has_value());
    }
}

BOOST_AUTO_TEST_CASE(endsOfRequestsFromBeforeDoNotProlongAnAvoidance)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 20; ++count) {
        answerAtOthers(rule, at(count));
        static_cast<void>(unfinished(rule, Limit, PartInterval, at(count)));
    }
    BOOST_TEST(!rule.avoided(RouteName, server(0), at(2) + UnfinishedResponses::FirstAvoidance));
}

BOOST_AUTO_TEST_CASE(answeredTrialIsFollowedByTheNextAtOnce)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 10; ++count) {
        answerAtOthers(rule, at(count));
        static_cast<void>(unfinished(rule, Limit, PartInterval, at(count)));
    }
    Instant now = at(2000);
    for (int trial = 0; trial < 5; ++trial) {
        BOOST_TEST(!rule.avoided(RouteName, server(0), now));
        rule.noteSending(RouteName, server(0), now);
        now += Usual;
        rule.noteAnswered(RouteName, server(0), Usual, now);
    }
    rule.noteSending(RouteName, server(0), now);
    BOOST_TEST(!rule.avoided(RouteName, server(0), now));
}

BOOST_AUTO_TEST_CASE(trialThatItsCallerLeavesChangesNothing)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 3; ++count) {
        answerAtOthers(rule, at(count));
        static_cast<void>(unfinished(rule, Limit, PartInterval, at(count)));
    }
    answerAtOthers(rule, at(1900));
    rule.noteSending(RouteName, server(0), at(2000));
    BOOST_TEST(!unfinished(rule, milliseconds(10), milliseconds(10), at(2010)).has_value());
    BOOST_TEST(rule.avoided(RouteName, server(0), at(2010)));
    BOOST_TEST(!rule.avoided(RouteName, server(0), at(3000)));
}

BOOST_AUTO_TEST_CASE(serverIsNotAvoidedAnyMoreOnceTheOthersAreNoBetter)
{
    UnfinishedResponses rule = ruleWithAnswers();
    for (int count = 0; count < 3; ++count) {
        answerAtOthers(rule, at(count));
        static_cast<void>(unfinished(rule, Limit, PartInterval, at(count)));
    }
    rule.noteSending(RouteName, server(0), at(3000));
    BOOST_TEST(!unfinished(rule, Limit, PartInterval, at(5000)).has_value());
    rule.noteSending(RouteName, server(0), at(5001));
    BOOST_TEST(!rule.avoided(RouteName, server(0), at(5001)));
}

BOOST_AUTO_TEST_CASE(answersOfIdleServersCountAmongFewRequests)
{
    UnfinishedResponses rule = ruleWithAnswers();
    answerAtOthers(rule, at(0));
    std::optional<UnfinishedResponses::Avoidance> avoidance;
    for (int count = 1; count <= 3; ++count) {
        avoidance = unfinished(rule, Limit, PartInterval, at(count * Limit), true);
    }
    BOOST_TEST(avoidance.has_value());
}

BOOST_AUTO_TEST_CASE(serverThatStartsAgainIsNotAvoided)
{
    ServerPool pool = plainPool(2);
    leaveUnfinished(pool, 2, 3000);
    const std::vector<ServerId> tried { server(1) };
    BOOST_TEST(!chosen(pool, tried, 3010).has_value());
    ListedServer again = *pool.listed(server(0));
    again.bootedAt = 2;
    pool.applyServer(again, at(3010));
    BOOST_TEST((chosen(pool, tried, 3010) == server(0)));
}

BOOST_AUTO_TEST_CASE(serverIsAvoidedForTheRouteOnly)
{
    ServerPool pool = plainPool(4);
    std::vector<Suspension> suspensions;
    pool.onSuspended
        = [&](const Suspension &suspension, Instant) { suspensions.push_back(suspension); };
    leaveUnfinished(pool, 4, 3000);
    BOOST_REQUIRE(suspensions.size() == 1U);
    BOOST_TEST((suspensions.front().server == server(0)));
    BOOST_TEST((suspensions.front().cause == SuspensionCause::Unfinished));
    BOOST_TEST(suspensions.front().route == RouteName);
    const std::vector<ServerId> tried { server(1), server(2), server(3) };
    BOOST_TEST(!chosen(pool, tried, 3010).has_value());
    BOOST_TEST((chosen(pool, tried, 3010, "other") == server(0)));
    BOOST_TEST(pool.takeServerUpdates(at(3010), 100).empty());
}

// The first event counted as the answer, so that a server that sends events without end was kept.
BOOST_AUTO_TEST_CASE(serverWhoseStreamsHaveNoEndIsNotAvoided)
{
    ServerPool pool = plainPool(4);
    for (int count = 0; count < 5; ++count) {
        for (std::size_t index = 0; index < 4; ++index) {
            pool.noteAnswered(server(index), RouteName, Usual, at(3000 + count));
        }
        for (std::size_t index = 1; index < 4; ++index) {
            pool.noteStreamEnded(server(index), RouteName, 2 * Usual, at(3000 + count));
        }
        pool.noteUnfinishedStream(
            server(0), RouteName,
            { .sentAt = at(3000 + count) - Limit, .longestSilence = PartInterval },
            at(3000 + count));
    }
    const std::vector<ServerId> tried { server(1), server(2), server(3) };
    BOOST_TEST(!chosen(pool, tried, 3010).has_value());
    BOOST_TEST((chosen(pool, tried, 3010, "other") == server(0)));
    BOOST_TEST((chosen(pool, tried, 4100) == server(0)));
    pool.noteSending(server(0), at(4100), RouteName);
    BOOST_TEST(!chosen(pool, tried, 4100).has_value());
    pool.removeServer(server(0), at(4200));
    pool.applyServer({ .id = server(0),
                       .service = Plain,
                       .address = "127.0.0.1:9000",
                       .zone = ZoneId("z"),
                       .slots = 8,
                       .bootedAt = 2 },
                     at(4200));
    BOOST_TEST((chosen(pool, tried, 4200) == server(0)));
}

BOOST_AUTO_TEST_CASE(onlyTrialOfAnAvoidedServerIsSent)
{
    ServerPool pool = plainPool(4);
    leaveUnfinished(pool, 4, 3000);
    const std::vector<ServerId> tried { server(1), server(2), server(3) };
    BOOST_TEST((chosen(pool, tried, 4100) == server(0)));
    pool.noteSending(server(0), at(4100), RouteName);
    BOOST_TEST(!chosen(pool, tried, 4100).has_value());
}

BOOST_AUTO_TEST_CASE(lastServerOfAServiceIsNotAvoided)
{
    ServerPool alone = plainPool(1);
    leaveUnfinished(alone, 1, 3000);
    BOOST_TEST((chosen(alone, {}, 3010) == server(0)));

    ServerPool pool = plainPool(3);
    leaveUnfinished(pool, 3, 3000);
    ListedServer leaving = *pool.listed(server(1));
    leaving.leaving = true;
    pool.applyServer(leaving, at(3010));
    BOOST_TEST((chosen(pool, {}, 3010) == server(2)));
    pool.noteUnreachable(server(2), at(3010));
    BOOST_TEST((chosen(pool, {}, 3020) == server(0)));
    pool.removeServer(server(2), at(3020));
    BOOST_TEST((chosen(pool, {}, 3030) == server(0)));
}

BOOST_AUTO_TEST_CASE(endsWhileLinksAreLostAreNoEvidence)
{
    ServerPool pool = plainPool(4);
    const std::vector<ServerId> tried { server(1), server(2), server(3) };
    pool.setLostServices({ Plain });
    leaveUnfinished(pool, 4, 3000);
    BOOST_TEST((chosen(pool, tried, 3010) == server(0)));
    pool.setLostServices({});
    leaveUnfinished(pool, 4, 4000);
    BOOST_TEST(!chosen(pool, tried, 4010).has_value());
    pool.setLostServices({ Plain });
    pool.setLostServices({});
    BOOST_TEST((chosen(pool, tried, 4010) == server(0)));
}

BOOST_AUTO_TEST_CASE(requestIsNotSentToAnAvoidedServerWhileOthersAreFull)
{
    ServerPool pool = plainPool(2);
    leaveUnfinished(pool, 2, 3000);
    const PlacementRequest request { .service = Plain, .route = RouteName };
    pool.noteSending(server(1), at(3010), RouteName);
    pool.noteSent(server(1), request, 0, at(3010));
    pool.noteEnd(server(1), AttemptOutcome::Rejected, 0, at(3010));
    BOOST_TEST(!chosen(pool, {}, 3020).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
