#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/QueueLimit.h"
#include "Placement/ServerPool.h"

namespace jacinthroad {

namespace {

const ServiceId Engines("engines");
const ModelId Model("m");
constexpr Duration Objective = milliseconds(500);

Instant at(double milli)
{
    return Instant(std::chrono::hours(1) + fromMilliseconds(milli));
}

/// What callers got of one load.
struct Outcome
{
    unsigned asked = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refused = 0;
    Duration longestReturn {};
};

/// Prompts without shared parts arrive at random at engines that read one after the other.
class Load
{
public:
    struct Options
    {
        unsigned engines = 4;
        /// Arrivals as a multiple of what the engines can read.
        double pressure = 1;
        double seconds = 12;
        bool limited = true;
        std::uint64_t seed = 1;
    };

    explicit Load(const Options &options)
        : options_(options)
    {
        pool_.applyServices(std::vector<ServiceDefinition> {
            { .name = Engines,
              .engine = EngineCapacity { .slots = 128, .cacheTokens = 100000 } } });
        for (unsigned index = 0; index < options.engines; ++index) {
            const std::string name(1, static_cast<char>('a' + index));
            pool_.applyServer({ .id = ServerId(name),
                                .service = Engines,
                                .address = "127.0.0.1:" + std::to_string(9000 + index),
                                .zone = ZoneId("z"),
                                .slots = 128,
                                .models = { { Model, 1 } },
                                .bootedAt = 1 },
                              at(0));
        }
    }

    Outcome play()
    {
        std::mt19937_64 random(options_.seed);
        const double meanGap = PromptTokens * ReadMs / options_.engines / options_.pressure;
        std::exponential_distribution<double> gap(1 / meanGap);
        for (double now = gap(random); now < options_.seconds * 1000; now += gap(random)) {
            readUntil(now);
            arrive(now);
        }
        readUntil(1e9);
        return outcome_;
    }

private:
    static constexpr std::uint32_t PromptTokens = 9000;
    /// As the pool expects of each token ahead.
    static constexpr double ReadMs = 0.019;

    struct Reading
    {
        double endsAt = 0;
        double arrivedAt = 0;
        ServerId server;

        bool operator>(const Reading &other) const { return endsAt > other.endsAt; }
    };

    void readUntil(double now)
    {
        while (!readings_.empty() && readings_.top().endsAt <= now) {
            const Reading reading = readings_.top();
            readings_.pop();
            pool_.noteHeard(reading.server, at(reading.endsAt));
            pool_.noteFirstByte(reading.server, request_, 1, PromptTokens);
            pool_.noteEnd(reading.server, AttemptVerdict::Served, 0, at(reading.endsAt));
            const bool inTime = fromMilliseconds(reading.endsAt - reading.arrivedAt) <= Objective;
            ++(inTime ? outcome_.inTime : outcome_.late);
        }
    }

    void arrive(double now)
    {
        ++outcome_.asked;
        const auto chosen = pool_.choose(request_, at(now));
        BOOST_REQUIRE(std::holds_alternative<Placement>(chosen));
        const Placement &placement = std::get<Placement>(chosen);
        if (options_.limited) {
            const auto stayAway = limit_.refuse({ .wait = placement.wait,
                                                  .reading = placement.reading,
                                                  .objective = Objective,
                                                  .seed = outcome_.asked });
            if (stayAway.has_value()) {
                ++outcome_.refused;
                outcome_.longestReturn = std::max(outcome_.longestReturn, *stayAway);
                return;
            }
        }
        pool_.noteSent(placement.server, request_, 0, at(now));
        double &freeAt = freeAt_[placement.server];
        freeAt = std::max(freeAt, now) + PromptTokens * ReadMs;
        readings_.push({ .endsAt = freeAt, .arrivedAt = now, .server = placement.server });
    }

    Options options_;
    ServerPool pool_ { { .zone = ZoneId("z") } };
    QueueLimit limit_ { {} };
    PlacementRequest request_ { .service = Engines, .model = Model, .promptTokens = PromptTokens };
    std::map<ServerId, double> freeAt_;
    std::priority_queue<Reading, std::vector<Reading>, std::greater<>> readings_;
    Outcome outcome_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QueueLimitTest)

BOOST_AUTO_TEST_CASE(usualLoadIsNotRefused)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome limited = Load({ .engines = 12, .pressure = 0.6, .seed = seed }).play();
        const Outcome open
            = Load({ .engines = 12, .pressure = 0.6, .limited = false, .seed = seed }).play();
        BOOST_TEST(limited.refused * 100 <= limited.asked);
        BOOST_TEST(limited.inTime >= open.inTime);
    }
}

BOOST_AUTO_TEST_CASE(aCrowdThatTheEnginesCannotReadGetsWhatTheyCan)
{
    // Half as much again as the engines read: two in three can be in time, and nearly that are.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome limited = Load({ .pressure = 1.5, .seed = seed }).play();
        BOOST_TEST(limited.inTime * 100 >= limited.asked * 60);
        BOOST_TEST(limited.late * 100 <= limited.asked * 5);
        BOOST_TEST((limited.longestReturn <= milliseconds(3000)));
        const Outcome open = Load({ .pressure = 1.5, .limited = false, .seed = seed }).play();
        BOOST_TEST(open.inTime * 100 <= open.asked * 25);
    }
}

BOOST_AUTO_TEST_CASE(theMostUrgentWaitLonger)
{
    const QueueLimit limit({});
    const QueueLimit::Arrival usual { .wait = milliseconds(300),
                                      .reading = milliseconds(200),
                                      .objective = Objective };
    const QueueLimit::Arrival urgent { .wait = milliseconds(300),
                                       .reading = milliseconds(200),
                                       .objective = Objective,
                                       .mostUrgent = true };
    BOOST_TEST(limit.refuse(usual).has_value());
    BOOST_TEST(!limit.refuse(urgent).has_value());
}

BOOST_AUTO_TEST_CASE(shortPromptsMayWaitLonger)
{
    const QueueLimit limit({});
    const QueueLimit::Arrival shortOne { .wait = milliseconds(350),
                                         .reading = milliseconds(20),
                                         .objective = Objective };
    const QueueLimit::Arrival longOne { .wait = milliseconds(350),
                                        .reading = milliseconds(300),
                                        .objective = Objective };
    const QueueLimit::Arrival longestOne { .wait = milliseconds(240),
                                           .reading = milliseconds(3000),
                                           .objective = Objective };
    BOOST_TEST(!limit.refuse(shortOne).has_value());
    BOOST_TEST(limit.refuse(longOne).has_value());
    BOOST_TEST(!limit.refuse(longestOne).has_value());
}

BOOST_AUTO_TEST_CASE(callersAreAskedBackWhenTheQueueMayBeShorter)
{
    const QueueLimit limit({});
    std::map<Duration, unsigned> returns;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const auto stayAway
            = limit.refuse({ .wait = milliseconds(800), .objective = Objective, .seed = seed });
        BOOST_REQUIRE(stayAway.has_value());
        BOOST_TEST((*stayAway >= milliseconds(800)));
        BOOST_TEST((*stayAway <= milliseconds(1600)));
        ++returns[*stayAway];
    }
    // Not all at one moment.
    BOOST_TEST(returns.size() > 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
