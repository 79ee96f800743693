// What a node has received and not passed on, over real HTTP.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <json/value.h>

#include "Core/Json.h"
#include "Core/Log.h"
#include "Load/LoadClient.h"
#include "Load/LocalCluster.h"
#include "ScriptedServer.h"

namespace jacinthroad {

namespace {

constexpr std::size_t Megabyte = 1024 * 1024;
const std::string ServicePath = "/services/turnos-prestamo";

LocalClusterOptions oneNode()
{
    configureLog({ .minimumLevel = LogLevel::Error });
    Profile profile = *findProfile("lienzo-andino");
    profile.serviceInstances = 1;
    return { .profile = profile, .nodes = 1, .engines = 1, .timeScale = 8 };
}

LocalClusterOptions nodeWithService(const ScriptedServer &service)
{
    LocalClusterOptions options = oneNode();
    options.profile.serviceInstances = 0;
    options.serviceUrls = { "http://" + service.address() };
    return options;
}

struct RunningNode
{
    LocalCluster bench;
    HttpClient client { std::make_shared<MemoryBudget>(64 * Megabyte) };

    explicit RunningNode(LocalClusterOptions options = oneNode())
        : bench(std::move(options))
    {
        BOOST_TEST_REQUIRE(bench.start());
    }

    HttpCallResult call(const std::string &method, const std::string &path,
                        const std::string &body = {}, HttpHeaders headers = {})
    {
        headers.emplace_back("Authorization", "Bearer " + LocalCluster::teamKey(0));
        return performCall(client,
                           { .method = method,
                             .url = bench.callerUrl(0) + path,
                             .headers = std::move(headers),
                             .body = body,
                             .totalTimeout = std::chrono::seconds(30) });
    }
    std::size_t used() { return bench.node(0)->statistics().receivedBytes; }
    /// Waits until at most `bytes` are in use. Returns what is at the end.
    std::size_t usedAtLast(std::size_t bytes)
    {
        for (int tries = 0; tries < 500 && used() > bytes; ++tries) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return used();
    }
    /// The same for at least `bytes`.
    std::size_t usedAtLeast(std::size_t bytes)
    {
        for (int tries = 0; tries < 500 && used() < bytes; ++tries) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return used();
    }
};

/// What the node's own calls of its platform take.
constexpr std::size_t IdleBytes = 256 * 1024;

class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int small = 4096;
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        BOOST_TEST_REQUIRE(connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                           == 0);
    }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;
    ~RawCaller() { close(socket_); }

    void write(const std::string &bytes) const
    {
        std::size_t sent = 0;
        ssize_t count = 1;
        while (sent < bytes.size() && count > 0) {
            count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        }
        BOOST_TEST(sent == bytes.size());
    }
    /// Reads the status line of a response; empty if none arrives.
    [[nodiscard]] std::string readStatus() const
    {
        pollfd ready { .fd = socket_, .events = POLLIN, .revents = 0 };
        std::array<char, 256> bytes {};
        if (poll(&ready, 1, 20000) <= 0) {
            return {};
        }
        const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
        const std::string_view text(bytes.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        return std::string(text.substr(0, text.find('\r')));
    }

private:
    int socket_;
};

std::string uploadHeader(const std::string &path, const std::string &key, std::size_t bytes)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nAuthorization: Bearer "
        + key + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReceivedMemoryTest)

BOOST_AUTO_TEST_CASE(sessionOfARetryableServiceCallIsKeptAfterItsEnd)
{
    RunningNode node;
    BOOST_TEST(node.call("GET", ServicePath + "/a").response.status == 200);
    BOOST_TEST(node.bench.node(0)->drain(std::chrono::seconds(5)));
}

BOOST_AUTO_TEST_CASE(uploadWithoutAKeyIsKept)
{
    constexpr std::size_t BodyBytes = 3 * Megabyte;
    RunningNode node;
    const std::string path = ServicePath + "/a";
    for (const auto &[port, right, target] :
         { std::tuple(node.bench.node(0)->callerPort(), LocalCluster::teamKey(0), path),
           std::tuple(node.bench.node(0)->operatorPort(), LocalCluster::operatorKey(),
                      std::string("/rpc")) }) {
        {
            const RawCaller stranger(port);
            stranger.write(uploadHeader(target, "wrong", BodyBytes)
                           + std::string(BodyBytes - 1, 'x'));
            std::this_thread::sleep_for(milliseconds(200));
            BOOST_TEST(node.used() <= IdleBytes);
            stranger.write("x");
            BOOST_TEST(stranger.readStatus().starts_with("HTTP/1.1 401"));
        }
        const RawCaller caller(port);
        caller.write(uploadHeader(target, right, BodyBytes) + std::string(BodyBytes - 1, 'x'));
        BOOST_TEST(node.usedAtLeast(BodyBytes) >= BodyBytes);
        caller.write("x");
        BOOST_TEST(caller.readStatus().starts_with("HTTP/1.1 200"));
        BOOST_TEST(node.usedAtLast(IdleBytes) <= IdleBytes);
    }
}

BOOST_AUTO_TEST_CASE(uploadsTakeMoreMemoryTogetherThanTheNodeHas)
{
    constexpr std::size_t Budget = 16 * Megabyte;
    constexpr std::size_t BodyBytes = 4 * Megabyte;
    constexpr std::size_t Callers = 8;
    LocalClusterOptions options = oneNode();
    options.responseMemoryBytes = Budget;
    RunningNode node(options);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t count = 0; count < Callers; ++count) {
        callers.push_back(std::make_unique<RawCaller>(node.bench.node(0)->callerPort()));
        callers.back()->write(
            uploadHeader("/v1/chat/completions", LocalCluster::teamKey(0), BodyBytes)
            + std::string(BodyBytes - 1, ' '));
    }
    BOOST_TEST(node.used() <= Budget);
    // A short request is served meanwhile.
    BOOST_TEST(node.call("GET", ServicePath + "/a").response.status == 200);
    std::size_t refused = 0;
    for (const auto &caller : callers) {
        caller->write(" ");
        const std::string status = caller->readStatus();
        refused += status.starts_with("HTTP/1.1 503") ? 1 : 0;
        BOOST_TEST((status.starts_with("HTTP/1.1 503") || status.starts_with("HTTP/1.1 400")),
                   status);
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused < Callers);
    BOOST_TEST(node.usedAtLast(IdleBytes) <= IdleBytes);
}

BOOST_AUTO_TEST_CASE(responseOfAServiceWaitsForItsCallerOutsideOfTheAccount)
{
    constexpr std::size_t Budget = 32 * Megabyte;
    constexpr std::size_t BodyBytes = 10 * Megabyte;
    constexpr std::size_t Callers = 6;
    const std::string body(BodyBytes, 'x');
    ScriptedServer service([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        if (connection.read(request)) {
            connection.write(responseText(200, "", request.target() == "/long" ? body : "short"));
        }
    });
    LocalClusterOptions options = nodeWithService(service);
    options.responseMemoryBytes = Budget;
    RunningNode node(options);
    {
        std::vector<std::unique_ptr<RawCaller>> callers;
        std::size_t whole = 0;
        std::size_t failed = 0;
        for (std::size_t count = 0; count < Callers; ++count) {
            callers.push_back(std::make_unique<RawCaller>(node.bench.node(0)->callerPort()));
            callers.back()->write("GET " + ServicePath
                                  + "/long HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                                  + LocalCluster::teamKey(0) + "\r\n\r\n");
            const std::string status = callers.back()->readStatus();
            whole += status.starts_with("HTTP/1.1 200") ? 1 : 0;
            failed += status.starts_with("HTTP/1.1 502") ? 1 : 0;
        }
        BOOST_TEST(whole > 0U);
        BOOST_TEST(failed > 0U);
        BOOST_TEST(whole + failed == Callers);
        BOOST_TEST(node.used() >= whole * BodyBytes);
        BOOST_TEST(node.used() <= Budget);
        BOOST_TEST(node.call("GET", ServicePath + "/short").response.body == "short");
    }
    BOOST_TEST(node.usedAtLast(IdleBytes) <= IdleBytes);
    const auto read = node.call("GET", ServicePath + "/long");
    BOOST_TEST(read.response.body == body);
    BOOST_TEST(node.usedAtLast(IdleBytes) <= IdleBytes);
}

BOOST_AUTO_TEST_CASE(unfinishedEventsAreKeptOutsideOfTheAccount)
{
    constexpr std::size_t EventBytes = 900 * 1024;
    std::atomic<bool> written { false };
    std::atomic<bool> closed { false };
    ScriptedServer engine([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            if (!request.target().starts_with("/v1/")) {
                connection.write(responseText(200, "", "{}"));
                continue;
            }
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: "
                             + std::string(EventBytes, 'x'));
            written = true;
            closed = connection.waitForClose(milliseconds(20000));
            return;
        }
    });
    LocalClusterOptions options = oneNode();
    options.engines = 1;
    options.engineUrls = { "http://" + engine.address() };
    RunningNode node(options);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int call = 0; call < 20 && !written; ++call) {
        const std::string body
            = R"({"stream":true,"model":"orientador","messages":[{"role":"user","content":")"
            + std::to_string(call) + R"("}]})";
        callers.push_back(std::make_unique<RawCaller>(node.bench.node(0)->callerPort()));
        callers.back()->write(
            uploadHeader("/v1/chat/completions", LocalCluster::teamKey(0), body.size()) + body);
        std::this_thread::sleep_for(milliseconds(20));
    }
    BOOST_TEST(written.load());
    BOOST_TEST(node.usedAtLeast(EventBytes) >= EventBytes);
    callers.clear();
    BOOST_TEST(node.usedAtLast(IdleBytes) <= IdleBytes);
}

BOOST_AUTO_TEST_CASE(nestedOrManyCallsOfAnOperatorEndTheNode)
{
    RunningNode node;
    std::string batch = "[[]";
    while (batch.size() < 3 * Megabyte) {
        batch += ",[]";
    }
    for (const std::string &body : { std::string(100000, '['), batch + "]" }) {
        const auto refused = performCall(
            node.client,
            { .method = "POST",
              .url = node.bench.operatorUrl(0) + "/rpc",
              .headers = { { "Authorization", "Bearer " + LocalCluster::operatorKey() } },
              .body = body,
              .totalTimeout = std::chrono::seconds(30) });
        BOOST_TEST(refused.response.body.size() < 1000U);
        BOOST_TEST(refused.response.body.find("-32600") != std::string::npos);
    }
    BOOST_TEST(node.call("GET", ServicePath + "/a").response.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
