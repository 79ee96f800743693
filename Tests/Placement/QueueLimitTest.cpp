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

/// The outcomes of all requests of a load.
struct Outcome
{
    unsigned arrived = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned rejected = 0;
    Duration longestRetryDelay {};
};

/// A simulated load: prompts without shared parts arrive at random at engines that prefill one
/// prompt at a time.
class Load
{
public:
    struct Options
    {
        unsigned engines = 4;
        /// Arrival rate as a multiple of the engines' prefill capacity.
        double loadFactor = 1;
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

    Outcome run()
    {
        std::mt19937_64 random(options_.seed);
        const double meanGap
            = PromptTokens * PrefillMsPerToken / options_.engines / options_.loadFactor;
        std::exponential_distribution<double> gap(1 / meanGap);
        for (double now = gap(random); now < options_.seconds * 1000; now += gap(random)) {
            completePrefillsUntil(now);
            arrive(now);
        }
        completePrefillsUntil(1e9);
        return outcome_;
    }

private:
    static constexpr std::uint32_t PromptTokens = 9000;
    /// Prefill time per token; equals the pool's estimate for tokens ahead.
    static constexpr double PrefillMsPerToken = 0.019;

    struct Prefill
    {
        double endsAt = 0;
        double arrivedAt = 0;
        ServerId server;

        bool operator>(const Prefill &other) const { return endsAt > other.endsAt; }
    };

    void completePrefillsUntil(double now)
    {
        while (!prefills_.empty() && prefills_.top().endsAt <= now) {
            const Prefill prefill = prefills_.top();
            prefills_.pop();
            pool_.noteReceived(prefill.server, at(prefill.endsAt));
            pool_.noteFirstByte(prefill.server, request_, 1, PromptTokens);
            pool_.noteEnd(prefill.server, AttemptOutcome::Served, 0, at(prefill.endsAt));
            const bool inTime = fromMilliseconds(prefill.endsAt - prefill.arrivedAt) <= Objective;
            ++(inTime ? outcome_.inTime : outcome_.late);
        }
    }

    void arrive(double now)
    {
        ++outcome_.arrived;
        const auto chosen = pool_.choose(request_, at(now));
        BOOST_REQUIRE(std::holds_alternative<Placement>(chosen));
        const Placement &placement = std::get<Placement>(chosen);
        if (options_.limited) {
            const auto delay = limit_.retryDelay({ .wait = placement.wait,
                                                   .prefillTime = placement.prefillTime,
                                                   .objective = Objective,
                                                   .seed = outcome_.arrived });
            if (delay.has_value()) {
                ++outcome_.rejected;
                outcome_.longestRetryDelay = std::max(outcome_.longestRetryDelay, *delay);
                return;
            }
        }
        pool_.noteSent(placement.server, request_, 0, at(now));
        double &freeAt = freeAt_[placement.server];
        freeAt = std::max(freeAt, now) + PromptTokens * PrefillMsPerToken;
        prefills_.push({ .endsAt = freeAt, .arrivedAt = now, .server = placement.server });
    }

    Options options_;
    ServerPool pool_ { { .zone = ZoneId("z") } };
    QueueLimit limit_ { {} };
    PlacementRequest request_ { .service = Engines, .model = Model, .promptTokens = PromptTokens };
    std::map<ServerId, double> freeAt_;
    std::priority_queue<Prefill, std::vector<Prefill>, std::greater<>> prefills_;
    Outcome outcome_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QueueLimitTest)

BOOST_AUTO_TEST_CASE(usualLoadIsAccepted)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome limited = Load({ .engines = 12, .loadFactor = 0.6, .seed = seed }).run();
        const Outcome open
            = Load({ .engines = 12, .loadFactor = 0.6, .limited = false, .seed = seed }).run();
        BOOST_TEST(limited.rejected * 100 <= limited.arrived);
        BOOST_TEST(limited.inTime >= open.inTime);
    }
}

BOOST_AUTO_TEST_CASE(overloadIsServedUpToThePrefillCapacity)
{
    // At 1.5 times the prefill capacity two in three requests can be in time; nearly as many must
    // be.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome limited = Load({ .loadFactor = 1.5, .seed = seed }).run();
        BOOST_TEST(limited.inTime * 100 >= limited.arrived * 60);
        BOOST_TEST(limited.late * 100 <= limited.arrived * 5);
        BOOST_TEST((limited.longestRetryDelay <= milliseconds(3000)));
        const Outcome open = Load({ .loadFactor = 1.5, .limited = false, .seed = seed }).run();
        BOOST_TEST(open.inTime * 100 <= open.arrived * 25);
    }
}

BOOST_AUTO_TEST_CASE(mostUrgentRequestsMayWaitLonger)
{
    const QueueLimit limit({});
    const QueueLimit::Arrival usual { .wait = milliseconds(300),
                                      .prefillTime = milliseconds(200),
                                      .objective = Objective };
    const QueueLimit::Arrival urgent { .wait = milliseconds(300),
                                       .prefillTime = milliseconds(200),
                                       .objective = Objective,
                                       .mostUrgent = true };
    BOOST_TEST(limit.retryDelay(usual).has_value());
    BOOST_TEST(!limit.retryDelay(urgent).has_value());
}

BOOST_AUTO_TEST_CASE(shortPromptsMayWaitLonger)
{
    const QueueLimit limit({});
    const QueueLimit::Arrival shortPrompt { .wait = milliseconds(350),
                                            .prefillTime = milliseconds(20),
                                            .objective = Objective };
    const QueueLimit::Arrival longPrompt { .wait = milliseconds(350),
                                           .prefillTime = milliseconds(300),
                                           .objective = Objective };
    const QueueLimit::Arrival veryLongPrompt { .wait = milliseconds(240),
                                               .prefillTime = milliseconds(3000),
                                               .objective = Objective };
    BOOST_TEST(!limit.retryDelay(shortPrompt).has_value());
    BOOST_TEST(limit.retryDelay(longPrompt).has_value());
    BOOST_TEST(!limit.retryDelay(veryLongPrompt).has_value());
}

BOOST_AUTO_TEST_CASE(retryDelaysCoverTheQueueAndAreSpread)
{
    const QueueLimit limit({});
    std::map<Duration, unsigned> delays;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        const auto delay
            = limit.retryDelay({ .wait = milliseconds(800), .objective = Objective, .seed = seed });
        BOOST_REQUIRE(delay.has_value());
        BOOST_TEST((*delay >= milliseconds(800)));
        BOOST_TEST((*delay <= milliseconds(1600)));
        ++delays[*delay];
    }
    // The delays are spread.
    BOOST_TEST(delays.size() > 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
