#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Rollout/RolloutPlanner.h"

namespace jacinthroad {

namespace {

const ModelId Model("m");

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(milli));
}

std::vector<RolloutServer> fleet(unsigned count, WeightsVersion version)
{
    std::vector<RolloutServer> servers;
    for (unsigned index = 0; index < count; ++index) {
        servers.push_back({ .id = ServerId("s" + std::to_string(100 + index)),
                            .model = Model,
                            .version = version,
                            .bootedAt = 1 });
    }
    return servers;
}

RolloutServer &find(std::vector<RolloutServer> &servers, const ServerId &id)
{
    return *std::find_if(servers.begin(), servers.end(),
                         [&](const RolloutServer &server) { return server.id == id; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutPlannerTest)

BOOST_AUTO_TEST_CASE(everyServerLoadsOnceAndFewAtATime)
{
    constexpr std::int64_t LoadMs = 2000;
    RolloutPlanner planner({});
    std::vector<RolloutServer> servers = fleet(12, 1);
    const std::map<ModelId, WeightsVersion> desired { { Model, 2 } };
    std::map<ServerId, std::int64_t> loading;
    unsigned orders = 0;
    std::int64_t now = 0;
    for (; now < 60000 && RolloutPlanner::hasOutdatedServers(servers, desired); now += 50) {
        for (auto entry = loading.begin(); entry != loading.end();) {
            if (now - entry->second >= LoadMs) {
                find(servers, entry->first).version = 2;
                entry = loading.erase(entry);
            } else {
                ++entry;
            }
        }
        for (const RolloutStep &step : planner.plan(servers, desired, at(now))) {
            if (step.action == RolloutStep::Action::Order) {
                ++orders;
                BOOST_TEST(step.version == 2U);
                loading[step.server] = now;
                planner.noteOrderOutcome(step.server, OrderOutcome::Accepted, at(now));
            }
        }
        BOOST_TEST(loading.size() <= 2U);
    }
    BOOST_TEST(orders == 12U);
    BOOST_TEST(now < 15000);
}

BOOST_AUTO_TEST_CASE(weightsOfSecondModelAreOrderedWhateverVersionTheFirstHas)
{
    const ModelId first("a");
    const ModelId second("b");
    for (const WeightsVersion firstVersion : { 1U, 2U, 3U }) {
        BOOST_TEST_CONTEXT("first model at version " << firstVersion)
        {
            RolloutPlanner planner({});
            std::vector<RolloutServer> servers;
            for (const char *id : { "s1", "s2" }) {
                for (const auto &[model, version] :
                     { std::pair(first, firstVersion), std::pair(second, WeightsVersion { 1 }) }) {
                    servers.push_back(
                        { .id = ServerId(id), .model = model, .version = version, .bootedAt = 1 });
                }
            }
            const std::map<ModelId, WeightsVersion> desired { { first, firstVersion },
                                                              { second, 2 } };
            unsigned orders = 0;
            std::int64_t now = 0;
            for (; now < 5000 && RolloutPlanner::hasOutdatedServers(servers, desired); now += 50) {
                for (const RolloutStep &step : planner.plan(servers, desired, at(now))) {
                    if (step.action != RolloutStep::Action::Order) {
                        continue;
                    }
                    ++orders;
                    BOOST_TEST((step.model == second));
                    planner.noteOrderOutcome(step.server, OrderOutcome::Accepted, at(now));
                    for (RolloutServer &server : servers) {
                        if (server.id == step.server && server.model == step.model) {
                            server.version = step.version;
                        }
                    }
                }
            }
            BOOST_TEST(orders == 2U);
            BOOST_TEST(now < 5000);
        }
    }
}

BOOST_AUTO_TEST_CASE(serversAreDrainedBeforeTheirOrder)
{
    RolloutPlanner planner({ .drainTime = milliseconds(300) });
    const std::vector<RolloutServer> servers = fleet(6, 1);
    const std::map<ModelId, WeightsVersion> desired { { Model, 2 } };
    for (const RolloutStep &step : planner.plan(servers, desired, at(0))) {
        BOOST_TEST((step.action == RolloutStep::Action::Drain));
    }
    for (const RolloutStep &step : planner.plan(servers, desired, at(299))) {
        BOOST_TEST((step.action == RolloutStep::Action::Drain));
    }
    const auto steps = planner.plan(servers, desired, at(300));
    BOOST_TEST(std::any_of(steps.begin(), steps.end(), [](const RolloutStep &step) {
        return step.action == RolloutStep::Action::Order;
    }));
}

BOOST_AUTO_TEST_CASE(outdatedVersionIsNotOrdered)
{
    RolloutPlanner planner({});
    const std::vector<RolloutServer> servers = fleet(6, 1);
    static_cast<void>(planner.plan(servers, { { Model, 2 } }, at(0)));
    for (const RolloutStep &step : planner.plan(servers, { { Model, 3 } }, at(400))) {
        BOOST_TEST(step.version == 3U);
    }
}

BOOST_AUTO_TEST_CASE(oldestWeightsGoFirst)
{
    RolloutPlanner planner({ .concurrentLoadShare = 0.5, .drainAhead = 0 });
    std::vector<RolloutServer> servers = fleet(4, 2);
    servers[3].version = 1;
    servers[2].inFlight = 0;
    servers[0].inFlight = 9;
    servers[1].inFlight = 4;
    const auto steps = planner.plan(servers, { { Model, 3 } }, at(0));
    BOOST_REQUIRE(steps.size() == 2U);
    BOOST_TEST(steps[0].server.text() == servers[3].id.text());
    BOOST_TEST(steps[1].server.text() == servers[2].id.text());
}

BOOST_AUTO_TEST_CASE(rejectedAndUnansweredOrdersAreRetriedAfterADelay)
{
    RolloutPlanner planner({ .concurrentLoadShare = 1, .rejectedOrderDelay = milliseconds(1000) });
    const std::vector<RolloutServer> servers = fleet(1, 1);
    const std::map<ModelId, WeightsVersion> desired { { Model, 2 } };
    static_cast<void>(planner.plan(servers, desired, at(0)));
    BOOST_TEST(planner.plan(servers, desired, at(300)).size() == 1U);
    planner.noteOrderOutcome(servers[0].id, OrderOutcome::Unknown, at(400));
    BOOST_TEST(planner.plan(servers, desired, at(1300)).empty());
    BOOST_TEST(!planner.plan(servers, desired, at(1400)).empty());
}

BOOST_AUTO_TEST_CASE(restartedServerIsPlannedAgain)
{
    RolloutPlanner planner({ .concurrentLoadShare = 1 });
    std::vector<RolloutServer> servers = fleet(1, 1);
    const std::map<ModelId, WeightsVersion> desired { { Model, 2 } };
    static_cast<void>(planner.plan(servers, desired, at(0)));
    static_cast<void>(planner.plan(servers, desired, at(300)));
    planner.noteOrderOutcome(servers[0].id, OrderOutcome::Accepted, at(310));
    BOOST_TEST(planner.plan(servers, desired, at(500)).empty());
    servers[0].bootedAt = 2;
    const auto steps = planner.plan(servers, desired, at(600));
    BOOST_REQUIRE(steps.size() == 1U);
    BOOST_TEST((steps[0].action == RolloutStep::Action::Drain));
}

BOOST_AUTO_TEST_CASE(leavingServersAreIgnored)
{
    RolloutPlanner planner({});
    std::vector<RolloutServer> servers = fleet(2, 1);
    servers[0].leaving = true;
    servers[1].version = 2;
    BOOST_TEST(!RolloutPlanner::hasOutdatedServers(servers, { { Model, 2 } }));
    BOOST_TEST(planner.plan(servers, { { Model, 2 } }, at(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
