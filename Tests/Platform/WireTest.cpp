#include <cstdint>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "platform/CacheEvents.h"
#include "platform/CallerWire.h"
#include "platform/Orders.h"
#include "platform/ServerWire.h"
#include "platform/Store.h"
#include "platform/StoreObjects.h"

namespace jacinthroad::platform {

namespace http = boost::beast::http;

namespace {

http::request_header<> sampleHeader()
{
    http::request_header<> header;
    header.method(http::verb::post);
    header.target("/lepu/2f?x=1");
    header.version(11);
    header.set("Host", "Jepu9.example:80");
    header.set("X-Request-Id", "9c41");
    header.set("X-Model", "daka");
    header.set("X-Token-Counts", "1460,80");
    header.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    header.set("X-Deadline-Ms", "4000");
    header.set("Authorization", "Bearer key-of-team");
    return header;
}

Json::Value sampleServer()
{
    return *parseJson(
        R"({"service":"huvo","address":"10.128.0.9:8080","zone":"norte","version":"v1",
        "slotCount":128,"state":"ready","coldLeftMs":0,"stage":"both","born":1780000000000,
        "models":[{"name":"daka","version":3,"adapters":[]}],"seq":4})");
}

} // namespace

BOOST_AUTO_TEST_SUITE(WireTest)

BOOST_AUTO_TEST_CASE(decodesCallerRequest)
{
    const auto request = readCallerRequest(sampleHeader());
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->id.text() == "9c41");
    BOOST_TEST(request->host == "jepu9.example");
    BOOST_TEST(request->path == "/lepu/2f");
    BOOST_TEST(request->key == "key-of-team");
    BOOST_TEST((*request->callerTimeout == milliseconds(4000)));
    BOOST_TEST(request->parts.size() == 3U);
    BOOST_TEST(request->parts[1].id == 0x91bd3f06U);
    BOOST_TEST(request->parts[1].tokens == 410U);
    BOOST_TEST(request->promptTokens == 1460U);
    BOOST_TEST(request->maximumOutputTokens == 80U);
    BOOST_TEST(request->resumes.empty());
}

BOOST_AUTO_TEST_CASE(decodesOriginOfResumedStream)
{
    http::request_header<> header = sampleHeader();
    header.set("Last-Event-Id", "12");
    header.set("Resumes", "5e0c");
    const auto request = readCallerRequest(header);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->resumeAfter == "12");
    BOOST_TEST(request->resumes.text() == "5e0c");
    header.insert("Resumes", "other");
    BOOST_TEST(!readCallerRequest(header).has_value());
}

BOOST_AUTO_TEST_CASE(pathsThatServersMayResolveToReservedOnesAreReserved)
{
    for (const char *target : { "/-/order",          "/-/",
                                "/-/order?x=1",      "/-/kv-pin/5c1e",
                                "/-//order",         "/-/../a",
                                "/%2D/order",        "/%2d/order",
                                "/%2d%2Forder",      "/-%2forder",
                                "/%2F-/order",       "//-/order",
                                "///-//order",       "/./-/order",
                                "/.//./-/order",     "/../-/order",
                                "/a/../-/order",     "/a/b/../../-/order",
                                "/a//../-/order",    "/a/%2e%2e/-/order",
                                "/a/.%2E/%2d/order", "/a%2F../-/order",
                                "/a%2Fb/../-/order", "/a%2Fb/../-%2Forder",
                                "/%2e/-/order",      "/b/../-/a//../../x" }) {
        http::request_header<> header = sampleHeader();
        header.target(target);
        const auto request = readCallerRequest(header);
        BOOST_REQUIRE(request.has_value());
        BOOST_TEST(request->pathReserved, target);
    }
}

BOOST_AUTO_TEST_CASE(otherPathsAreNotReserved)
{
    for (const char *target : { "/",
                                "//",
                                "/-",
                                "/%2d",
                                "/-?x=/-/order",
                                "/a?x=/-/order",
                                "/a?/../-/order",
                                "/-a/",
                                "/-a/order",
                                "/a-/order",
                                "/--/order",
                                "/-./order",
                                "/-%20/order",
                                "/a/-/b",
                                "/a/-/",
                                "/a//-/b",
                                "/a/./-/b",
                                "/a/b/../-/c",
                                "/a%2F-/b",
                                "/a%2Fb/-/c",
                                "/%2Fa/-/b",
                                "/.../-/b",
                                "/%/-/b",
                                "/%2/-/b",
                                "/%zz/-/b",
                                "/%",
                                "/%2",
                                "/a/../-",
                                "/%2d%3F/order" }) {
        http::request_header<> header = sampleHeader();
        header.target(target);
        const auto request = readCallerRequest(header);
        BOOST_REQUIRE(request.has_value());
        BOOST_TEST(!request->pathReserved, target);
    }
}

BOOST_AUTO_TEST_CASE(rejectsMalformedMissingAndRepeatedHeaders)
{
    const std::vector<std::pair<const char *, const char *>> malformedValues {
        { "X-Deadline-Ms", "soon" },
        { "X-Deadline-Ms", "-4" },
        { "X-Token-Counts", "12" },
        { "X-Prompt-Prefix", "zz:1" },
        { "X-Prompt-Prefix", "1" }
    };
    for (const auto &[name, value] : malformedValues) {
        http::request_header<> header = sampleHeader();
        header.set(name, value);
        BOOST_TEST(!readCallerRequest(header).has_value(), name << ": " << value);
    }
    http::request_header<> repeated = sampleHeader();
    repeated.insert("X-Request-Id", "other");
    BOOST_TEST(!readCallerRequest(repeated).has_value());
    http::request_header<> missingId = sampleHeader();
    missingId.erase("X-Request-Id");
    BOOST_TEST(!readCallerRequest(missingId).has_value());
    http::request_header<> absolute = sampleHeader();
    absolute.target("http://other.example/");
    BOOST_TEST(!readCallerRequest(absolute).has_value());
}

BOOST_AUTO_TEST_CASE(forwardedHeaderOmitsKeyAndRouterHeaders)
{
    http::request_header<> header = sampleHeader();
    for (const char *name : { "X-Tenant", "X-Expect-Instance", "X-Cache-Salt", "X-Hold", "Kv-From",
                              "X-Kv-Backup", "X-Pin-Ms", "X-Kv-Fetch-From", "X-Kv-Save-To",
                              "X-Request-Priority", "X-Expect-Version" }) {
        header.set(name, "forged");
    }
    header.set("Connection", "X-Model, X-Request-Id");
    header.set("X-Custom", "kept");
    const auto to = forwardHeader(header,
                                  { .server = ServerId("i-1"),
                                    .team = TeamId("north"),
                                    .timeLeft = milliseconds(1234),
                                    .weights = 3,
                                    .cacheSalt = "v3",
                                    .urgency = 1 });
    for (const auto &field : to) {
        BOOST_TEST(field.value() != "forged", field.name_string());
    }
    BOOST_TEST(to.count("Authorization") == 0U);
    BOOST_TEST(to.count("Connection") == 0U);
    BOOST_TEST(to["X-Model"] == "daka");
    BOOST_TEST(to["X-Request-Id"] == "9c41");
    BOOST_TEST(to["X-Custom"] == "kept");
    BOOST_TEST(to["X-Tenant"] == "north");
    BOOST_TEST(to["X-Expect-Instance"] == "i-1");
    BOOST_TEST(to["X-Deadline-Ms"] == "1234");
    BOOST_TEST(to["X-Expect-Version"] == "3");
    BOOST_TEST(to.target() == "/lepu/2f?x=1");
}

BOOST_AUTO_TEST_CASE(onlyTheServersStatementMeansNotRun)
{
    http::response_header<> header;
    header.result(503);
    BOOST_TEST(!readResponseInfo(header, ServerId("i-1")).notRun);
    header.set("X-Not-Run", "1");
    BOOST_TEST(readResponseInfo(header, ServerId("i-1")).notRun);
    http::response_header<> other;
    other.result(421);
    other.set("X-Instance-Id", "i-2");
    BOOST_TEST(readResponseInfo(other, ServerId("i-1")).notRun);
    BOOST_TEST(readResponseInfo(other, ServerId("i-1")).wrongServer);
    BOOST_TEST(!readResponseInfo(other, ServerId("i-2")).wrongServer);
}

BOOST_AUTO_TEST_CASE(statementsOfServersAreDecoded)
{
    constexpr std::int64_t Now = 784111777000; // Sun, 06 Nov 1994 08:49:37 GMT
    const auto pauseOf = [](const std::vector<std::string> &values, unsigned status = 503) {
        http::response_header<> header;
        for (const std::string &value : values) {
            header.insert("Retry-After", value);
        }
        return readServerStatement(header, status, Now).pause;
    };
    BOOST_TEST((pauseOf({ "3" }) == milliseconds(3000)));
    BOOST_TEST((pauseOf({ "0.25" }) == milliseconds(250)));
    BOOST_TEST((pauseOf({ "3600" }) == std::chrono::hours(1)));
    BOOST_TEST((pauseOf({ "Sun, 06 Nov 1994 08:49:40 GMT" }) == milliseconds(3000)));
    BOOST_TEST((pauseOf({ "1", "4", "soon" }) == milliseconds(4000)));
    BOOST_TEST(pauseOf({ "1e300" }).has_value());
    for (const std::string value : { "0", "-1", "-0", "nan", "NaN", "inf", "soon", "3 s", "",
                                     "Sun, 06 Nov 1994 08:49:30 GMT", "Sun, 06 Nov 1994" }) {
        BOOST_TEST(!pauseOf({ value }).has_value(), value);
    }
    for (const unsigned status : { 200U, 421U, 429U, 500U }) {
        BOOST_TEST(!pauseOf({ "3" }, status).has_value(), status);
    }
    http::response_header<> header;
    BOOST_TEST(!readServerStatement(header, 200, Now).leaving);
    header.set("Server-Leaving", "0");
    BOOST_TEST(!readServerStatement(header, 200, Now).leaving);
    header.set("Server-Leaving", "1");
    header.set("Server-Limit", "1.5");
    for (const unsigned status : { 200U, 202U, 421U, 429U, 500U, 503U }) {
        BOOST_TEST(readServerStatement(header, status, Now).leaving, status);
        BOOST_TEST((readServerStatement(header, status, Now).requestsPerSecond == 1.5));
    }
}

BOOST_AUTO_TEST_CASE(decodesHowManyRejectionsABrittleServerTolerates)
{
    const auto tolerated = [](const std::string &value, unsigned status) {
        http::response_header<> header;
        header.set("Server-Brittle", value);
        return readServerStatement(header, status, 0).toleratedRejections;
    };
    for (const unsigned status : { 200U, 202U, 421U, 429U, 500U, 503U }) {
        BOOST_TEST((tolerated("3", status) == 3U), status);
        BOOST_TEST((tolerated("0", status) == 0U), status);
    }
    for (const std::string value : { "", "-1", "x", "99999999999" }) {
        BOOST_TEST(!tolerated(value, 200).has_value(), value);
    }
    BOOST_TEST(!readServerStatement(http::response_header<>(), 200, 0).toleratedRejections);
}

BOOST_AUTO_TEST_CASE(onlyA503ThatStatesThatItHasNotRunTheRequestSaysThatTheServerIsFull)
{
    http::response_header<> header;
    BOOST_TEST(!readServerStatement(header, 503, 0).full);
    header.set("X-Not-Run", "1");
    BOOST_TEST(readServerStatement(header, 503, 0).full);
    for (const unsigned status : { 200U, 400U, 421U, 429U }) {
        BOOST_TEST(!readServerStatement(header, status, 0).full, status);
    }
}

BOOST_AUTO_TEST_CASE(decodesLoadWithAndWithoutSlowdown)
{
    http::response_header<> header;
    header.result(200);
    header.set("X-Instance-Load", "3,1,8,250");
    header.set("Keep-Alive", "timeout=7");
    header.set("X-Weight-Versions", "5");
    const ResponseInfo info = readResponseInfo(header, ServerId("i-1"));
    BOOST_TEST(info.statement.load->waiting == 1U);
    BOOST_TEST(info.statement.load->slowdown == 2.5);
    BOOST_TEST((*info.keepAlive == std::chrono::seconds(7)));
    BOOST_TEST(*info.weights == 5U);
    header.set("X-Instance-Load", "3,1,8");
    BOOST_TEST(readResponseInfo(header, ServerId("i-1")).statement.load->slowdown == 1.0);
    header.set("X-Instance-Load", "3,x");
    BOOST_TEST(!readResponseInfo(header, ServerId("i-1")).statement.load.has_value());
}

BOOST_AUTO_TEST_CASE(rejectsMalformedServerEntries)
{
    const auto server = readServer("i-7f", sampleServer());
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST(server->models.at(ModelId("daka")) == 3U);
    BOOST_TEST(server->bootedAt == 1780000000000);
    BOOST_TEST(!server->leaving);
    for (const char *field : { "service", "address", "zone", "version", "slotCount", "state",
                               "coldLeftMs", "seq", "born" }) {
        Json::Value missing = sampleServer();
        missing.removeMember(field);
        BOOST_TEST(!readServer("i-7f", missing).has_value(), field);
        Json::Value other = sampleServer();
        other[field] = Json::Value(Json::arrayValue);
        BOOST_TEST(!readServer("i-7f", other).has_value(), field);
    }
    Json::Value state = sampleServer();
    state["state"] = "asleep";
    BOOST_TEST(!readServer("i-7f", state).has_value());
    BOOST_TEST(!readServer("i-7f", Json::Value("text")).has_value());
    BOOST_TEST(!readServer("i-7f", Json::Value()).has_value());
    state["state"] = "draining";
    BOOST_TEST(readServer("i-7f", state)->leaving);
}

BOOST_AUTO_TEST_CASE(serverEntryNamesItsSoftwareVersion)
{
    BOOST_TEST(readServer("i-7f", sampleServer())->softwareVersion == "v1");
    Json::Value entry = sampleServer();
    for (const char *odd : { "1", "1.5", "true", "[]", "{}", R"(["v1"])" }) {
        entry["version"] = *parseJson(odd);
        BOOST_TEST(!readServer("i-7f", entry).has_value(), odd);
    }
}

BOOST_AUTO_TEST_CASE(decodesConfiguration)
{
    const auto read = readConfiguration(*parseJson(
        R"({"version":7,"routes":[{"name":"r","hostname":"Jepu9.example","pathPrefix":"/l/",
        "kind":"streaming","timeoutMs":5000,"targetLatencyMs":500,"priority":1,
        "trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":2,
        "allowAnonymous":false,"sticky":true,"resumable":true,"targetGapMs":250},
        {"name":"q","hostname":"h","pathPrefix":"/q/","kind":"safe","timeoutMs":800,
        "targetLatencyMs":300,"priority":2,"service":"a","maxAttempts":2}],
        "services":[{"name":"a","healthPath":"/health","maxConnections":620,
        "engine":{"slotCount":128,"kvCapacityTokens":129948}},
        {"name":"kv","kvStoreAddr":"172.20.0.2:8781","zone":"sur"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000},
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"isolated":true}]})"));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->version == 7U);
    BOOST_TEST(read->routes[0].host == "jepu9.example");
    BOOST_TEST(read->routes[0].resumable);
    BOOST_TEST(read->routes[0].services[1].weight == 10);
    BOOST_TEST((read->routes[1].kind == RouteKind::Safe));
    BOOST_TEST(read->routes[1].services[0].service.text() == "a");
    BOOST_TEST(read->services[0].engine->cacheTokens == 129948U);
    BOOST_TEST(read->services[1].cacheStoreAddress == "172.20.0.2:8781");
    BOOST_TEST(read->teams[0].isolated);
    BOOST_TEST((read->limits.idleTimeout == milliseconds(15000)));
    BOOST_TEST(!readConfiguration(*parseJson(R"({"routes":[]})")).has_value());
    BOOST_TEST(
        !readConfiguration(*parseJson(R"({"version":1,"routes":[{"name":"r"}]})")).has_value());
}

BOOST_AUTO_TEST_CASE(storeResponsesKeepMalformedObjects)
{
    const auto page = readPage(
        R"({"items":[{"metadata":{"name":"a","revision":4},"spec":{"x":1}},
        {"metadata":{"name":"b","revision":5},"spec":"bytes"},7],"hasMore":true,"currentRev":9})");
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page->objects.size() == 3U);
    BOOST_TEST(page->more);
    BOOST_TEST(page->revision == 9U);
    BOOST_TEST(page->objects[1].name == "b");
    BOOST_TEST(page->objects[2].name.empty());
    const auto changes = readChanges(
        R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":6}}}],"currentRev":6})");
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->events[0].removed);
    BOOST_TEST(!readPage("[]").has_value());
    BOOST_TEST(!readPage("not json").has_value());
}

BOOST_AUTO_TEST_CASE(skipsMalformedCacheEvents)
{
    const auto batch = readCacheEvents(
        R"({"epoch":77120,"next":120,"lost":true,"events":[[119,"+","s1","5c1e07a2",800,"daka"],
        [120,"-","s1","91bd3f06",128,"daka"],[121,"+",7],"x"]})");
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->boot == 77120U);
    BOOST_TEST(batch->next == 120U);
    BOOST_TEST(batch->gap);
    BOOST_REQUIRE(batch->events.size() == 2U);
    BOOST_TEST(batch->events[0].grown);
    BOOST_TEST(batch->events[0].part == 0x5c1e07a2U);
    BOOST_TEST(batch->events[1].tokens == 128U);
    BOOST_TEST(!batch->events[1].grown);
    BOOST_TEST(!readCacheEvents(R"({"events":[]})").has_value());
}

BOOST_AUTO_TEST_CASE(ordersCarryServerFencingTokenAndCount)
{
    const LoadOrder order { .server = ServerId("i-1"),
                            .model = ModelId("daka"),
                            .version = 2,
                            .holder = "node-7",
                            .token = 41,
                            .acceptedOrders = 3 };
    const auto body = parseJson(orderCall(order).body);
    BOOST_REQUIRE(body.has_value());
    BOOST_TEST((*body)["fenceToken"].asUInt64() == 41U);
    BOOST_TEST((*body)["expected"].asUInt64() == 3U);
    BOOST_TEST((*body)["holder"].asString() == "node-7");
    Fields fields;
    setOrderHeaders(fields, order);
    BOOST_TEST(fields["X-Expect-Instance"] == "i-1");
    BOOST_TEST((readOrderResponse(202) == OrderResponse::Accepted));
    BOOST_TEST((readOrderResponse(409) == OrderResponse::ConflictingOrder));
    const auto report = readReport(
        R"({"stage":"both","models":[{"name":"daka","version":1}],"busy":true,"seq":2})");
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->busy);
    BOOST_TEST(report->acceptedOrders == 2U);
}

BOOST_AUTO_TEST_CASE(readsBootInReport)
{
    BOOST_TEST((readReportedBoot(R"({"seq":2,"born":1700000000123})") == 1700000000123));
    for (const char *body : { R"({"seq":2})", R"({"born":"1"})", R"({"born":1.5})", "[1]", "x" }) {
        BOOST_TEST(!readReportedBoot(body).has_value(), body);
    }
}

BOOST_AUTO_TEST_CASE(readsEraOfStore)
{
    http::fields headers;
    BOOST_TEST(!readEra(headers).has_value());
    headers.set("Store-Era", "7");
    BOOST_TEST((readEra(headers) == 7U));
    for (const char *malformed : { "", "-1", "7x", "7.0", "99999999999999999999999" }) {
        headers.set("Store-Era", malformed);
        BOOST_TEST(!readEra(headers).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad::platform
