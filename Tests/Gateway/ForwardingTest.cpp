#include <atomic>
#include <thread>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Endpoint.h"
#include "FreeAddress.h"
#include "Gateway/SocketOptions.h"
#include "GatewayFixture.h"
#include "LogCapture.h"
#include "ScriptedServer.h"
#include "UnreachableServer.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Time from the loss of the links after which first tries must be served.
constexpr milliseconds StableWindow { 3000 };
constexpr milliseconds PollInterval { 5 };
/// Number of checks for something that happens within seconds.
constexpr int MaxPolls = 800;
constexpr const char *StreamHeaders = "Authorization: Bearer k1\r\nX-Model: m\r\n";

/// Nodes of which one can't connect to any server.
class CutNodeFixture
{
public:
    using Handler = GatewayFixture::Handler;

    explicit CutNodeFixture(Handler handler = serve())
    {
        helper.settings.name = "front-2";
        for (const char *name : { "s1", "s2" }) {
            helper.addServer(name, "plain", handler);
        }
        for (const char *name : { "e1", "e2" }) {
            helper.addServer(name, "engines", handler);
        }
    }

    /// Starts both nodes and lets them hear of each other.
    void start()
    {
        helper.configure(1, { "k1" });
        cut.configure(1, { "k1" });
        startConfigured();
    }

    void startConfigured()
    {
        listUnreachable(cut);
        cut.addPeer(helper);
        helper.addPeer(cut);
        helper.start();
        cut.start();
        awaitPeers();
    }

    /// Lists the servers in the store of a node, these at an address that accepts no connection.
    void listUnreachable(GatewayFixture &node)
    {
        node.shareServers(helper);
        for (const char *name : unreachableServers) {
            Json::Value entry = node.store.spec("servers", name);
            entry["address"] = unreachable.address();
            node.store.put("servers", name, entry);
        }
    }

    static void awaitPeers() { std::this_thread::sleep_for(milliseconds(1500)); }

    /// Responds to requests, and to nothing else.
    static Handler serve()
    {
        return respondBy([](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (request.target().starts_with("/stream/")) {
                connection.write(streamHead(request) + chunk(event(1)) + chunk(event(2))
                                 + "0\r\n\r\n");
            } else {
                connection.write(validResponse(request));
            }
        });
    }

    static Handler
    respondBy(std::function<void(ScriptedConnection &, const ReceivedRequest &)> script)
    {
        return [script = std::move(script)](ScriptedConnection &connection,
                                            const ReceivedRequest &request) {
            if (request.target().starts_with("/-/")) {
                connection.write(responseText(404, "", ""));
            } else {
                script(connection, request);
            }
            return true;
        };
    }

    /// Number of requests that the servers have received.
    std::size_t received()
    {
        std::size_t count = 0;
        for (const char *name : { "s1", "s2", "e1", "e2" }) {
            count += helper.receivedRequests(name).size();
        }
        return count;
    }

    bool awaitReceived(std::size_t count)
    {
        for (int polls = 0; polls < MaxPolls && received() < count; ++polls) {
            std::this_thread::sleep_for(PollInterval);
        }
        return received() >= count;
    }

    UnreachableServer unreachable;
    std::vector<const char *> unreachableServers { "s1", "s2", "e1", "e2" };
    GatewayFixture helper;
    GatewayFixture cut;
};

/// Two helping nodes of a node without links. The one that gets a request first falls silent inside
/// its stream and goes on, the other one refuses late. The first one refuses `returns` times then.
class SilentHelpers
{
public:
    explicit SilentHelpers(std::string refusal, int returns = 0)
        : refusal_(std::move(refusal))
        , returns_(returns)
        , first_([this](ScriptedConnection &connection) { serve(connection, 1); })
        , second_([this](ScriptedConnection &connection) { serve(connection, 2); })
    { }

    void checkServed()
    {
        nodes.helper.configure(1, { "k1" });
        nodes.cut.configure(1, { "k1" });
        third_.settings.name = "front-3";
        third_.configure(1, { "k1" });
        nodes.listUnreachable(nodes.cut);
        third_.shareServers(nodes.helper);
        addHelper(nodes.helper, first_);
        addHelper(third_, second_);
        nodes.helper.start();
        third_.start();
        nodes.cut.start();
        CutNodeFixture::awaitPeers();
        const auto response = nodes.cut.call("POST", "/stream/a", "prompt", StreamHeaders);
        BOOST_REQUIRE(response != nullptr);
        BOOST_TEST(response->body() == event(1) + event(2));
    }

    /// Lists the helping node that fell silent at an address that refuses connections.
    void listSilentUnreachable() { listSilent(freeAddress()); }
    /// Lists it at its own address, and the servers.
    void listAgain()
    {
        nodes.listUnreachable(nodes.cut);
        listSilent(silent_ == 1 ? first_.address() : second_.address());
    }
    /// Removes all servers and the helping node that refused the request.
    void removeOthers()
    {
        for (const char *name : nodes.unreachableServers) {
            nodes.cut.store.remove("servers", name);
        }
        nodes.cut.store.remove("nodes", node(2 - silent_).settings.name);
    }

    CutNodeFixture nodes;
    std::atomic<unsigned> refused { 0 };
    /// The requests that the helping node got after its silence.
    std::vector<ReceivedRequest> returned;
    /// Called when a helping node falls silent, and when one gets a request that it refuses.
    std::function<void()> onSilence = [] {};
    std::function<void()> onRefusal = [] {};

private:
    GatewayFixture &node(unsigned index) { return index == 0 ? nodes.helper : third_; }

    void listSilent(const std::string &address)
    {
        const std::string &name = node(silent_ - 1).settings.name;
        Json::Value entry = nodes.cut.store.spec("nodes", name);
        entry["forwarding"] = address;
        nodes.cut.store.put("nodes", name, entry);
    }

    /// Lists a node with the address of a script that responds in its place.
    void addHelper(GatewayFixture &node, const ScriptedServer &script)
    {
        nodes.cut.addPeer(node);
        Json::Value entry = nodes.cut.store.spec("nodes", node.settings.name);
        entry["forwarding"] = script.address();
        nodes.cut.store.put("nodes", node.settings.name, entry);
        node.addPeer(nodes.cut);
    }

    void serve(ScriptedConnection &connection, unsigned helper)
    {
        constexpr milliseconds Standstill { 1500 };
        constexpr milliseconds LateRefusal { 500 };
        ReceivedRequest request;
        while (connection.read(request)) {
            unsigned none = 0;
            const bool first = silent_.compare_exchange_strong(none, helper);
            if (silent_ != helper || (!first && returns_-- > 0)) {
                ++refused;
                onRefusal();
                std::this_thread::sleep_for(LateRefusal);
                // Only a request that was sent to a server has one.
                connection.write(responseText(503,
                                              "Jacinthroad-Forwarded-Result: " + refusal_ + "\r\n"
                                                  + (refusal_ == "unknown"
                                                         ? "Jacinthroad-Forwarded-Server: e2\r\n"
                                                         : "X-Not-Run: 1\r\n"),
                                              ""));
                continue;
            }
            if (!first) {
                returned.push_back(request);
            }
            std::string head = streamHead(request);
            head.insert(head.find("\r\n") + 2,
                        "Jacinthroad-Forwarded-Result: relayed\r\n"
                        "Jacinthroad-Forwarded-Server: e1\r\n");
            connection.write(head + (first ? chunk(event(1)) : std::string()));
            if (first) {
                onSilence();
                std::this_thread::sleep_for(Standstill);
            }
            connection.write(chunk(event(2)) + "0\r\n\r\n");
        }
    }

    std::string refusal_;
    std::atomic<int> returns_;
    /// Number of the helping node that fell silent; 0 before.
    std::atomic<unsigned> silent_ { 0 };
    ScriptedServer first_;
    ScriptedServer second_;
    GatewayFixture third_;
};

/// A connection of another node to a helping node.
class PeerConnection
{
public:
    explicit PeerConnection(const GatewayFixture &helper)
    {
        boost::system::error_code error;
        socket.connect(*parseEndpoint(helper.settings.forwardingAddress), error);
        BOOST_TEST(!error);
    }

    void send(const std::string &id)
    {
        boost::system::error_code ignored;
        asio::write(socket,
                    asio::buffer("POST /unsafe/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                                 + "\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 1000\r\n"
                                   "Jacinthroad-Forwarded-By: front-1\r\n"
                                   "Jacinthroad-Forwarded-Configuration: 1\r\n"
                                   "Content-Length: 1\r\n\r\nb"),
                    ignored);
    }

    /// Returns the next response; an empty one if the connection ends before.
    CallerResponse read()
    {
        CallerResponse response;
        boost::system::error_code error;
        boost::beast::http::read(socket, buffer_, response, error);
        return error ? CallerResponse() : response;
    }

    asio::io_context context;
    asio::ip::tcp::socket socket { context };

private:
    boost::beast::flat_buffer buffer_;
};

bool statesNotRun(const CallerResponse &response)
{
    return response.body().find("\"not_run\":true") != std::string::npos
        || response.body().find("\"not_run\":\"true\"") != std::string::npos;
}

void reject(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(responseText(
        503, "X-Not-Run: 1\r\nX-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n", ""));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardingTest)

BOOST_AUTO_TEST_CASE(callersOfANodeThatLostItsLinksAreNotServed)
{
    CutNodeFixture fixture;
    fixture.start();
    std::this_thread::sleep_for(StableWindow);
    constexpr int Calls = 20;
    int served = 0;
    for (int number = 0; number < Calls; ++number) {
        const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
        served += response != nullptr && response->result_int() == 200 ? 1 : 0;
    }
    BOOST_TEST(served >= Calls * 0.85);
}

BOOST_AUTO_TEST_CASE(callersWaitForConnectionsToTheOneServiceThatANodeCannotReach)
{
    constexpr milliseconds ConnectTime { 400 };
    CutNodeFixture fixture;
    fixture.unreachableServers = { "e1", "e2" };
    fixture.start();
    for (int number = 0; number < 4; ++number) {
        BOOST_REQUIRE(fixture.cut.call("POST", "/once/a", "body", StreamHeaders) != nullptr);
    }
    std::this_thread::sleep_for(StableWindow);
    for (int number = 0; number < 5; ++number) {
        BOOST_REQUIRE(fixture.cut.call("POST", "/unsafe/a", "body") != nullptr);
        const auto began = std::chrono::steady_clock::now();
        const auto response = fixture.cut.call("POST", "/once/a", "body", StreamHeaders);
        const auto took = std::chrono::steady_clock::now() - began;
        BOOST_REQUIRE(response != nullptr);
        BOOST_TEST(response->result_int() == 200U);
        BOOST_TEST((took < ConnectTime));
    }
}

BOOST_AUTO_TEST_CASE(forwardedRequestLosesItsTeamOrKeepsFieldsOfNodes)
{
    CutNodeFixture fixture;
    fixture.start();
    const auto response
        = fixture.cut.call("POST", "/unsafe/a", "body",
                           "Authorization: Bearer k1\r\nJacinthroad-Forwarded-By: caller\r\n");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(response->count("Jacinthroad-Forwarded-Result") == 0U);
    BOOST_REQUIRE(fixture.received() == 1U);
    auto requests = fixture.helper.receivedRequests("s1");
    const auto others = fixture.helper.receivedRequests("s2");
    requests.insert(requests.end(), others.begin(), others.end());
    BOOST_TEST(std::string(requests.front()["X-Tenant"]) == "north");
    BOOST_TEST(requests.front().count("Jacinthroad-Forwarded-By") == 0U);
    BOOST_TEST(requests.front().count("Authorization") == 0U);
    BOOST_TEST(requests.front().body() == "body");
}

BOOST_AUTO_TEST_CASE(unsafeRequestRunsTwiceWhenItsServerBreaksOffBehindAForward)
{
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [](ScriptedConnection &connection, const ReceivedRequest &) { connection.reset(); }));
    fixture.start();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 502U);
    BOOST_TEST(!statesNotRun(*response));
    BOOST_TEST(fixture.received() == 1U);
}

BOOST_AUTO_TEST_CASE(requestThatRanBehindABrokenForwardIsReportedAsNotRun)
{
    std::atomic<bool> release { false };
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            while (!release) {
                std::this_thread::sleep_for(PollInterval);
            }
            connection.write(validResponse(request));
        }));
    fixture.start();
    std::unique_ptr<CallerResponse> response;
    std::thread caller([&] { response = fixture.cut.call("POST", "/unsafe/a", "body"); });
    const bool received = fixture.awaitReceived(1);
    fixture.helper.gateway.reset();
    caller.join();
    release = true;
    BOOST_TEST(received);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 502U);
    BOOST_TEST(!statesNotRun(*response));
    BOOST_TEST(fixture.received() == 1U);
}

BOOST_AUTO_TEST_CASE(requestThatServersRejectBehindAForwardIsNotReportedAsNotRun)
{
    CutNodeFixture fixture(CutNodeFixture::respondBy(reject));
    fixture.start();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
}

BOOST_AUTO_TEST_CASE(requestIsNotRefusedAsNotRunWhenTheHelpingNodeIsGone)
{
    CutNodeFixture fixture;
    fixture.start();
    fixture.helper.gateway.reset();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
    BOOST_TEST(fixture.received() == 0U);
}

BOOST_AUTO_TEST_CASE(safeRequestHasMoreAttemptsAcrossForwardsThanItsRouteAllows)
{
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(validResponse(request, 500, "failed"));
        }));
    fixture.start();
    const auto response = fixture.cut.call("GET", "/safe/a");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 500U);
    BOOST_TEST(fixture.helper.receivedRequests("s1").size() == 1U);
    BOOST_TEST(fixture.helper.receivedRequests("s2").size() == 1U);
}

BOOST_AUTO_TEST_CASE(retriesBehindForwardsExceedTheBudget)
{
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(validResponse(request, 500, "failed"));
        }));
    fixture.cut.settings.retryShare = 0;
    fixture.cut.settings.retryAllowance = 0;
    fixture.start();
    constexpr unsigned Calls = 5;
    for (unsigned number = 0; number < Calls; ++number) {
        BOOST_REQUIRE(fixture.cut.call("GET", "/safe/a") != nullptr);
    }
    BOOST_TEST(fixture.received() == Calls);
}

BOOST_AUTO_TEST_CASE(serverRunsOnAfterTheCallerOfAForwardedRequestHasLeft)
{
    std::atomic<bool> closed { false };
    CutNodeFixture fixture(
        CutNodeFixture::respondBy([&](ScriptedConnection &connection, const ReceivedRequest &) {
            closed = connection.waitForClose(milliseconds(3000));
        }));
    fixture.start();
    asio::ip::tcp::socket caller = fixture.cut.connect();
    asio::write(caller,
                asio::buffer(std::string("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: left"
                                         "\r\nAuthorization: Bearer k1\r\nX-Model: m\r\n"
                                         "Content-Length: 1\r\n\r\nb")));
    BOOST_REQUIRE(fixture.awaitReceived(1));
    caller.close();
    constexpr milliseconds CancelLimit { 400 };
    const auto until = std::chrono::steady_clock::now() + CancelLimit;
    while (!closed && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(PollInterval);
    }
    BOOST_TEST(closed);
}

BOOST_AUTO_TEST_CASE(forwardedRequestHasMoreTimeThanItsCallerGives)
{
    std::atomic<bool> closed { false };
    CutNodeFixture fixture(
        CutNodeFixture::respondBy([&](ScriptedConnection &connection, const ReceivedRequest &) {
            closed = connection.waitForClose(milliseconds(3000));
        }));
    fixture.start();
    constexpr milliseconds Deadline { 900 };
    const auto began = std::chrono::steady_clock::now();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body",
                                           "Authorization: Bearer k1\r\nX-Deadline-Ms: 900\r\n");
    const auto took = std::chrono::steady_clock::now() - began;
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(!statesNotRun(*response));
    BOOST_TEST((took < Deadline + milliseconds(200)));
    BOOST_REQUIRE(fixture.received() == 1U);
    auto requests = fixture.helper.receivedRequests("s1");
    const auto others = fixture.helper.receivedRequests("s2");
    requests.insert(requests.end(), others.begin(), others.end());
    // Nothing is left of the time that the connection took that could not be made.
    BOOST_TEST(std::stoi(std::string(requests.front()["X-Deadline-Ms"])) <= 600);
}

BOOST_AUTO_TEST_CASE(streamIsCutWhenItsServerBreaksOffBehindAForward)
{
    std::atomic<unsigned> sends { 0 };
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (sends++ == 0) {
                connection.write(streamHead(request) + chunk(event(1)));
                connection.reset();
            } else if (request["Last-Event-Id"] == "1") {
                connection.write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
            }
        }));
    fixture.start();
    const auto response = fixture.cut.call("POST", "/stream/a", "prompt", StreamHeaders);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
    BOOST_TEST(sends == 2U);
}

BOOST_AUTO_TEST_CASE(forwardedStreamOfOver16MbIsCut)
{
    constexpr int Events = 20'000;
    std::string events;
    std::string chunks;
    for (int id = 1; id <= Events; ++id) {
        const std::string next
            = "id: " + std::to_string(id) + "\ndata: " + std::string(1000, 'x') + "\n\n";
        events += next;
        chunks += chunk(next);
    }
    CutNodeFixture nodes(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(streamHead(request) + chunks + "0\r\n\r\n");
        }));
    nodes.start();
    const auto response = nodes.cut.call("POST", "/stream/a", "prompt", StreamHeaders);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST((response->body() == events));
}

BOOST_AUTO_TEST_CASE(streamIsCutWhenItsHelpingNodeDies)
{
    std::atomic<unsigned> sends { 0 };
    std::atomic<bool> closed { false };
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (sends++ == 0) {
                connection.write(streamHead(request) + chunk(event(1)));
                closed = connection.waitForClose(milliseconds(3000));
            } else if (request["Last-Event-Id"] == "1") {
                connection.write(streamHead(request) + chunk(event(2)) + "0\r\n\r\n");
            }
        }));
    GatewayFixture other;
    other.settings.name = "front-3";
    other.shareServers(fixture.helper);
    other.configure(1, { "k1" });
    for (GatewayFixture *node : { &fixture.helper, &fixture.cut }) {
        node->addPeer(other);
        other.addPeer(*node);
    }
    other.start();
    fixture.start();
    std::unique_ptr<CallerResponse> response;
    std::thread caller(
        [&] { response = fixture.cut.call("POST", "/stream/a", "prompt", StreamHeaders); });
    const bool received = fixture.awaitReceived(1);
    std::this_thread::sleep_for(milliseconds(100));
    fixture.helper.gateway.reset();
    caller.join();
    BOOST_TEST(received);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(closed);
    BOOST_TEST(response->body() == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(streamIsCutWhenItsHelpingNodeStandsStill)
{
    constexpr milliseconds Standstill { 1700 };
    std::atomic<unsigned> requests { 0 };
    ScriptedServer standing([&](ScriptedConnection &connection) {
        ReceivedRequest request;
        while (connection.read(request)) {
            const bool first = requests++ == 0;
            std::string head = streamHead(request);
            head.insert(head.find("\r\n") + 2, "Jacinthroad-Forwarded-Result: relayed\r\n");
            if (first) {
                connection.write(head + chunk(event(1)));
            }
            std::this_thread::sleep_for(Standstill);
            if (first) {
                connection.write(chunk(event(2)) + "0\r\n\r\n");
            }
        }
    });
    CutNodeFixture fixture;
    fixture.helper.configure(1, { "k1" });
    fixture.cut.configure(1, { "k1" });
    fixture.listUnreachable(fixture.cut);
    fixture.cut.addPeer(fixture.helper);
    Json::Value node = fixture.cut.store.spec("nodes", fixture.helper.settings.name);
    node["forwarding"] = standing.address();
    fixture.cut.store.put("nodes", fixture.helper.settings.name, node);
    fixture.helper.addPeer(fixture.cut);
    fixture.helper.start();
    fixture.cut.start();
    CutNodeFixture::awaitPeers();
    const auto response = fixture.cut.call("POST", "/stream/a", "prompt", StreamHeaders);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
    BOOST_TEST(requests == 1U);
}

BOOST_AUTO_TEST_CASE(streamOfASilentHelpingNodeIsCutWhenAnotherRejectsItLateAndNoRetryIsLeft)
{
    SilentHelpers fixture("not_run");
    // The share of one node.
    fixture.nodes.cut.settings.retryShare = 0;
    fixture.nodes.cut.settings.retryAllowance = 12;
    fixture.checkServed();
    BOOST_TEST(fixture.refused == 1U);
}

BOOST_AUTO_TEST_CASE(streamOfASilentHelpingNodeIsCutWhenAnotherRefusesItLate)
{
    SilentHelpers fixture("not_sent");
    fixture.checkServed();
    BOOST_TEST(fixture.refused >= 1U);
}

BOOST_AUTO_TEST_CASE(streamOfASilentHelpingNodeIsCutWhenAnotherDeclinesItLate)
{
    SilentHelpers fixture("declined");
    fixture.checkServed();
    BOOST_TEST(fixture.refused >= 1U);
}

BOOST_AUTO_TEST_CASE(streamOfASilentHelpingNodeIsCutWhenAnotherFailsItLate)
{
    SilentHelpers fixture("unknown");
    fixture.checkServed();
    BOOST_TEST(fixture.refused >= 1U);
    // A third server would exceed the attempts of the route.
    BOOST_REQUIRE(fixture.returned.size() == 1U);
    const auto [first, last]
        = fixture.returned.front().base().equal_range("Jacinthroad-Forwarded-Server");
    BOOST_REQUIRE(std::distance(first, last) == 1);
    BOOST_TEST(first->value() == "e2");
}

BOOST_AUTO_TEST_CASE(streamOfASilentHelpingNodeIsCutWhileAllHelpingNodesDeclineIt)
{
    SilentHelpers fixture("declined", 1);
    fixture.checkServed();
    BOOST_TEST(fixture.refused >= 2U);
}

BOOST_AUTO_TEST_CASE(streamOfASilentHelpingNodeIsCutWhileNoHelpingNodeCanBeReached)
{
    // Past the refusal of the request, to which a wait of half a second is added.
    constexpr milliseconds Unreachable { 2100 };
    SilentHelpers fixture("declined");
    std::jthread back;
    fixture.onSilence = [&] {
        fixture.listSilentUnreachable();
        back = std::jthread([&] {
            std::this_thread::sleep_for(Unreachable);
            fixture.listAgain();
        });
    };
    fixture.onRefusal = [&] { fixture.removeOthers(); };
    fixture.checkServed();
    BOOST_TEST(fixture.refused == 1U);
}

BOOST_AUTO_TEST_CASE(nodesWithoutLinksForwardToEachOther)
{
    CutNodeFixture fixture;
    GatewayFixture other;
    other.settings.name = "front-3";
    other.configure(1, { "k1" });
    fixture.cut.configure(1, { "k1" });
    fixture.listUnreachable(fixture.cut);
    fixture.listUnreachable(other);
    fixture.cut.addPeer(other);
    other.addPeer(fixture.cut);
    other.start();
    fixture.cut.start();
    CutNodeFixture::awaitPeers();
    const auto began = std::chrono::steady_clock::now();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    const auto took = std::chrono::steady_clock::now() - began;
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
    BOOST_TEST((took < milliseconds(1200)));
}

BOOST_AUTO_TEST_CASE(nodeWithAnOlderConfigurationServesForwardedRequests)
{
    CutNodeFixture fixture;
    fixture.helper.configure(1, { "k1" });
    fixture.cut.configure(2, { "k1" });
    fixture.startConfigured();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
    BOOST_TEST(fixture.received() == 0U);
}

BOOST_AUTO_TEST_CASE(keyRevokedAtTheHelpingNodeIsServed)
{
    CutNodeFixture fixture;
    fixture.helper.configure(2, { "k2" });
    fixture.cut.configure(1, { "k1" });
    fixture.startConfigured();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 401U);
    BOOST_TEST(fixture.received() == 0U);
}

BOOST_AUTO_TEST_CASE(stoppingNodeTakesForwardedRequestsOrCutsThem)
{
    std::atomic<bool> release { false };
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            while (!release) {
                std::this_thread::sleep_for(PollInterval);
            }
            connection.write(validResponse(request));
        }));
    fixture.start();
    std::unique_ptr<CallerResponse> first;
    std::thread caller([&] { first = fixture.cut.call("POST", "/unsafe/a", "body"); });
    const bool received = fixture.awaitReceived(1);
    std::thread stop([&] {
        static_cast<void>(fixture.helper.gateway->drain(std::chrono::steady_clock::now()));
    });
    std::this_thread::sleep_for(milliseconds(100));
    const auto second = fixture.cut.call("POST", "/unsafe/a", "body");
    release = true;
    caller.join();
    stop.join();
    BOOST_TEST(received);
    BOOST_REQUIRE(first != nullptr);
    BOOST_TEST(first->result_int() == 200U);
    BOOST_REQUIRE(second != nullptr);
    BOOST_TEST(second->result_int() == 503U);
    BOOST_TEST(statesNotRun(*second));
    BOOST_TEST(fixture.received() == 1U);
}

BOOST_AUTO_TEST_CASE(lineOfAForwardedRequestThatTheEndOfItsHelpingNodeCutsLacksTheNodeOfItsCaller)
{
    std::atomic<int> received { 0 };
    CutNodeFixture fixture(
        CutNodeFixture::respondBy([&](ScriptedConnection &connection, const ReceivedRequest &) {
            ++received;
            static_cast<void>(connection.waitForClose(std::chrono::seconds(10)));
        }));
    fixture.start();
    PeerConnection node(fixture.helper);
    node.send("cut");
    for (int polls = 0; polls < MaxPolls && received == 0; ++polls) {
        std::this_thread::sleep_for(PollInterval);
    }
    BOOST_REQUIRE(received == 1);
    LogCapture capture;
    fixture.helper.gateway.reset();
    const std::string log = capture.finish();
    BOOST_TEST_CONTEXT(log)
    {
        const std::size_t event = log.find("\"event\":\"request_cut\"");
        BOOST_REQUIRE(event != std::string::npos);
        const std::string line = log.substr(event, log.find('\n', event) - event);
        BOOST_TEST(line.find("\"request_id\":\"cut\"") != std::string::npos);
        BOOST_TEST(line.find("\"forwarded_by\":\"front-1\"") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(connectionIsRefusedThatCrossesTheBeginningOfAStop)
{
    CutNodeFixture fixture;
    fixture.start();
    std::thread stop([&] {
        static_cast<void>(fixture.helper.gateway->drain(std::chrono::steady_clock::now()));
    });
    std::this_thread::sleep_for(milliseconds(100));
    PeerConnection node(fixture.helper);
    node.send("r1");
    BOOST_TEST(std::string(node.read()["Jacinthroad-Forwarded-Result"]) == "declined");
    stop.join();
    BOOST_TEST(fixture.received() == 0U);
}

BOOST_AUTO_TEST_CASE(nodeIsNotToldThatAKeptConnectionWillBeClosedInAStop)
{
    CutNodeFixture fixture;
    fixture.start();
    PeerConnection node(fixture.helper);
    node.send("r1");
    BOOST_TEST(node.read().result_int() == 200U);
    std::thread stop([&] {
        static_cast<void>(fixture.helper.gateway->drain(std::chrono::steady_clock::now()));
    });
    for (int polls = 0; polls < MaxPolls && peek(node.socket) == PeekResult::NoData; ++polls) {
        std::this_thread::sleep_for(PollInterval);
    }
    // The pool takes no connection on which data waits.
    const bool told = peek(node.socket) == PeekResult::Data;
    BOOST_TEST(told);
    if (told) {
        // A request that has crossed the notice gets its own response behind it.
        node.send("r2");
        BOOST_TEST(node.read().count("X-Request-Id") == 0U);
        const CallerResponse response = node.read();
        BOOST_TEST(std::string(response["X-Request-Id"]) == "r2");
        BOOST_TEST(std::string(response["Jacinthroad-Forwarded-Result"]) == "declined");
    }
    node.socket.close();
    stop.join();
    BOOST_TEST(fixture.received() == 1U);
}

BOOST_AUTO_TEST_CASE(requestThatCrossesTheNoticeOfAStopIsNotReportedAsNotRun)
{
    // Stands for the hop of a helping node whose stop begins with the second request.
    const auto field = [](const std::string &result) {
        return "Jacinthroad-Forwarded-Result: " + result + "\r\n";
    };
    ScriptedServer hop([&](ScriptedConnection &connection) {
        ReceivedRequest request;
        if (!connection.read(request)) {
            return;
        }
        const std::string id = "X-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n";
        connection.write(
            responseText(200, id + "X-Response-Stamp: s\r\n" + field("relayed"), "ok"));
        if (connection.read(request)) {
            connection.write(responseText(503, field("declined"), ""));
            connection.write(responseText(503,
                                          "X-Request-Id: " + std::string(request["X-Request-Id"])
                                              + "\r\nConnection: close\r\n" + field("declined"),
                                          "{\"not_run\":true}"));
        }
    });
    CutNodeFixture fixture;
    fixture.helper.settings.forwardingAddress = hop.address();
    fixture.cut.addPeer(fixture.helper);
    fixture.helper.settings.forwardingAddress = freeAddress();
    fixture.helper.configure(1, { "k1" });
    fixture.cut.configure(1, { "k1" });
    fixture.listUnreachable(fixture.cut);
    fixture.helper.addPeer(fixture.cut);
    fixture.helper.start();
    fixture.cut.start();
    CutNodeFixture::awaitPeers();
    const auto first = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(first != nullptr);
    BOOST_TEST(first->result_int() == 200U);
    const auto second = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(second != nullptr);
    BOOST_TEST(second->result_int() == 503U);
    BOOST_TEST(statesNotRun(*second));
}

BOOST_AUTO_TEST_CASE(unsafeRequestsFailBesideTheStopOfTheirHelpingNode)
{
    constexpr int Callers = 6;
    CutNodeFixture fixture;
    fixture.start();
    std::atomic<bool> stopped { false };
    std::atomic<int> served { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> failed { 0 };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            while (!stopped) {
                const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
                if (response != nullptr && response->result_int() == 200) {
                    ++served;
                } else if (response != nullptr && response->result_int() == 503
                           && statesNotRun(*response)) {
                    ++refused;
                } else {
                    ++failed;
                }
                std::this_thread::sleep_for(milliseconds(1 + caller));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(500));
    static_cast<void>(fixture.helper.gateway->drain(std::chrono::steady_clock::now()));
    fixture.helper.gateway.reset();
    std::this_thread::sleep_for(milliseconds(100));
    stopped = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(served > 0);
    BOOST_TEST(refused > 0);
    BOOST_TEST(failed == 0);
    BOOST_TEST(fixture.received() == static_cast<std::size_t>(served));
}

BOOST_AUTO_TEST_CASE(helpingNodeWithOlderLimitsRefusesABodyForItsSize)
{
    CutNodeFixture fixture;
    fixture.helper.configure(1, { "k1" });
    Json::Value spec = fixture.helper.store.spec("config", "main");
    spec["limits"]["maxBodyBytes"] = 1000;
    fixture.helper.store.put("config", "main", spec);
    fixture.cut.configure(2, { "k1" });
    fixture.startConfigured();
    const auto response = fixture.cut.call("POST", "/unsafe/a", std::string(2000, 'x'));
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
    BOOST_TEST(fixture.received() == 0U);
}

BOOST_AUTO_TEST_CASE(helpingNodeWithOlderLimitsRefusesAHeaderForItsSize)
{
    CutNodeFixture fixture;
    fixture.helper.configure(1, { "k1" });
    Json::Value spec = fixture.helper.store.spec("config", "main");
    spec["limits"]["maxHeaderBytes"] = 1000;
    fixture.helper.store.put("config", "main", spec);
    fixture.cut.configure(2, { "k1" });
    spec = fixture.cut.store.spec("config", "main");
    spec["limits"]["maxHeaderBytes"] = 16000;
    fixture.cut.store.put("config", "main", spec);
    fixture.startConfigured();
    const auto response
        = fixture.cut.call("POST", "/unsafe/a?" + std::string(8000, 'x'), std::string("ab"));
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
    BOOST_TEST(fixture.received() == 0U);
}

BOOST_AUTO_TEST_CASE(requestFailsIfItsHelpingNodeHasNoMemoryForItsBody)
{
    constexpr std::size_t LongBodyBytes = 2'500'000;
    std::atomic<bool> release { false };
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            while (!release) {
                std::this_thread::sleep_for(PollInterval);
            }
            connection.write(validResponse(request));
        }));
    // 8 MB for bodies, of which the long ones take 6 MB.
    fixture.helper.settings.memoryMb = 32;
    for (GatewayFixture *node : { &fixture.helper, &fixture.cut }) {
        node->configure(1, { "k1" });
        Json::Value spec = node->store.spec("config", "main");
        spec["limits"]["maxBodyBytes"] = 4194304;
        node->store.put("config", "main", spec);
    }
    fixture.startConfigured();
    std::vector<std::thread> callers;
    callers.reserve(2);
    for (int caller = 0; caller < 2; ++caller) {
        callers.emplace_back([&] {
            static_cast<void>(
                fixture.helper.call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x')));
        });
    }
    const bool held = fixture.awaitReceived(2);
    const auto response = fixture.cut.call("POST", "/unsafe/a", std::string(LongBodyBytes, 'x'));
    release = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(held);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 503U);
    BOOST_TEST(statesNotRun(*response));
    BOOST_TEST(fixture.received() == 2U);
}

BOOST_AUTO_TEST_CASE(slowCallerOfAForwardedStreamFillsTheMemoryOfNodes)
{
    constexpr std::size_t EventBytes = 10000;
    constexpr std::size_t MaxBytes = 64 * 1000 * 1000;
    constexpr std::size_t MaxBuffered = MaxBytes / 2;
    std::atomic<std::size_t> written { 0 };
    CutNodeFixture fixture(CutNodeFixture::respondBy(
        [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(streamHead(request));
            const std::string part = chunk("id: 1\ndata: " + std::string(EventBytes, 'x') + "\n\n");
            while (written < MaxBytes) {
                connection.write(part);
                written += part.size();
            }
        }));
    fixture.start();
    asio::ip::tcp::socket caller = fixture.cut.connect();
    asio::write(caller,
                asio::buffer(std::string("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow"
                                         "\r\nAuthorization: Bearer k1\r\nX-Model: m\r\n"
                                         "Content-Length: 1\r\n\r\nb")));
    BOOST_REQUIRE(fixture.awaitReceived(1));
    std::this_thread::sleep_for(milliseconds(1500));
    BOOST_TEST(written < MaxBuffered);
    // Ends the script: the server's connection breaks.
    caller.close();
    written = MaxBytes;
}

BOOST_AUTO_TEST_CASE(requestsAreForwardedAfterTheLinksAreBack)
{
    CutNodeFixture fixture;
    fixture.start();
    BOOST_REQUIRE(fixture.cut.call("POST", "/unsafe/a", "body") != nullptr);
    fixture.cut.shareServers(fixture.helper);
    std::this_thread::sleep_for(StableWindow);
    fixture.helper.gateway.reset();
    const auto response = fixture.cut.call("POST", "/unsafe/a", "body");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
