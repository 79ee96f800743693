#include <fstream>
#include <string>
#include <vector>

#include <malloc.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "Placement/ServerPool.h"

namespace jacinthroad {

namespace {

constexpr Instant Start { std::chrono::seconds(1000) };
constexpr unsigned Servers = 200;
/// Names that a datagram may claim, all of which a node hears.
constexpr int Names = 2000;
/// A twentieth of the 40 MB that a node has for what isn't in the account of received data.
constexpr std::size_t MaxGrowthBytes = 2'000'000;

std::size_t residentBytes()
{
    // What an earlier case has freed must not hide growth.
    malloc_trim(0);
    std::ifstream file("/proc/self/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

ServerPool poolOfManyServers()
{
    ServerPool pool({ .zone = ZoneId("z1") });
    for (unsigned index = 0; index < Servers; ++index) {
        pool.applyServer({ .id = ServerId("s" + std::to_string(index)),
                           .service = ServiceId("engines"),
                           .address = "10.0.0.1:1",
                           .zone = ZoneId("z1"),
                           .slots = 16,
                           .models = { { ModelId("m"), 1 } },
                           .bootedAt = 1 },
                         Start);
    }
    return pool;
}

/// What a node reports that has a request on each server.
std::vector<ServerUpdate> loadOnAll()
{
    std::vector<ServerUpdate> updates;
    for (unsigned index = 0; index < Servers; ++index) {
        updates.push_back({ .server = ServerId("s" + std::to_string(index)), .inFlight = 1 });
    }
    return updates;
}

double costOfNext(const ServerPool &pool, Instant now)
{
    const auto result
        = pool.choose({ .service = ServiceId("engines"), .model = ModelId("m") }, now);
    return std::get<Placement>(result).cost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerLoadTest)

BOOST_AUTO_TEST_CASE(loadsOfEndlessNamesAreKept)
{
    ServerPool pool = poolOfManyServers();
    const std::vector<ServerUpdate> updates = loadOnAll();
    const std::size_t before = residentBytes();
    for (int number = 0; number < Names; ++number) {
        pool.applyPeer("node-" + std::to_string(number), updates, Start);
    }
    BOOST_TEST(residentBytes() <= before + MaxGrowthBytes);
}

BOOST_AUTO_TEST_CASE(loadsOfFormerNamesAreKept)
{
    constexpr int NamesAtOnce = 50;
    ServerPool pool = poolOfManyServers();
    const std::vector<ServerUpdate> updates = loadOnAll();
    const std::size_t before = residentBytes();
    Instant now = Start;
    for (int number = 0; number < Names; ++number) {
        now += number % NamesAtOnce == 0 ? std::chrono::minutes(1) : std::chrono::minutes(0);
        pool.applyPeer("node-" + std::to_string(number), updates, now);
    }
    BOOST_TEST(residentBytes() <= before + MaxGrowthBytes);
}

BOOST_AUTO_TEST_CASE(loadOfStartedPeerIsIgnoredUntilItIsListed)
{
    ServerPool pool = poolOfManyServers();
    const double without = costOfNext(pool, Start);
    pool.applyPeer("started", loadOnAll(), Start);
    BOOST_TEST(costOfNext(pool, Start) > without);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
