// Tests of a node over real HTTP, with stand-ins for engines, services and the platform.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <json/value.h>

#include "Core/Json.h"
#include "Core/Log.h"
#include "Load/LoadClient.h"
#include "Load/LocalCluster.h"
#include "ScriptedServer.h"

using namespace jacinthroad;

namespace {

struct QuietLog
{
    QuietLog() { configureLog({ .minimumLevel = LogLevel::Error }); }
};

LocalClusterOptions smallBench(std::size_t nodes = 1)
{
    Profile profile = *findProfile("lienzo-andino");
    profile.serviceInstances = 1;
    return { .profile = profile, .nodes = nodes, .engines = 2, .timeScale = 8 };
}

struct Fixture
{
    QuietLog quiet;
    LocalCluster bench;
    HttpClient client { std::make_shared<MemoryBudget>(64 * 1024 * 1024) };

    explicit Fixture(LocalClusterOptions options = smallBench())
        : bench(std::move(options))
    {
        BOOST_TEST_REQUIRE(bench.start());
    }

    HttpCallResult post(const std::string &path, const std::string &body, HttpHeaders headers = {},
                        const std::string &key = LocalCluster::teamKey(0), std::size_t node = 0)
    {
        headers.emplace_back("Authorization", "Bearer " + key);
        return performCall(client,
                           { .method = "POST",
                             .url = bench.callerUrl(node) + path,
                             .headers = std::move(headers),
                             .body = body,
                             .totalTimeout = std::chrono::seconds(30) });
    }

    Json::Value errorOf(const HttpCallResult &result)
    {
        const auto body = parseJson(result.response.body);
        BOOST_TEST_REQUIRE(body.has_value());
        return (*body)["error"];
    }
};

struct NodeFixture : Fixture
{
    NodeFixture() = default;
};

const std::string ChatBody
    = R"({"model":"orientador","messages":[{"role":"user","content":"hi"}]})";

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    BOOST_TEST_REQUIRE(connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                       == 0);
    return socket;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(NodeTest, NodeFixture)

BOOST_AUTO_TEST_CASE(completeAndStreamedResponsesAgree)
{
    const auto complete = post("/v1/chat/completions", ChatBody);
    BOOST_TEST(complete.response.status == 200);
    const Json::Value body = *parseJson(complete.response.body);
    const std::string text = body["choices"][0]["message"]["content"].asString();
    std::string expected;
    const std::uint64_t seed = standInResponseSeed("user\nhi\n");
    for (std::uint32_t token = 1; token <= body["usage"]["completion_tokens"].asUInt(); ++token) {
        expected += standInToken(seed, token);
    }
    BOOST_TEST(text == expected);
    const auto streamed = post("/v1/chat/completions", R"({"stream":true,)" + ChatBody.substr(1));
    BOOST_TEST(streamed.response.body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(streamed.response.body.find(standInToken(seed, 1)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(streamIsResumedWithLastEventId)
{
    const std::string body = R"({"stream":true,)" + ChatBody.substr(1);
    const auto complete = post("/v1/chat/completions", body);
    const auto resumed
        = post("/v1/chat/completions", body, { { "Last-Event-ID", "earlier-request:30" } });
    BOOST_TEST(resumed.response.body.starts_with("id: earlier-request:31\n"));
    const std::uint64_t seed = standInResponseSeed("user\nhi\n");
    BOOST_TEST(resumed.response.body.find(standInToken(seed, 31) + "\"") != std::string::npos);
    BOOST_TEST(resumed.response.body.find(":30\n") == std::string::npos);
    for (const char *bad : { "x", ":5", "a b:5", "a:b", "a:99999999999" }) {
        const auto refused = post("/v1/chat/completions", body, { { "Last-Event-ID", bad } });
        BOOST_TEST(refused.response.status == 400);
    }
}

BOOST_AUTO_TEST_CASE(invalidRequestsGetOneErrorResponseAndTheNodeKeepsServing)
{
    const auto malformed = post("/v1/chat/completions", "{\"model\":");
    BOOST_TEST(malformed.response.status == 400);
    const Json::Value error = errorOf(malformed);
    BOOST_TEST(error["kind"].asString() == "invalid_request");
    BOOST_TEST(error["not_run"].asBool());
    BOOST_TEST(!error["remedy"].asString().empty());
    BOOST_TEST(!error["request_id"].asString().empty());
    BOOST_TEST(error["retry_after_ms"].isInt64());

    BOOST_TEST(post("/v1/chat/completions", ChatBody, {}, "wrong key").response.status == 401);
    BOOST_TEST(post("/v1/chat/completions", std::string(20 * 1024 * 1024, 'x')).response.status
               == 413);
    BOOST_TEST(errorOf(post("/v1/chat/completions",
                            R"({"model":"no","messages":[{"role":"user","content":"a"}]})"))["kind"]
                   .asString()
               == "unknown_model");
    BOOST_TEST(post("/nothing", ChatBody).response.status == 404);
    BOOST_TEST(post("/v1/chat/completions", ChatBody, { { "X-Request-Deadline-Ms", "soon" } })
                   .response.status
               == 400);
    const std::string longHeader(100000, 'h');
    const auto longHeaderResult
        = post("/v1/chat/completions", ChatBody, { { "X-Long", longHeader } });
    BOOST_TEST((longHeaderResult.response.status == 431 || longHeaderResult.response.status == 413
                || longHeaderResult.outcome != CallOutcome::Completed));
    BOOST_TEST(post("/v1/chat/completions", ChatBody).response.status == 200);
}

BOOST_AUTO_TEST_CASE(partialHeaderAndStalledReaderDoNotBlockTheNode)
{
    const int partialSocket = connectTo(bench.node(0)->callerPort());
    const std::string partialHeader = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthori";
    BOOST_TEST(send(partialSocket, partialHeader.data(), partialHeader.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(partialHeader.size()));
    const int stalledSocket = connectTo(bench.node(0)->callerPort());
    const std::string body
        = R"({"stream":true,"metadata":{"output_tokens":"3000"},)" + ChatBody.substr(1);
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
                                "Bearer "
        + LocalCluster::teamKey(0) + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    BOOST_TEST(send(stalledSocket, request.data(), request.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(request.size()));
    BOOST_TEST(post("/v1/chat/completions", ChatBody).response.status == 200);
    close(partialSocket);
    close(stalledSocket);
    BOOST_TEST(post("/v1/chat/completions", ChatBody).response.status == 200);
}

BOOST_AUTO_TEST_CASE(disconnectedCallerCancelsItsRequest)
{
    const auto call = client.start(
        { .method = "POST",
          .url = bench.callerUrl(0) + "/v1/chat/completions",
          .headers = { { "Authorization", "Bearer " + LocalCluster::teamKey(0) } },
          .body = R"({"stream":true,"metadata":{"output_tokens":"100000"},)" + ChatBody.substr(1) },
        {});
    std::this_thread::sleep_for(milliseconds(300));
    client.cancel(call);
    BOOST_TEST(bench.node(0)->drain(std::chrono::seconds(10)));
    std::this_thread::sleep_for(milliseconds(200));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const auto &engine : bench.engines()) {
        before += engine->counters().tokens;
    }
    std::this_thread::sleep_for(milliseconds(200));
    for (const auto &engine : bench.engines()) {
        after += engine->counters().tokens;
    }
    BOOST_TEST(before == after);
}

BOOST_AUTO_TEST_CASE(bookingRunsAtMostOnceWhenResponsesAreLost)
{
    const HttpHeaders key { { "Idempotency-Key", "k-1" } };
    BOOST_TEST(errorOf(post("/services/turnos-prestamo/book", "{}"))["kind"].asString()
               == "idempotency_key_missing");
    const auto first = post("/services/turnos-prestamo/book", "{}", key);
    BOOST_TEST(first.response.status == 200);
    std::this_thread::sleep_for(milliseconds(50));
    const auto repeated = post("/services/turnos-prestamo/book", "{}", key);
    BOOST_TEST(repeated.response.body == first.response.body);
    BOOST_TEST(
        errorOf(post("/services/turnos-prestamo/book", "{\"other\":1}", key))["kind"].asString()
        == "idempotency_key_reused");

    bench.services()[0]->dropNextResponses(1);
    const HttpHeaders lostResponseKey { { "Idempotency-Key", "k-2" } };
    const Json::Value unknown
        = errorOf(post("/services/turnos-prestamo/book", "{}", lostResponseKey));
    BOOST_TEST(unknown["kind"].asString() == "outcome_unknown");
    BOOST_TEST(unknown["not_run"].asString() == "unknown");
    std::this_thread::sleep_for(milliseconds(50));
    BOOST_TEST(
        errorOf(post("/services/turnos-prestamo/book", "{}", lostResponseKey))["kind"].asString()
        == "outcome_unknown");

    bench.platform().dropNextResponses(1);
    const HttpHeaders lostWriteKey { { "Idempotency-Key", "k-3" } };
    BOOST_TEST(post("/services/turnos-prestamo/book", "{}", lostWriteKey).response.status == 200);
    for (const auto &[name, count] : bench.serviceExecutions()) {
        BOOST_TEST(count == 1, name);
    }
}

BOOST_AUTO_TEST_CASE(platformOutageRefusesBookingsAsNotRunAndServesOtherRequests)
{
    bench.platform().setOutage(true);
    const Json::Value refused
        = errorOf(post("/services/turnos-prestamo/book", "{}", { { "Idempotency-Key", "k" } }));
    BOOST_TEST(refused["kind"].asString() == "platform_unavailable");
    BOOST_TEST(refused["not_run"].asBool());
    BOOST_TEST(bench.serviceExecutions().empty());
    BOOST_TEST(post("/v1/chat/completions", ChatBody).response.status == 200);
    bench.platform().setOutage(false);
    int status = 0;
    for (int attempt = 0; attempt < 40 && status != 200; ++attempt) {
        std::this_thread::sleep_for(milliseconds(100));
        status = post("/services/turnos-prestamo/book", "{}", { { "Idempotency-Key", "k" } })
                     .response.status;
    }
    BOOST_TEST(status == 200);
    BOOST_TEST(bench.serviceExecutions().at("k") == 1);
}

BOOST_AUTO_TEST_CASE(crossedAndStalledStreamsAreResumedTransparently)
{
    const std::string body
        = R"({"stream":true,"metadata":{"output_tokens":"40"},)" + ChatBody.substr(1);
    const std::uint64_t seed = standInResponseSeed("user\nhi\n");
    for (auto &engine : bench.engines()) {
        engine->crossNextStreams(1);
    }
    for (int round = 0; round < 2; ++round) {
        const auto result = post("/v1/chat/completions", body);
        BOOST_TEST(result.response.body.find("somebody") == std::string::npos);
        BOOST_TEST(result.response.body.ends_with("data: [DONE]\n\n"));
        for (std::uint32_t token = 1; token <= 40; ++token) {
            BOOST_TEST(result.response.body.find(standInToken(seed, token) + "\"")
                       != std::string::npos);
        }
        for (auto &engine : bench.engines()) {
            engine->stallNextStreams(1);
        }
    }
}

BOOST_AUTO_TEST_CASE(crashingRequestCrashesAtMostTwoServers)
{
    const std::string crashingRequest
        = R"({"model":"orientador","messages":[{"role":"user","content":")"
        + std::string(CrashTriggerText) + R"("}]})";
    std::string kind;
    for (int attempt = 0; attempt < 6; ++attempt) {
        kind = errorOf(post("/v1/chat/completions", crashingRequest))["kind"].asString();
    }
    BOOST_TEST(kind == "quarantined");
    std::uint64_t crashes = 0;
    for (const auto &engine : bench.engines()) {
        crashes += engine->counters().crashes;
    }
    BOOST_TEST(crashes == 2U);
    BOOST_TEST(post("/v1/chat/completions", ChatBody).response.status == 200);
}

BOOST_AUTO_TEST_CASE(probesAndMetricsRespond)
{
    const auto get = [&](const std::string &path) {
        return performCall(client, { .url = bench.callerUrl(0) + path });
    };
    BOOST_TEST(get("/healthz").response.status == 200);
    BOOST_TEST(get("/readyz").response.status == 200);
    BOOST_TEST(post("/v1/chat/completions", ChatBody).response.status == 200);
    const std::string metrics = get("/metrics").response.body;
    BOOST_TEST(metrics.find("jacinthroad_requests_finished_total 1\n") != std::string::npos);
    BOOST_TEST(metrics.find("source=\"first_time\"") != std::string::npos);
    BOOST_TEST(get("/v1/models").response.status == 401);
    BOOST_TEST(bench.node(0)->drain(std::chrono::seconds(5)));
    BOOST_TEST(get("/readyz").response.status == 503);
    BOOST_TEST(errorOf(post("/v1/chat/completions", ChatBody))["not_run"].asBool());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServiceResponseTest)

BOOST_AUTO_TEST_CASE(lateSecondResponseOfAServiceIsNotTakenForTheNextCalls)
{
    ScriptedServer service([](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        std::string earlier;
        while (connection.read(request)) {
            connection.write(earlier);
            earlier = responseText(200, "", std::string(request.target()));
            connection.write(earlier);
        }
    });
    LocalClusterOptions options = smallBench();
    options.profile.serviceInstances = 0;
    options.serviceUrls = { "http://" + service.address() };
    Fixture node(options);
    for (const char *path : { "/first", "/second", "/third" }) {
        const auto result = performCall(
            node.client,
            { .url = node.bench.callerUrl(0) + "/services/turnos-prestamo" + path,
              .headers = { { "Authorization", "Bearer " + LocalCluster::teamKey(0) } },
              .totalTimeout = std::chrono::seconds(30) });
        BOOST_TEST(result.response.status == 200);
        BOOST_TEST(result.response.body == path);
    }
}

BOOST_AUTO_TEST_CASE(responseOfAServiceWithoutEndIsKeptUntilMemoryIsFull)
{
    constexpr std::size_t EnoughBytes = 64 * 1024 * 1024;
    constexpr std::size_t MostBytes = 28 * 1024 * 1024;
    std::atomic<std::size_t> written { 0 };
    std::atomic<bool> ended { false };
    ScriptedServer service([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        if (!connection.read(request)) {
            return;
        }
        if (request.target() != "/endless") {
            connection.write(responseText(200, "", "whole"));
            return;
        }
        const std::string block(65536, 'x');
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n");
        while (written < EnoughBytes && !connection.waitForClose(milliseconds(0))) {
            connection.write(block);
            written += block.size();
        }
        ended = true;
    });
    LocalClusterOptions options = smallBench();
    options.profile.serviceInstances = 0;
    options.serviceUrls = { "http://" + service.address() };
    Fixture node(options);
    const HttpHeaders key { { "Idempotency-Key", "k-1" } };
    const Json::Value error
        = node.errorOf(node.post("/services/turnos-prestamo/endless", "{}", key));
    BOOST_TEST(error["kind"].asString() == "outcome_unknown");
    for (int tries = 0; tries < 500 && !ended; ++tries) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST(ended.load());
    BOOST_TEST(written <= MostBytes);
    const HttpHeaders other { { "Idempotency-Key", "k-2" } };
    BOOST_TEST(node.post("/services/turnos-prestamo/a", "{}", other).response.body == "whole");
}

BOOST_AUTO_TEST_CASE(statusOfAServiceOutsideTheProtocolEndsItsCallersConnection)
{
    for (const std::string status : { "000", "042", "101", "600", "999" }) {
        ScriptedServer service([&](ScriptedConnection &connection) {
            boost::beast::http::request<boost::beast::http::string_body> request;
            if (connection.read(request)) {
                connection.write("HTTP/1.1 " + status
                                 + " Odd\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
            }
        });
        LocalClusterOptions options = smallBench();
        options.profile.serviceInstances = 0;
        options.serviceUrls = { "http://" + service.address() };
        Fixture node(options);
        const auto result = performCall(
            node.client,
            { .url = node.bench.callerUrl(0) + "/services/turnos-prestamo/a",
              .headers = { { "Authorization", "Bearer " + LocalCluster::teamKey(0) } },
              .totalTimeout = std::chrono::seconds(30) });
        BOOST_TEST((result.outcome == CallOutcome::Completed), status);
        BOOST_TEST(result.response.status == 502, status);
        const HttpHeaders key { { "Idempotency-Key", "k-" + status } };
        const auto claimed = node.post("/services/turnos-prestamo/a", "{}", key);
        BOOST_TEST((claimed.outcome == CallOutcome::Completed), status);
        BOOST_TEST(claimed.response.status >= 500, status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EngineResponseTest)

BOOST_AUTO_TEST_CASE(refusalWrittenAgainByAnEngineMeetsNoSecondRequest)
{
    std::atomic<int> refused { 0 };
    std::atomic<int> mostOnOneConnection { 0 };
    ScriptedServer engine([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        int completions = 0;
        while (connection.read(request)) {
            if (!request.target().starts_with("/v1/")) {
                connection.write(responseText(200, "", "{}"));
                continue;
            }
            ++refused;
            mostOnOneConnection = std::max(mostOnOneConnection.load(), ++completions);
            connection.write(responseText(503, "", "{}"));
        }
    });
    LocalClusterOptions options = smallBench();
    options.engines = 1;
    options.engineUrls = { "http://" + engine.address() };
    Fixture node(options);
    for (int call = 0; call < 20 && refused < 2; ++call) {
        const std::string body = R"({"model":"orientador","messages":[{"role":"user","content":")"
            + std::to_string(call) + R"("}]})";
        BOOST_TEST(node.post("/v1/chat/completions", body).response.status == 200);
    }
    BOOST_TEST(refused >= 2);
    BOOST_TEST(mostOnOneConnection == 1);
}

BOOST_AUTO_TEST_CASE(tokensWithoutEndAreKeptForACallerWithoutAStream)
{
    constexpr std::size_t TokenBytes = 256 * 1024;
    constexpr std::size_t EnoughBytes = 96 * 1024 * 1024;
    constexpr std::size_t MostBytes = 48 * 1024 * 1024;
    std::atomic<std::size_t> written { 0 };
    std::atomic<int> open { 0 };
    ScriptedServer engine([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            if (!request.target().starts_with("/v1/")) {
                connection.write(responseText(200, "", "{}"));
                continue;
            }
            ++open;
            const std::string id(request["X-Request-Id"]);
            const std::string text = R"({"choices":[{"delta":{"content":")"
                + std::string(TokenBytes, 'x') + R"("}}]})";
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
            for (int token = 1; written < EnoughBytes; ++token) {
                if (connection.waitForClose(milliseconds(0))) {
                    break;
                }
                connection.write("id: " + id + ":" + std::to_string(token) + "\ndata: " + text
                                 + "\n\n");
                written += TokenBytes;
            }
            --open;
            return;
        }
    });
    LocalClusterOptions options = smallBench();
    options.engines = 1;
    options.engineUrls = { "http://" + engine.address() };
    Fixture node(options);
    for (int call = 0; call < 20 && written == 0; ++call) {
        const std::string body = R"({"model":"orientador","messages":[{"role":"user","content":")"
            + std::to_string(call) + R"("}]})";
        static_cast<void>(node.post("/v1/chat/completions", body));
    }
    BOOST_TEST(written > 0U);
    for (int tries = 0; tries < 500 && open > 0; ++tries) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST(written <= MostBytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NodesTest)

BOOST_AUTO_TEST_CASE(callersOperatorsAndPeersHaveSeparateKeys)
{
    Fixture fixture;
    const auto rpc = [&](const std::string &key) {
        return performCall(fixture.client,
                           { .method = "POST",
                             .url = fixture.bench.operatorUrl(0) + "/rpc",
                             .headers = { { "Authorization", "Bearer " + key } },
                             .body = R"({"jsonrpc":"2.0","id":1,"method":"status"})" })
            .response;
    };
    BOOST_TEST(rpc(LocalCluster::teamKey(0)).status == 401);
    const HttpResponse status = rpc(LocalCluster::operatorKey());
    BOOST_TEST(status.status == 200);
    BOOST_TEST(status.body.find("\"backend_servers\"") != std::string::npos);
    BOOST_TEST(fixture.post("/v1/chat/completions", ChatBody, {}, LocalCluster::operatorKey())
                   .response.status
               == 401);
}

BOOST_AUTO_TEST_CASE(nodeStartsFromItsPeersDuringPlatformOutage)
{
    Fixture fixture(smallBench(2));
    fixture.bench.killNode(1);
    fixture.bench.platform().setOutage(true);
    BOOST_TEST(fixture.bench.startNode(1));
    BOOST_TEST(fixture.post("/v1/chat/completions", ChatBody, {}, LocalCluster::teamKey(0), 1)
                   .response.status
               == 200);
}

BOOST_AUTO_TEST_CASE(plannedStopUnderLoadInterruptsNoRequest)
{
    Fixture fixture(smallBench(2));
    LoadClient load(8);
    Workload workload(fixture.bench.options().profile, 20, 3);
    const Instant began = std::chrono::steady_clock::now();
    for (int index = 0; index < 30; ++index) {
        auto request = workload.next();
        BOOST_TEST_REQUIRE(request.has_value());
        load.send(fixture.bench.callerUrl(static_cast<std::size_t>(index % 2)),
                  fixture.bench.options().profile, *request, began);
    }
    BOOST_TEST(fixture.bench.drainNode(1));
    fixture.bench.killNode(1);
    BOOST_TEST(load.waitForAll(std::chrono::seconds(30)));
    for (const CallerRecord &record : load.records()) {
        const bool completedOrNotRun = record.outcome == CallerOutcome::Completed
            || record.outcome == CallerOutcome::RejectedNotRun;
        BOOST_TEST(completedOrNotRun, record.errorKind);
    }
}

BOOST_AUTO_TEST_SUITE_END()
