#include <boost/test/unit_test.hpp>

#include "Placement/ServicePaths.h"

namespace jacinthroad {

namespace {

const ServiceId Model("model");
const ServiceId Plain("plain");

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(milli));
}

ServerId engine(int number)
{
    return ServerId("e" + std::to_string(number));
}

/// Four engines and one plain server.
ServicePaths paths()
{
    ServicePaths result;
    std::map<ServerId, ServiceId> servers { { ServerId("p"), Plain } };
    for (int number = 0; number < 4; ++number) {
        servers.emplace(engine(number), Model);
    }
    result.setServers(servers);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServicePathsTest)

BOOST_AUTO_TEST_CASE(serviceWithoutReachableServersIsUnreachableThoughOthersAreReached)
{
    ServicePaths known = paths();
    known.noteFailed(engine(0), at(0));
    BOOST_TEST(!known.unreachable(Model, at(0)));
    known.noteFailed(engine(1), at(10));
    known.noteReached(ServerId("p"));
    BOOST_TEST(known.unreachable(Model, at(10)));
    BOOST_TEST(!known.unreachable(Plain, at(10)));
}

BOOST_AUTO_TEST_CASE(oneAcceptedConnectionEndsTheLoss)
{
    ServicePaths known = paths();
    for (int number = 0; number < 4; ++number) {
        known.noteFailed(engine(number), at(0));
    }
    known.noteReached(engine(2));
    BOOST_TEST(!known.unreachable(Model, at(1)));
    BOOST_TEST(known.probes(at(1)).empty());
}

BOOST_AUTO_TEST_CASE(oldFailuresDoNotCount)
{
    ServicePaths known = paths();
    known.noteFailed(engine(0), at(0));
    known.noteFailed(engine(1), at(0));
    BOOST_TEST(known.unreachable(Model, at(1999)));
    BOOST_TEST(!known.unreachable(Model, at(2000)));
}

BOOST_AUTO_TEST_CASE(firstFailureIsFollowedByProbesOfOtherServers)
{
    ServicePaths known = paths();
    BOOST_TEST(known.probes(at(0)).empty());
    known.noteFailed(engine(0), at(0));
    const auto probes = known.probes(at(0));
    BOOST_TEST(probes.size() == 3U);
    for (const ServerId &probed : probes) {
        BOOST_TEST(probed.text() != "e0");
        BOOST_TEST(probed.text() != "p");
    }
    BOOST_TEST(known.probes(at(149)).empty());
}

BOOST_AUTO_TEST_CASE(oneServerOfAnUnreachableServiceIsProbedAtATime)
{
    ServicePaths known = paths();
    for (int number = 0; number < 4; ++number) {
        known.noteFailed(engine(number), at(1000));
    }
    const auto first = known.probes(at(1000));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(known.probes(at(1100)).empty());
    const auto second = known.probes(at(1150));
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(first.front().text() != second.front().text());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
