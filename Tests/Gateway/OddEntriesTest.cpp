#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/StoreSync.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Returns the body of the store's response to a target.
using Responder = std::function<std::string(const std::string &)>;

/// Keeps the list of servers of a scripted store in sync for `time`; returns its last state.
ObjectTable followServers(const Responder &responder, Duration time)
{
    ScriptedServer store([&](ScriptedConnection &connection) {
        http::request<http::string_body> request;
        while (connection.read(request)) {
            const std::string target(request.target().data(), request.target().size());
            connection.write(responseText(200, "", responder(target)));
        }
    });
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, unlimitedMemory());
    ObjectTable last;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Servers,
          .name = "servers",
          .watchWait = milliseconds(100),
          .minimumPause = milliseconds(20) },
        [&](const ObjectTable &table) { last = table; }, [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(time);
    return last;
}

std::string object(const std::string &name, int revision, const std::string &spec = "{}")
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
        + R"(},"spec":)" + spec + "}";
}

const std::string NoChange = R"({"events":[],"currentRev":9})";
const std::string Unnamed = R"({"metadata":{"revision":2},"spec":{}})";

bool isWatch(const std::string &target)
{
    return target.find("watch=") != std::string::npos;
}

Json::Value nested(int depth)
{
    Json::Value value;
    for (int level = 0; level < depth; ++level) {
        Json::Value outer;
        outer["x"] = std::move(value);
        value = std::move(outer);
    }
    return value;
}

bool respondOk(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(validResponse(request));
    return true;
}

unsigned statusOfCall(GatewayFixture &fixture, const std::string &key = "k1")
{
    const auto response
        = fixture.call("GET", "/safe/x", {}, "Authorization: Bearer " + key + "\r\n");
    return response == nullptr ? 0 : response->result_int();
}

/// Adds entries of another writer that no node can use.
void addOddServers(GatewayFixture &fixture, const Json::Value &entry)
{
    fixture.store.put("servers", "a-deep", nested(100));
    fixture.store.put("servers", "b-text", Json::Value("text"));
    Json::Value odd = entry;
    odd["address"] = "127.0.0.1:70000";
    fixture.store.put("servers", "c-port", odd);
    odd = entry;
    odd["born"] = 1e300;
    fixture.store.put("servers", "d-born", odd);
    odd = entry;
    odd["service"] = "unknown";
    fixture.store.put("servers", "z-service", odd);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntriesTest)

BOOST_AUTO_TEST_CASE(listGoesOnAfterAPageThatEndsWithAnEntryWithoutAName)
{
    const ObjectTable table = followServers(
        [](const std::string &target) -> std::string {
            if (isWatch(target)) {
                return NoChange;
            }
            return target.ends_with("?after=a")
                ? R"({"items":[)" + Unnamed + "," + object("b", 3) + R"(],"currentRev":9})"
                : R"({"items":[)" + object("a", 1) + "," + Unnamed
                    + R"(],"hasMore":true,"currentRev":9})";
        },
        milliseconds(500));
    BOOST_TEST(table.size() == 2U);
    BOOST_TEST(table.contains("a"));
    BOOST_TEST(table.contains("b"));
}

BOOST_AUTO_TEST_CASE(pageWithoutAnyNameToContinueAfterIsNotReadInALoop)
{
    std::atomic<int> lists { 0 };
    const ObjectTable table = followServers(
        [&](const std::string &target) {
            lists += isWatch(target) ? 0 : 1;
            return R"({"items":[)" + Unnamed + R"(],"hasMore":true,"currentRev":9})";
        },
        milliseconds(500));
    BOOST_TEST(table.empty());
    BOOST_TEST(lists < 10);
}

BOOST_AUTO_TEST_CASE(entryThatBecomesUnreadableIsReplacedAndTheOthersHold)
{
    const std::string deep = std::string(1000, '[') + std::string(1000, ']');
    std::atomic<bool> changed { false };
    const ObjectTable table = followServers(
        [&](const std::string &target) -> std::string {
            if (!isWatch(target)) {
                return R"({"items":[)" + object("a", 1) + "," + object("b", 2)
                    + R"(],"currentRev":2})";
            }
            if (changed.exchange(true)) {
                return NoChange;
            }
            return R"({"events":[{"object":)" + object("a", 3, deep) + R"(},{"object":)"
                + object("c", 4) + R"(}],"currentRev":4})";
        },
        milliseconds(500));
    BOOST_REQUIRE(table.size() == 3U);
    BOOST_TEST(!table.at("a").fault.empty());
    BOOST_TEST(table.at("a").spec.isNull());
    BOOST_TEST(table.at("b").spec.isObject());
    BOOST_TEST(table.at("c").spec.isObject());
}

BOOST_AUTO_TEST_CASE(changeWithoutANameIsFollowedByANewList)
{
    std::atomic<int> lists { 0 };
    std::atomic<int> watches { 0 };
    const ObjectTable table = followServers(
        [&](const std::string &target) -> std::string {
            if (isWatch(target)) {
                return watches++ == 0
                    ? R"({"events":[{"object":)" + Unnamed + R"(}],"currentRev":9})"
                    : NoChange;
            }
            return lists++ == 0 ? R"({"items":[)" + object("a", 1) + R"(],"currentRev":1})"
                                : R"({"items":[)" + Unnamed + R"(],"currentRev":9})";
        },
        milliseconds(700));
    BOOST_TEST(lists == 2);
    BOOST_TEST(table.empty());
}

BOOST_AUTO_TEST_CASE(nodeThatStartsWithOddEntriesServesWithTheOthers)
{
    GatewayFixture fixture;
    fixture.configure(1, { "k1" });
    fixture.addServer("s1", "plain", respondOk);
    addOddServers(fixture, fixture.store.spec("servers", "s1"));
    fixture.store.put("versions", "m", nested(100));
    fixture.store.put("nodes", "front-odd", nested(100));
    fixture.store.put("leases", "weights", nested(100));
    fixture.store.put("crashes", "requests", nested(100));
    fixture.startWithoutWaiting();
    std::this_thread::sleep_for(milliseconds(2500));
    BOOST_TEST(statusOfCall(fixture) == 200U);
}

BOOST_AUTO_TEST_CASE(changesAreFollowedAfterOddEntriesAndAnOddEntryIsUsedNoLonger)
{
    GatewayFixture fixture;
    fixture.configure(1, { "k1" });
    fixture.addServer("s1", "plain", respondOk);
    fixture.start();
    BOOST_TEST(statusOfCall(fixture) == 200U);
    const Json::Value entry = fixture.store.spec("servers", "s1");
    addOddServers(fixture, entry);
    fixture.store.put("servers", "s1", nested(100));
    std::this_thread::sleep_for(milliseconds(2500));
    BOOST_TEST(statusOfCall(fixture) == 503U);
    fixture.store.put("servers", "s1", entry);
    std::this_thread::sleep_for(milliseconds(2500));
    BOOST_TEST(statusOfCall(fixture) == 200U);
}

BOOST_AUTO_TEST_CASE(configurationThatCannotBeReadLeavesTheOneInForce)
{
    GatewayFixture fixture;
    fixture.configure(1, { "k1" });
    fixture.addServer("s1", "plain", respondOk);
    fixture.start();
    fixture.store.put("config", "main", nested(100));
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST(statusOfCall(fixture) == 200U);
    fixture.configure(3, { "k2" });
    std::this_thread::sleep_for(milliseconds(1500));
    BOOST_TEST(statusOfCall(fixture, "k2") == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
