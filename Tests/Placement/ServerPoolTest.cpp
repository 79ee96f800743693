#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/Hashing.h"
#include "FleetPeers/NodeDigest.h"
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

BOOST_AUTO_TEST_CASE(nodesAgreeOnTheOwnerOfAPrompt)
{
    const std::vector<ListedServer> servers { engine("a"), engine("b"), engine("c") };
    const ServerPool one = poolOf(servers);
    const ServerPool other = poolOf({ servers[2], servers[0], servers[1] });
    std::map<std::string, unsigned> owners;
    for (std::uint64_t key = 1; key <= 60; ++key) {
        const std::vector<PromptPart> parts { { key * 7919, 6000 } };
        const PlacementRequest request {
            .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
        };
        const std::string owner = chosen(one, request, at(0)).server.text();
        BOOST_TEST(owner == chosen(other, request, at(0)).server.text());
        ++owners[owner];
    }
    BOOST_TEST(owners.size() == 3U);
}

BOOST_AUTO_TEST_CASE(burstOfLongPromptsIsSpreadOverTheServers)
{
    // Twelve long prompts with a shared prefix arrive at once and one server has the prefix cached.
    // No server may get a third of them while others are idle.
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
        const std::uint32_t found
            = std::max(placement.cachedPromptTokens, placement.tokensAfterFetch);
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

BOOST_AUTO_TEST_CASE(requestsOfPeersCountAsWorkAhead)
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
    // The report of a peer that has stopped responding expires.
    BOOST_TEST(chosen(pool, request, at(30000)).server.text() == usual);
}

BOOST_AUTO_TEST_CASE(cordonedServersGetNoWorkAndAreNotFetchedFrom)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
    };
    const Placement first = chosen(pool, request, at(0));
    pool.noteSent(first.server, request, 0, at(0));
    pool.noteFirstByte(first.server, request, 1, 8000);
    pool.cordonForLoad(first.server, Model, 2, at(3000));
    const Placement second = chosen(pool, request, at(1));
    BOOST_TEST(second.server.text() != first.server.text());
    BOOST_TEST(second.fetchFrom.empty());
    // The new weights end the cordon, and the parts cached before are void.
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
    BOOST_TEST(third.cachedPromptTokens == 0U);
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

BOOST_AUTO_TEST_CASE(expiredWeightsGetNoWork)
{
    // A server that was unresponsive for 20 seconds returns with long outdated weights.
    ServerPool pool = poolOf({ engine("a", 1), engine("b", 2) });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    pool.applyDesiredWeights({ .model = Model, .version = 1 }, at(0));
    pool.applyDesiredWeights({ .model = Model, .version = 2 }, at(1000));
    pool.applyDesiredWeights({ .model = Model, .version = 2 }, at(9000));
    const std::vector<ServerId> tried { ServerId("b") };
    const PlacementRequest second {
        .service = Engines, .model = Model, .promptTokens = 10, .tried = tried
    };
    BOOST_TEST(chosen(pool, second, at(12999)).server.text() == "a");
    BOOST_TEST(std::holds_alternative<NoPlacement>(pool.choose(second, at(13000))));
    BOOST_TEST(chosen(pool, request, at(13000)).server.text() == "b");
}

BOOST_AUTO_TEST_CASE(peersAvoidLeavingAndRemovedServers)
{
    // One node has read the new list of servers; the other still has the old list.
    const std::vector<ListedServer> servers { engine("a"), engine("b"), engine("c") };
    ServerPool reader = poolOf(servers);
    ServerPool other = poolOf(servers);
    ListedServer leaving = engine("a");
    leaving.leaving = true;
    reader.applyServer(leaving, at(1000));
    reader.removeServer(ServerId("b"), at(1000));
    other.applyPeer("reader", reader.takeServerUpdates(at(1010), 10), at(1011));
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    for (int milli = 1011; milli < 3000; milli += 100) {
        BOOST_TEST(chosen(other, request, at(milli)).server.text() == "c");
        BOOST_TEST(chosen(other, request, at(milli)).candidates == 1U);
    }
    // A server that is listed again is not avoided.
    reader.applyServer(engine("b"), at(2000));
    for (const ServerUpdate &update : reader.takeServerUpdates(at(2010), 10)) {
        BOOST_TEST((update.server.text() != "b" || update.avoidMs == 0));
    }
}

BOOST_AUTO_TEST_CASE(startedNodeLearnsOutdatedWeightsFromPeers)
{
    ServerPool running = poolOf({ engine("a", 1) });
    running.applyDesiredWeights({ .model = Model, .version = 2 }, at(1000));
    ServerPool started = poolOf({ engine("a", 1) });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    started.applyDesiredWeights({ .model = Model, .version = 2 }, at(9000));
    BOOST_TEST(chosen(started, request, at(13000)).server.text() == "a");
    started.applyDesiredWeightsAges(running.desiredWeightsAges(at(9200)), at(9200));
    BOOST_TEST(chosen(started, request, at(12900)).server.text() == "a");
    BOOST_TEST(std::holds_alternative<NoPlacement>(started.choose(request, at(13001))));
}

BOOST_AUTO_TEST_CASE(cacheCapacityIsAppliedToServersListedEarlier)
{
    // A starting node may read the list of servers before the configuration.
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
    BOOST_TEST(placement.cachedPromptTokens == 3000U);
}

BOOST_AUTO_TEST_CASE(isolatedTeamsShareNothing)
{
    ServerPool pool = poolOf({ engine("a") });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    pool.noteSent(ServerId("a"),
                  { .service = Engines, .model = Model, .parts = parts, .cacheScope = "north" }, 0,
                  at(0));
    const Placement other = chosen(
        pool, { .service = Engines, .model = Model, .parts = parts, .cacheScope = "south" }, at(1));
    BOOST_TEST(other.cachedPromptTokens == 0U);
    const Placement own = chosen(
        pool, { .service = Engines, .model = Model, .parts = parts, .cacheScope = "north" }, at(1));
    BOOST_TEST(own.cachedPromptTokens == 6000U);
}

BOOST_AUTO_TEST_CASE(partsRemovedFromEnginesAreFetchedFromTheStore)
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
    // The parts are being saved to the store and are not saved twice.
    BOOST_TEST(chosen(pool, request, at(1)).saveTo.empty());
    // The store has not reported the parts in time, so the transfer has failed.
    BOOST_TEST(chosen(pool, request, at(3001)).saveTo == "127.0.0.1:7000");
    pool.noteFirstByte(first.server, request, 1, 8000);
    const std::uint64_t key = partKey(Model, cacheSalt(1, ""), 42);
    pool.applyCacheEvents(ServerId("kept"), { .stored = { { key, 6000 } } });
    pool.applyCacheEvents(first.server, { .removed = { key } });
    const Placement later = chosen(pool, request, at(2));
    BOOST_TEST(later.fetchFrom == "127.0.0.1:7000");
    BOOST_TEST(later.tokensAfterFetch == 6000U);
    // A store that has restarted is empty.
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
    pool.noteEnd(ServerId("b"), AttemptOutcome::Unreachable, 0, at(0));
    const auto none = pool.choose(request, at(1));
    BOOST_REQUIRE(std::holds_alternative<NoPlacement>(none));
    BOOST_TEST(std::get<NoPlacement>(none).listed == 2U);
    BOOST_TEST(chosen(pool, request, at(2500)).server.text() == "b");
}

BOOST_AUTO_TEST_CASE(unresponsiveServerGetsNoWork)
{
    // An engine loses power while it runs requests: it stays listed and its connections hang.
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 400 };
    const ServerId dead = chosen(pool, request, at(0)).server;
    pool.noteSent(dead, request, 0, at(0));
    BOOST_TEST(!pool.unresponsive(dead, at(300)));
    BOOST_TEST(pool.unresponsive(dead, at(500)));
    BOOST_TEST(chosen(pool, request, at(500)).server.text() != dead.text());
    // Data that one peer received proves to all nodes that the server is alive.
    pool.applyPeer(
        "peer",
        std::vector<ServerUpdate> { { .server = dead, .inFlight = 1, .unresponsiveMs = 20 } },
        at(500));
    BOOST_TEST(!pool.unresponsive(dead, at(500)));
    BOOST_TEST(pool.unresponsive(dead, at(1000)));
    pool.noteReceived(dead, at(1010));
    BOOST_TEST(!pool.unresponsive(dead, at(1020)));
}

BOOST_AUTO_TEST_CASE(longPrefillDoesNotMakeAServerUnresponsive)
{
    ServerPool pool = poolOf({ engine("a") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 40000 };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    BOOST_TEST(!pool.unresponsive(ServerId("a"), at(1500)));
    BOOST_TEST(pool.unresponsive(ServerId("a"), at(3000)));
}

BOOST_AUTO_TEST_CASE(serverUnreachableFromAPeerIsAvoided)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 400 };
    const ServerId usual = chosen(pool, request, at(0)).server;
    pool.applyPeer("peer", std::vector<ServerUpdate> { { .server = usual, .avoidMs = 500 } },
                   at(0));
    BOOST_TEST(chosen(pool, request, at(499)).server.text() != usual.text());
    BOOST_TEST(chosen(pool, request, at(500)).server.text() == usual.text());
}

BOOST_AUTO_TEST_CASE(restartedServerHasAnEmptyCache)
{
    ServerPool pool = poolOf({ engine("a") });
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request { .service = Engines, .model = Model, .parts = parts };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    BOOST_TEST(chosen(pool, request, at(1)).cachedPromptTokens == 6000U);
    ListedServer again = engine("a");
    again.bootedAt = 2;
    pool.applyServer(again, at(2));
    BOOST_TEST(chosen(pool, request, at(3)).cachedPromptTokens == 0U);
}

BOOST_AUTO_TEST_CASE(plainRequestsGoToServersWithFreeSlots)
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

BOOST_AUTO_TEST_CASE(updatesReportSentPartsOnceAndOmitIdleServers)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    static_cast<void>(pool.takeServerUpdates(at(0), 100));
    BOOST_TEST(pool.takeServerUpdates(at(1), 100).empty());
    const std::vector<PromptPart> parts { { 42, 6000 } };
    const PlacementRequest request {
        .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000
    };
    pool.noteSent(ServerId("a"), request, 0, at(0));
    const auto updates = pool.takeServerUpdates(at(2), 100);
    BOOST_REQUIRE(updates.size() == 1U);
    BOOST_TEST(updates[0].inFlight == 1U);
    BOOST_TEST(updates[0].pendingPrefillTokens == 8000U);
    BOOST_TEST(updates[0].sentParts.size() == 1U);
    BOOST_TEST(pool.takeServerUpdates(at(3), 100)[0].sentParts.empty());
}

BOOST_AUTO_TEST_CASE(updatesOfManyBusyServersStayWithinTheSizeOfADigest)
{
    constexpr int ServerCount = 148;
    constexpr std::size_t MaxBytes = 1400;
    std::vector<ListedServer> servers;
    for (int number = 0; number < ServerCount; ++number) {
        servers.push_back(engine("i-" + std::to_string(1000000000 + number), 1));
    }
    ServerPool pool = poolOf(servers);
    for (const ListedServer &server : servers) {
        const std::vector<PromptPart> parts { { hash64(server.id.text()), 6000 } };
        pool.noteSent(server.id,
                      { .service = Engines, .model = Model, .parts = parts, .promptTokens = 8000 },
                      0, at(0));
    }
    // Weights that are not known yet are urgent; they are reported once.
    static_cast<void>(pool.takeServerUpdates(at(0), 0));
    std::set<std::string> reported;
    std::size_t partCount = 0;
    for (int round = 1; round <= 20; ++round) {
        const NodeDigest digest { .node = "front-hoogeveen-9",
                                  .boot = 1796385283123,
                                  .sequence = 100000,
                                  .configurationVersion = 100000,
                                  .configurationAgeMs = 2500,
                                  .servers = pool.takeServerUpdates(at(round), 80, MaxBytes) };
        BOOST_TEST(encodeDigest(digest).size() <= MaxBytes + 100);
        for (const ServerUpdate &update : digest.servers) {
            reported.insert(update.server.text());
            partCount += update.sentParts.size();
        }
    }
    BOOST_TEST(reported.size() == std::size_t { ServerCount });
    BOOST_TEST(partCount == std::size_t { ServerCount });
}

BOOST_AUTO_TEST_CASE(serversNotToBeUsedAreReportedFirst)
{
    std::vector<ListedServer> servers;
    for (int number = 0; number < 50; ++number) {
        servers.push_back(engine("s" + std::to_string(number)));
    }
    ServerPool pool = poolOf(servers);
    static_cast<void>(pool.takeServerUpdates(at(0), 100));
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 8000 };
    for (const ListedServer &server : servers) {
        pool.noteSent(server.id, request, 0, at(0));
    }
    ListedServer leaving = engine("s17");
    leaving.leaving = true;
    pool.applyServer(leaving, at(1));
    pool.cordonForLoad(ServerId("s31"), Model, 2, at(1000));
    pool.removeServer(ServerId("s49"), at(1));
    for (int round = 1; round <= 3; ++round) {
        std::set<std::string> notToBeUsed;
        for (const ServerUpdate &update : pool.takeServerUpdates(at(1 + round), 100, 60)) {
            if (update.avoidMs > 0 || update.cordonedForMs > 0) {
                notToBeUsed.insert(update.server.text());
            }
        }
        BOOST_TEST((notToBeUsed == std::set<std::string> { "s17", "s31", "s49" }));
    }
}

BOOST_AUTO_TEST_CASE(cachedPartsAreSentToAStartedNodeInSeveralDigests)
{
    ServerPool sender = poolOf({ engine("a") });
    CacheEvents events;
    for (std::uint64_t id = 1; id <= 150; ++id) {
        events.stored.push_back({ partKey(Model, cacheSalt(1, ""), id), 100 });
    }
    sender.applyCacheEvents(ServerId("a"), events);
    while (sender.hasPendingParts()) {
        static_cast<void>(sender.takeServerUpdates(at(0), 80));
    }
    ServerPool started = poolOf({ engine("a") });
    sender.resendCachedParts(ServerId("a"));
    unsigned digests = 0;
    while (sender.hasPendingParts()) {
        started.applyPeer("sender", sender.takeServerUpdates(at(1), 80), at(1));
        ++digests;
    }
    BOOST_TEST(digests == 2U);
    const std::vector<PromptPart> parts { { 150, 100 } };
    BOOST_TEST(chosen(started, { .service = Engines, .model = Model, .parts = parts }, at(2))
                   .cachedPromptTokens
               == 100U);
}

BOOST_AUTO_TEST_CASE(startsOfSeveralNodesQueueEachCachedPartOnce)
{
    ServerPool sender = poolOf({ engine("a") });
    CacheEvents events;
    for (std::uint64_t id = 1; id <= 150; ++id) {
        events.stored.push_back({ partKey(Model, cacheSalt(1, ""), id), 100 });
    }
    sender.applyCacheEvents(ServerId("a"), events);
    while (sender.hasPendingParts()) {
        static_cast<void>(sender.takeServerUpdates(at(0), 80));
    }
    ServerPool first = poolOf({ engine("a") });
    ServerPool second = poolOf({ engine("a") });
    sender.resendCachedParts(ServerId("a"));
    first.applyPeer("sender", sender.takeServerUpdates(at(1), 80), at(1));
    sender.resendCachedParts(ServerId("a"));
    unsigned digests = 0;
    while (sender.hasPendingParts()) {
        const auto updates = sender.takeServerUpdates(at(2), 80);
        first.applyPeer("sender", updates, at(2));
        second.applyPeer("sender", updates, at(2));
        ++digests;
    }
    BOOST_TEST(digests == 2U);
    for (const ServerPool *node : { &first, &second }) {
        for (std::uint64_t id = 1; id <= 150; ++id) {
            const std::vector<PromptPart> parts { { id, 100 } };
            const PlacementRequest request { .service = Engines, .model = Model, .parts = parts };
            BOOST_TEST(chosen(*node, request, at(3)).cachedPromptTokens == 100U);
        }
    }
}

BOOST_AUTO_TEST_CASE(onlyServersOfTheNamedSoftwareVersionsTakeARequest)
{
    ListedServer old = engine("e1");
    old.softwareVersion = "v1";
    ListedServer newer = engine("e2");
    newer.softwareVersion = "v2";
    ServerPool pool = poolOf({ old, newer });
    const std::set<SoftwareVersion> oldOnly { "v1" };
    const std::set<SoftwareVersion> both { "v1", "v2" };
    const std::set<SoftwareVersion> none;
    const std::vector<ServerId> tried { old.id };
    PlacementRequest request { .service = Engines, .model = Model, .softwareVersions = &oldOnly };
    for (int count = 0; count < 10; ++count) {
        const Placement placement = chosen(pool, request, at(1));
        BOOST_TEST((placement.server == old.id));
        BOOST_TEST(placement.softwareVersion == "v1");
        BOOST_TEST(placement.candidates == 1U);
        pool.noteSent(placement.server, request, 0, at(1));
    }
    request.tried = tried;
    BOOST_TEST(std::holds_alternative<NoPlacement>(pool.choose(request, at(1))));
    request.softwareVersions = &both;
    BOOST_TEST((chosen(pool, request, at(1)).server == newer.id));
    request.softwareVersions = &none;
    BOOST_TEST(std::holds_alternative<NoPlacement>(pool.choose(request, at(1))));
}

BOOST_AUTO_TEST_CASE(ownerOfAPromptIsAmongTheServersOfTheNamedSoftwareVersions)
{
    std::vector<ListedServer> servers;
    for (int index = 0; index < 8; ++index) {
        servers.push_back(engine("e" + std::to_string(index)));
        servers.back().softwareVersion = index % 2 == 0 ? "v1" : "v2";
    }
    const std::vector<ListedServer> old { servers[0], servers[2], servers[4], servers[6] };
    const std::set<SoftwareVersion> oldOnly { "v1" };
    const ServerPool pool = poolOf(servers);
    const ServerPool oldPool = poolOf(old);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        const std::vector<PromptPart> parts { { .id = id, .tokens = 500 } };
        PlacementRequest request {
            .service = Engines, .model = Model, .parts = parts, .promptTokens = 600
        };
        const Placement expected = chosen(oldPool, request, at(1));
        request.softwareVersions = &oldOnly;
        BOOST_TEST((chosen(pool, request, at(1)).server == expected.server));
    }
}

BOOST_AUTO_TEST_CASE(peerThatCannotConnectTakesNoServerThatHasJustSentData)
{
    ServerPool pool = poolOf({ engine("a"), engine("b"), engine("c") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    for (std::int64_t milli = 0; milli < 2000; milli += 100) {
        std::vector<ServerUpdate> updates;
        for (const char *name : { "a", "b", "c" }) {
            pool.noteReceived(ServerId(name), at(milli));
            updates.push_back({ .server = ServerId(name), .avoidMs = 500 });
        }
        pool.applyPeer("peer", updates, at(milli + 10));
        BOOST_TEST(chosen(pool, request, at(milli + 20)).candidates == 3U);
    }
}

BOOST_AUTO_TEST_CASE(peerThatHasDataOfAServerOutweighsOneThatCannotConnect)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    const std::vector<ServerUpdate> sound {
        { .server = ServerId("a"), .inFlight = 1, .unresponsiveMs = 20 }
    };
    const std::vector<ServerUpdate> avoiding { { .server = ServerId("a"), .avoidMs = 500 } };
    pool.applyPeer("sound", sound, at(0));
    pool.applyPeer("cut", avoiding, at(10));
    BOOST_TEST(chosen(pool, request, at(20)).candidates == 2U);
    // Nor does the sound one have any data for long.
    BOOST_TEST(chosen(pool, request, at(400)).candidates == 1U);
}

BOOST_AUTO_TEST_CASE(serverThatSentDataAndThenFailedIsAvoidedOnReportsOfPeers)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    pool.noteReceived(ServerId("a"), at(0));
    const std::vector<ServerUpdate> avoiding { { .server = ServerId("a"), .avoidMs = 1000 } };
    pool.applyPeer("peer", avoiding, at(510));
    BOOST_TEST(chosen(pool, request, at(520)).candidates == 1U);
    pool.noteReceived(ServerId("a"), at(600));
    BOOST_TEST(chosen(pool, request, at(610)).candidates == 2U);
}

BOOST_AUTO_TEST_CASE(peerWithoutLinksTakesBackItsReports)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    const std::vector<ServerUpdate> avoiding {
        { .server = ServerId("a"), .avoidMs = 1000 },
        { .server = ServerId("b"), .inFlight = 3, .unresponsiveMs = 900 }
    };
    pool.applyPeer("cut", avoiding, at(0));
    BOOST_TEST(std::holds_alternative<NoPlacement>(pool.choose(request, at(10))));
    pool.applyPeer("cut", avoiding, at(20), PeerScope::NodeWithoutLinks);
    BOOST_TEST(chosen(pool, request, at(30)).candidates == 2U);
}

BOOST_AUTO_TEST_CASE(peerWithoutLinksToAServiceTakesBackItsReportsOfIt)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    const std::vector<ServerUpdate> avoiding { { .server = ServerId("a"), .avoidMs = 1000 } };
    const std::vector<ServiceId> otherService { Stock };
    const std::vector<ServiceId> service { Engines };
    pool.applyPeer("cut", avoiding, at(0), PeerScope::Node, otherService);
    BOOST_TEST(chosen(pool, request, at(10)).candidates == 1U);
    pool.applyPeer("cut", avoiding, at(20), PeerScope::Node, service);
    BOOST_TEST(chosen(pool, request, at(30)).candidates == 2U);
}

BOOST_AUTO_TEST_CASE(peerWithoutLinksStillReportsServersThatLeave)
{
    ServerPool reader = poolOf({ engine("a"), engine("b"), engine("c") });
    ServerPool other = poolOf({ engine("a"), engine("b"), engine("c") });
    ListedServer leaving = engine("a");
    leaving.leaving = true;
    reader.setLostServices({ Engines });
    reader.noteUnreachable(ServerId("c"), at(1000));
    reader.applyServer(leaving, at(1000));
    reader.removeServer(ServerId("b"), at(1000));
    for (const char *name : { "a", "b" }) {
        other.noteReceived(ServerId(name), at(1010));
    }
    other.applyPeer("reader", reader.takeServerUpdates(at(1010), 10), at(1011),
                    PeerScope::NodeWithoutLinks);
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 10 };
    BOOST_TEST(chosen(other, request, at(1020)).server.text() == "c");
    BOOST_TEST(chosen(other, request, at(1020)).candidates == 1U);
}

BOOST_AUTO_TEST_CASE(unreachableServerIsReportedOnceALinkIsProven)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    const auto avoidMs = [&](std::int64_t milli) {
        std::uint32_t longest = 0;
        for (const ServerUpdate &update : pool.takeServerUpdates(at(milli), 10)) {
            longest = std::max(longest, update.avoidMs);
        }
        return longest;
    };
    pool.noteConnected(ServerId("b"), at(0));
    pool.noteUnreachable(ServerId("a"), at(10));
    BOOST_TEST(avoidMs(20) == 0U);
    pool.noteConnected(ServerId("b"), at(30));
    BOOST_TEST(avoidMs(40) > 0U);
    pool.setLostServices({ Engines });
    BOOST_TEST(avoidMs(50) == 0U);
}

BOOST_AUTO_TEST_CASE(noServerStaysSuspendedAfterALostLink)
{
    ServerPool pool = poolOf({ engine("a"), engine("b"), engine("c") });
    const PlacementRequest request { .service = Engines, .model = Model, .promptTokens = 500 };
    pool.setLostServices({ Engines });
    for (std::int64_t milli = 0; milli < 12000; milli += 500) {
        for (const char *name : { "a", "b", "c" }) {
            pool.noteUnreachable(ServerId(name), at(milli));
        }
    }
    BOOST_TEST(std::holds_alternative<NoPlacement>(pool.choose(request, at(11990))));
    pool.setLostServices({});
    BOOST_TEST(chosen(pool, request, at(12000)).candidates == 3U);
}

BOOST_AUTO_TEST_CASE(suspensionsNameTheirEvidence)
{
    ServerPool pool = poolOf({ engine("a"), engine("b") });
    std::vector<std::string> suspensions;
    pool.onSuspended = [&](const Suspension &suspension, Instant) {
        suspensions.push_back(suspension.server.text() + " "
                              + std::to_string(static_cast<int>(suspension.cause)) + " "
                              + std::string(suspension.peer));
    };
    const std::vector<ServerUpdate> updates { { .server = ServerId("b"), .avoidMs = 500 } };
    pool.noteUnreachable(ServerId("a"), at(0));
    pool.applyPeer("peer", updates, at(1));
    const std::vector<std::string> expected {
        "a " + std::to_string(static_cast<int>(SuspensionCause::NotConnected)) + " ",
        "b " + std::to_string(static_cast<int>(SuspensionCause::PeerReport)) + " peer"
    };
    BOOST_TEST(suspensions == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
