#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Placement/ServerPool.h"

namespace jacinthroad {

namespace {

const ServiceId Engines("engines");
const ServiceId Stock("stock");
const ModelId Model("m");

Instant at(std::int64_t milli)
{
    return Instant(milliseconds(1000000 + milli));
}

ListedServer engine(const std::string &name, WeightsVersion version = 1)
{
    return { .id = ServerId(name),
             .service = Engines,
             .address = "127.0.0.1:" + std::to_string(9000 + name.back()),
             .zone = ZoneId("z"),
             .slots = 64,
             .models = { { Model, version } },
             .bootedAt = 1 };
}

ServerPool poolOf(const std::vector<ListedServer> &servers)
{
    ServerPool pool({ .zone = ZoneId("z") });
    pool.applyServices(std::vector<ServiceDefinition> {
        { .name = Engines, .engine = EngineCapacity { .slots = 64, .cacheTokens = 100000 } },
        { .name = Stock } });
    for (const ListedServer &server : servers) {
        pool.applyServer(server, at(0));
    }
    return pool;
}

Placement chosen(const ServerPool &pool, const PlacementRequest &request, Instant now)
{
    const auto result = pool.choose(request, now);
    BOOST_REQUIRE(std::holds_alternative<Placement>(result));
    return std::get<Placement>(result);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerPoolTest)

BOOST_AUTO_TEST_CASE(nodesAgreeOnTheFirstServerOfAPrompt)
{
    const std::vector<ListedServer> servers { engine("a"), engine("b"), engine("c") };
    const ServerPool one = poolOf(servers);
    const ServerPool other = poolOf({ servers[2], servers[0], servers[1] });
    std::map<std::string, unsigned> homes;
    for (std::uint64_t key = 1; key <= 60; ++key) {
        const std::vector<PromptPart> parts { { key * 7919, 6000 } };
        const PlacementRequest request {
            .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
        };
        const std::string home = chosen(one, request, at(0)).server.text();
        BOOST_TEST(home == chosen(other, request, at(0)).server.text());
        ++homes[home];
    }
    BOOST_TEST(homes.size() == 3U);
}

BOOST_AUTO_TEST_CASE(burstOfLongPromptsSpreadsOverTheServers)
{
    // Twelve long prompts with one shared head arrive at once: the head was read on one server.
    // No server may get a third of them while others stand idle.
    ServerPool pool
        = poolOf({ engine("a"), engine("b"), engine("c"), engine("d"), engine("e"), engine("f") });
    const std::vector<PromptPart> parts { { 42, 2500 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 12000
    };
    const Placement first = chosen(pool, request, at(0));
    pool.noteSent(first.server, request, 0, at(0));
    pool.noteFirstByte(first.server, request, 1, 12000);
    std::map<std::string, unsigned> sent;
    unsigned fetched = 0;
    for (int count = 0; count < 12; ++count) {
        const Placement placement = chosen(pool, request, at(1));
        const std::uint32_t found = std::max(placement.heldTokens, placement.fetchedTokens);
        BOOST_TEST(found == 2500U);
        fetched += placement.fetchFrom.empty() ? 0 : 1;
        pool.noteSent(placement.server, request, found, at(0));
        ++sent[placement.server.text()];
    }
    for (const auto &[server, count] : sent) {
        BOOST_TEST(count <= 3U);
    }
    BOOST_TEST(fetched >= 5U);
}

BOOST_AUTO_TEST_CASE(whatPeersHaveSentCountsAsWorkAhead)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    const std::string usual = chosen(pool, request, at(0)).server.text();
    pool.applyPeer(
        "peer",
        std::vector<ServerUpdate> {
            { .server = ServerId(usual), .inFlight = 2, .pendingPrefillTokens = 30000 } },
        at(0));
    BOOST_TEST(chosen(pool, request, at(10)).server.text() != usual);
    // A peer that has fallen silent is forgotten.
    BOOST_TEST(chosen(pool, request, at(30000)).server.text() == usual);
}

BOOST_AUTO_TEST_CASE(closedServersGetNoWorkAndAreNoSource)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
    };
    const Placement first = chosen(pool, request, at(0));
    pool.noteSent(first.server, request, 0, at(0));
    pool.noteFirstByte(first.server, request, 1, 8000);
    pool.closeForLoad(first.server, Model, 2, at(3000));
    const Placement second = chosen(pool, request, at(1));
    BOOST_TEST(second.server.text() != first.server.text());
    BOOST_TEST(second.fetchFrom.empty());
    // The new weights open it, and nothing that it held before counts.
    pool.noteWeights(first.server, Model, 2);
    const std::vector<ServerId> tried { second.server };
    const Placement third = chosen(pool,
                                   { .service = Engines,
                                     .model = Model,
                                     .parts = parts,
                                     .promptTokens = 8000,
                                     .tried = tried },
                                   at(2));
    BOOST_TEST(third.server.text() == first.server.text());
    BOOST_TEST(*third.weights == 2U);
    BOOST_TEST(third.heldTokens == 0U);
}

BOOST_AUTO_TEST_CASE(partsOfOtherWeightsAreNeverFetched)
{
    ServerPool pool = poolOf({ engine("a", 1), engine("b", 2) });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
    };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    pool.noteFirstByte(ServerId("a"), request, 1, 8000);
    const std::vector<ServerId> tried { ServerId("a") };
    const Placement placement = chosen(pool,
                                       { .service = Engines,
                                         .model = Model,
                                         .parts = parts,
                                         .promptTokens = 8000,
                                         .tried = tried },
                                       at(1));
    BOOST_TEST(placement.server.text() == "b");
    BOOST_TEST(placement.fetchFrom.empty());
}

BOOST_AUTO_TEST_CASE(overdueWeightsGetNoWork)
{
    // A server that was silent for twenty seconds comes back with weights replaced long ago.
    ServerPool pool = poolOf({ engine("a", 1), engine("b", 2) });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    pool.applyNamedWeights({ .model = Model, .version = 1 }, at(0));
    pool.applyNamedWeights({ .model = Model, .version = 2 }, at(1000));
    pool.applyNamedWeights({ .model = Model, .version = 2 }, at(9000));
    const std::vector<ServerId> tried { ServerId("b") };
    const PlacementRequest second {
        .service = Engines, .model = Model, .promptTokens = 10, .tried = tried
    };
    BOOST_TEST(chosen(pool, second, at(12999)).server.text() == "a");
    BOOST_TEST(std::holds_alternative<NoPlacement>(pool.choose(second, at(13000))));
    BOOST_TEST(chosen(pool, request, at(13000)).server.text() == "b");
}

BOOST_AUTO_TEST_CASE(peersKeepWorkOffServersThatLeaveOrHaveLeft)
{
    // One node reads the list often; the other has read it last while all servers stood in it.
    const std::vector<ListedServer> servers { engine("a"), engine("b"), engine("c") };
    ServerPool reader = poolOf(servers);
    ServerPool other = poolOf(servers);
    ListedServer leaving = engine("a");
    leaving.leaving = true;
    reader.applyServer(leaving, at(1000));
    reader.removeServer(ServerId("b"), at(1000));
    other.applyPeer("reader", reader.takeNotices(at(1010), 10), at(1011));
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    for (int milli = 1011; milli < 3000; milli += 100) {
        BOOST_TEST(chosen(other, request, at(milli)).server.text() == "c");
        BOOST_TEST(chosen(other, request, at(milli)).candidates == 1U);
    }
    // A server that is listed again is welcome.
    reader.applyServer(engine("b"), at(2000));
    for (const ServerUpdate &notice : reader.takeNotices(at(2010), 10)) {
        BOOST_TEST((notice.server.text() != "b" || notice.avoidMs == 0));
    }
}

BOOST_AUTO_TEST_CASE(aNodeThatHasJustStartedLearnsWhatIsOverdueFromItsPeers)
{
    ServerPool old = poolOf({ engine("a", 1) });
    old.applyNamedWeights({ .model = Model, .version = 2 }, at(1000));
    ServerPool started = poolOf({ engine("a", 1) });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    started.applyNamedWeights({ .model = Model, .version = 2 }, at(9000));
    BOOST_TEST(chosen(started, request, at(13000)).server.text() == "a");
    started.applyNamedAges(old.namedAges(at(9200)), at(9200));
    BOOST_TEST(chosen(started, request, at(12900)).server.text() == "a");
    BOOST_TEST(std::holds_alternative<NoPlacement>(started.choose(request, at(13001))));
}

BOOST_AUTO_TEST_CASE(cachesAreKnownWhicheverIsReadFirst)
{
    // A node that starts may read the list of servers before the configuration.
    ServerPool pool({ .zone = ZoneId("z") });
    pool.applyServer(engine("a"), at(0));
    pool.applyServices(std::vector<ServiceDefinition> {
        { .name = Engines, .engine = EngineCapacity { .slots = 64, .cacheTokens = 100000 } } });
    const std::vector<PromptPart> first { { 1, 3000 } };
    const std::vector<PromptPart> second { { 2, 3000 } };
    pool.noteSent(ServerId("a"), { .service = Engines, .model = Model, .parts = first }, 0, at(0));
    pool.noteSent(ServerId("a"), { .service = Engines, .model = Model, .parts = second }, 0, at(0));
    const Placement placement
        = chosen(pool, { .service = Engines, .model = Model, .parts = first }, at(1));
    BOOST_TEST(placement.heldTokens == 3000U);
}

BOOST_AUTO_TEST_CASE(isolatedTeamsShareNothing)
{
    ServerPool pool = poolOf({ engine("a") });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    pool.noteSent(ServerId("a"),
                  { .service = Engines, .model = Model, .parts = parts, .wall = "north" }, 0,
                  at(0));
    const Placement other = chosen(
        pool, { .service = Engines, .model = Model, .parts = parts, .wall = "south" }, at(1));
    BOOST_TEST(other.heldTokens == 0U);
    const Placement own = chosen(
        pool, { .service = Engines, .model = Model, .parts = parts, .wall = "north" }, at(1));
    BOOST_TEST(own.heldTokens == 6000U);
}

BOOST_AUTO_TEST_CASE(theStoreServesPartsThatTheEnginesHaveDropped)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    pool.applyServices(std::vector<ServiceDefinition> {
        { .name = Engines, .engine = EngineCapacity { .slots = 64, .cacheTokens = 100000 } },
        { .name = ServiceId("kept"),
          .cacheStoreAddress = "127.0.0.1:7000",
          .cacheStoreTokens = 1000000 } });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
    };
    const Placement first = chosen(pool, request, at(0));
    BOOST_TEST(first.saveTo == "127.0.0.1:7000");
    pool.noteSent(first.server, request, 0, at(0));
    // The parts are on their way to the store: they need not be sent twice.
    BOOST_TEST(chosen(pool, request, at(1)).saveTo.empty());
    // Nothing arrived: the transfer failed.
    BOOST_TEST(chosen(pool, request, at(3001)).saveTo == "127.0.0.1:7000");
    pool.noteFirstByte(first.server, request, 1, 8000);
    const std::uint64_t key = partKey(Model, cacheSalt(1, ""), 42);
    pool.applyCacheEvents(ServerId("kept"), { .held = { { key, 6000 } } });
    pool.applyCacheEvents(first.server, { .dropped = { key } });
    const Placement later = chosen(pool, request, at(2));
    BOOST_TEST(later.fetchFrom == "127.0.0.1:7000");
    BOOST_TEST(later.fetchedTokens == 6000U);
    // A store that has started again holds nothing.
    pool.applyCacheEvents(ServerId("kept"), { .restarted = true });
    BOOST_TEST(chosen(pool, request, at(3)).fetchFrom.empty());
}

BOOST_AUTO_TEST_CASE(leavingAndUnreachableServersAreAvoided)
{
    ListedServer leaving = engine("a");
    leaving.leaving = true;
    ServerPool pool = poolOf({ leaving, engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    BOOST_TEST(chosen(pool, request, at(0)).server.text() == "b");
    pool.noteSent(ServerId("b"), request, 0, at(0));
    pool.noteEnd(ServerId("b"), AttemptVerdict::Unreachable, 0, at(0));
    const auto none = pool.choose(request, at(1));
    BOOST_REQUIRE(std::holds_alternative<NoPlacement>(none));
    BOOST_TEST(std::get<NoPlacement>(none).listed == 2U);
    BOOST_TEST(chosen(pool, request, at(2500)).server.text() == "b");
}

BOOST_AUTO_TEST_CASE(aServerThatFallsSilentGetsNoMoreWork)
{
    // An engine loses its power under requests: it stays listed and its connections hang.
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 400 };
    const ServerId dead = chosen(pool, request, at(0)).server;
    pool.noteSent(dead, request, 0, at(0));
    BOOST_TEST(!pool.silent(dead, at(300)));
    BOOST_TEST(pool.silent(dead, at(500)));
    BOOST_TEST(chosen(pool, request, at(500)).server.text() != dead.text());
    // Whoever hears it, hears it for all.
    pool.applyPeer(
        "peer",
        std::vector<ServerUpdate> { { .server = dead, .inFlight = 1, .unresponsiveMs = 20 } },
        at(500));
    BOOST_TEST(!pool.silent(dead, at(500)));
    BOOST_TEST(pool.silent(dead, at(1000)));
    pool.noteHeard(dead, at(1010));
    BOOST_TEST(!pool.silent(dead, at(1020)));
}

BOOST_AUTO_TEST_CASE(aLongPromptExplainsSilence)
{
    ServerPool pool = poolOf({ engine("a") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 40000 };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    BOOST_TEST(!pool.silent(ServerId("a"), at(1500)));
    BOOST_TEST(pool.silent(ServerId("a"), at(3000)));
}

BOOST_AUTO_TEST_CASE(aServerThatOnePeerCannotReachIsAvoided)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 400 };
    const ServerId usual = chosen(pool, request, at(0)).server;
    pool.applyPeer("peer", std::vector<ServerUpdate> { { .server = usual, .avoidMs = 500 } },
                   at(0));
    BOOST_TEST(chosen(pool, request, at(499)).server.text() != usual.text());
    BOOST_TEST(chosen(pool, request, at(500)).server.text() == usual.text());
}

BOOST_AUTO_TEST_CASE(aServerThatStartsAgainHoldsNothing)
{
    ServerPool pool = poolOf({ engine("a") });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request { .service = Engines, .model = Model, .parts = parts };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    BOOST_TEST(chosen(pool, request, at(1)).heldTokens == 6000U);
    ListedServer again = engine("a");
    again.bootedAt = 2;
    pool.applyServer(again, at(2));
    BOOST_TEST(chosen(pool, request, at(3)).heldTokens == 0U);
}

BOOST_AUTO_TEST_CASE(plainRequestsGoWhereSlotsAreFree)
{
    std::vector<ListedServer> servers;
    for (const char *name : { "a", "b", "c" }) {
        servers.push_back({ .id = ServerId(name),
                            .service = Stock,
                            .address = "127.0.0.1:1",
                            .zone = ZoneId("z"),
                            .slots = 6,
                            .bootedAt = 1 });
    }
    ServerPool pool = poolOf(servers);
    const PlacementRequest request { .service = Stock };
    std::map<std::string, unsigned> sent;
    for (int count = 0; count < 18; ++count) {
        const Placement placement = chosen(pool, request, at(0));
        pool.noteSent(placement.server, request, 0, at(0));
        ++sent[placement.server.text()];
    }
    for (const auto &[server, count] : sent) {
        BOOST_TEST(count == 6U);
    }
}

BOOST_AUTO_TEST_CASE(noticesTellASendOnceAndNothingOfIdleServers)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    static_cast<void>(pool.takeNotices(at(0), 100));
    BOOST_TEST(pool.takeNotices(at(1), 100).empty());
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
    };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    const auto notices = pool.takeNotices(at(2), 100);
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices[0].inFlight == 1U);
    BOOST_TEST(notices[0].pendingPrefillTokens == 8000U);
    BOOST_TEST(notices[0].sentParts.size() == 1U);
    BOOST_TEST(pool.takeNotices(at(3), 100)[0].sentParts.empty());
}

BOOST_AUTO_TEST_CASE(aNodeThatHasJustStartedIsToldOfCachesInPieces)
{
    ServerPool home = poolOf({ engine("a") });
    CacheEvents events;
    for (std::uint64_t id = 1; id <= 150; ++id) {
        events.held.push_back({ partKey(Model, cacheSalt(1, ""), id), 100 });
    }
    home.applyCacheEvents(ServerId("a"), events);
    while (home.partsLeftToTell()) {
        static_cast<void>(home.takeNotices(at(0), 80));
    }
    ServerPool started = poolOf({ engine("a") });
    home.retellCache(ServerId("a"));
    unsigned digests = 0;
    while (home.partsLeftToTell()) {
        started.applyPeer("home", home.takeNotices(at(1), 80), at(1));
        ++digests;
    }
    BOOST_TEST(digests == 2U);
    const std::vector<PromptPart> parts { { 150, 100 } };
    BOOST_TEST(
        chosen(started, { .service = Engines, .model = Model, .parts = parts }, at(2)).heldTokens
        == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
