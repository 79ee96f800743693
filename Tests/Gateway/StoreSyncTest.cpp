#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/BootClock.h"
#include "Gateway/StoreSync.h"
#include "StoreStandIn.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

RelayedChanges firstPage(const RelayLog &log, const RelayPosition &position)
{
    auto changes = decodeRelayedChanges(encodeRelayPage(log.pageAfter(position, bootNow())));
    BOOST_REQUIRE(changes.has_value());
    return *changes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreSyncTest)

BOOST_AUTO_TEST_CASE(exceptionInHandlerDoesNotEndWatch)
{
    StoreStandIn store;
    store.put("nodes", "front-1", Json::Value("first"));
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, unlimitedMemory());
    unsigned calls = 0;
    unsigned completed = 0;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Nodes, .name = "nodes", .watchWait = milliseconds(100) },
        [&](const ObjectTable &table) {
            if (++calls == 1) {
                throw std::runtime_error("fault of the test");
            }
            completed += table.contains("front-1") ? 1 : 0;
        },
        [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(milliseconds(1500));
    BOOST_TEST(completed == 1U);
}

BOOST_AUTO_TEST_CASE(restoredStoreThatReachesTheWatchedRevisionAgainLeavesNoStaleObjects)
{
    StoreStandIn store;
    store.sendEra(1);
    store.put("nodes", "front-1", Json::Value("first"));
    store.snapshot();
    store.put("nodes", "front-1", Json::Value("lost"));
    store.put("nodes", "front-2", Json::Value("lost"));
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, unlimitedMemory());
    ObjectTable last;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Nodes, .name = "nodes", .watchWait = milliseconds(100) },
        [&](const ObjectTable &table) { last = table; }, [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(milliseconds(250));
    BOOST_REQUIRE(last.size() == 2U);
    // Between two turns of the context, the store goes back and reaches the same revision again.
    store.restore();
    store.put("nodes", "front-3", Json::Value("second"));
    store.put("servers", "s1", Json::Value("second"));
    context.run_for(milliseconds(500));
    BOOST_TEST(last.size() == 2U);
    BOOST_REQUIRE(last.contains("front-1"));
    BOOST_TEST(last.at("front-1").spec.asString() == "first");
    BOOST_TEST(last.contains("front-3"));
    BOOST_TEST(!last.contains("front-2"));
}

BOOST_AUTO_TEST_CASE(watchThatBelongsToAnotherEraConfirmsNothing)
{
    StoreStandIn store;
    store.sendEra(1);
    store.snapshot();
    store.put("config", "main", Json::Value("lost"));
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, unlimitedMemory());
    bool stale = false;
    unsigned confirmed = 0;
    std::string current = "lost";
    ObjectTable last;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Configuration,
          .name = "configuration",
          .watchWait = milliseconds(100) },
        [&](const ObjectTable &table) { last = table; },
        [&](BootInstant) {
            ++confirmed;
            stale = stale || !last.contains("main") || last.at("main").text != '"' + current + '"';
        });
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(milliseconds(250));
    store.restore();
    current = "second";
    store.put("config", "main", Json::Value("second"));
    const unsigned before = confirmed;
    context.run_for(milliseconds(500));
    BOOST_TEST(confirmed > before);
    BOOST_TEST(!stale);
}

BOOST_AUTO_TEST_CASE(unchangedPartsOfAConfigurationAreNotPassedOnAgain)
{
    const auto specOf = [](int version, const std::string &changed) {
        Json::Value spec;
        spec["version"] = version;
        spec["routes"][0]["name"] = "first";
        spec["routes"][1]["name"] = "second";
        spec["routes"][1]["service"] = changed;
        return spec;
    };
    StoreStandIn store;
    store.put("config", "main", specOf(1, "a"));
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, unlimitedMemory());
    ObjectTable last;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Configuration,
          .name = "configuration",
          .watchWait = milliseconds(100) },
        [&](const ObjectTable &table) { last = table; }, [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(milliseconds(250));
    BOOST_TEST(last.size() == 3U);
    const RelayedChanges all = firstPage(sync.relayLog(), {});
    BOOST_TEST(all.events.size() == 3U);
    store.put("config", "main", specOf(2, "b"));
    context.run_for(milliseconds(250));
    const RelayedChanges changes = firstPage(sync.relayLog(), all.position);
    BOOST_CHECK(changes.content == RelayContent::Changes);
    BOOST_TEST(changes.events.size() == 2U);
    store.remove("config", "main");
    context.run_for(milliseconds(250));
    BOOST_TEST(last.empty());
}

BOOST_AUTO_TEST_CASE(listOfThousandsOfServersIsRefused)
{
    // Ten times the servers and nodes of the largest site.
    constexpr std::size_t Servers = 3300;
    constexpr std::size_t ServersOfAPage = 500;
    const auto nameOf = [](std::size_t index) { return "server-" + std::to_string(10000 + index); };
    ScriptedServer store([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            const std::string target(request.target());
            if (target.find("watch=") != std::string::npos) {
                connection.write(responseText(200, "", R"({"events":[],"currentRev":9})"));
                continue;
            }
            Json::Value page;
            page["currentRev"] = 9;
            page["items"] = Json::Value(Json::arrayValue);
            const std::size_t after = target.find("after=");
            std::size_t index = 0;
            while (after != std::string::npos && index < Servers
                   && nameOf(index) <= target.substr(after + 6)) {
                ++index;
            }
            for (; index < Servers && page["items"].size() < ServersOfAPage; ++index) {
                Json::Value object;
                object["metadata"]["name"] = nameOf(index);
                object["metadata"]["revision"] = Json::UInt64(index + 1);
                Json::Value &spec = object["spec"];
                spec["service"] = "engines";
                spec["address"] = "10.200.100.100:8080";
                spec["zone"] = "zone-1";
                spec["version"] = "1.2.3";
                spec["slotCount"] = 16;
                spec["state"] = "ready";
                spec["coldLeftMs"] = 0;
                spec["seq"] = 77;
                spec["born"] = Json::UInt64(1'700'000'000'000);
                spec["models"][0]["name"] = "model-1";
                spec["models"][0]["version"] = 3;
                page["items"].append(object);
            }
            page["hasMore"] = index < Servers;
            connection.write(responseText(200, "", writeJson(page)));
        }
    });
    // A node of 110 MB.
    constexpr std::size_t AccountBytes = 70'000'000;
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics,
                       std::make_shared<MemoryBudget>(AccountBytes));
    std::size_t objects = 0;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Servers,
          .name = "servers",
          .watchWait = milliseconds(100),
          .minimumPause = milliseconds(100) },
        [&](const ObjectTable &table) { objects = table.size(); }, [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    const Instant began = std::chrono::steady_clock::now();
    while (objects == 0 && std::chrono::steady_clock::now() - began < std::chrono::seconds(10)) {
        context.run_one_for(milliseconds(20));
    }
    BOOST_TEST(objects == Servers);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
