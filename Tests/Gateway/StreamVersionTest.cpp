#include <array>
#include <atomic>
#include <set>
#include <thread>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr const char *LastChunk = "0\r\n\r\n";
constexpr auto ResponseLimit = milliseconds(3000);
/// Time in which a node records the streams that it has sent.
constexpr auto RecordTime = milliseconds(1500);
/// Time in which a node applies a changed list of servers.
constexpr auto ListTime = milliseconds(1500);

/// What an engine does after it has written the first event of a response.
enum class EngineEnd { Completes, Stalls, BreaksOff };

std::string versionEvent(int id, const std::string &version)
{
    return "id: " + std::to_string(id) + "\ndata: " + version + " token " + std::to_string(id)
        + "\n\n";
}

/// Responds with the next event of the stream, which names the engine's version.
bool respond(ScriptedConnection &connection, const ReceivedRequest &request,
             const std::string &version, EngineEnd end)
{
    const std::string last(request["Last-Event-Id"]);
    const int next = last.empty() ? 1 : std::stoi(last) + 1;
    connection.write(streamHead(request) + chunk(versionEvent(next, version)));
    switch (end) {
    case EngineEnd::Completes:
        connection.write(LastChunk);
        return true;
    case EngineEnd::Stalls:
        static_cast<void>(connection.waitForClose(milliseconds(3500)));
        return false;
    case EngineEnd::BreaksOff:
        std::this_thread::sleep_for(milliseconds(50));
        connection.close();
        return false;
    }
    return false;
}

/// The report of an engine that started at `born`.
std::string bootReport(int born)
{
    return responseText(200, "",
                        R"({"stage":"both","models":[{"name":"m","version":1}],"busy":false,)"
                        R"("seq":0,"born":)"
                            + std::to_string(born) + "}");
}

/// Adds an engine whose events name its version. Streams that begin end as `begun` says, and those
/// that go on as `resumed` says.
void addEngine(GatewayFixture &fixture, const std::string &name, const std::string &version,
               EngineEnd begun, EngineEnd resumed = EngineEnd::Completes)
{
    fixture.addServer(
        name, "engines",
        [version, begun, resumed](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (request.target().starts_with("/-/")) {
                connection.write(bootReport(1));
                return true;
            }
            const bool begins = request["Last-Event-Id"].empty();
            return respond(connection, request, version, begins ? begun : resumed);
        },
        version);
}

/// Makes nodes prefer other engines to this one.
void slowDown(GatewayFixture &fixture, const std::string &name)
{
    Json::Value spec = fixture.store.spec("servers", name);
    spec["coldLeftMs"] = 5000;
    fixture.store.put("servers", name, spec);
}

std::string requestOf(const std::string &id, const std::string &headers)
{
    return "POST /stream/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nX-Model: m\r\n"
           "Connection: close\r\nX-Request-Id: "
        + id + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

/// Sends the request that resumes the stream `origin` after event `last`; returns the response.
std::string resume(GatewayFixture &fixture, const std::string &id, const std::string &origin,
                   int last)
{
    return fixture.sendBytes(
        requestOf(id, "Resumes: " + origin + "\r\nLast-Event-Id: " + std::to_string(last) + "\r\n"),
        ResponseLimit);
}

bool isRefusedAsNotRun(const std::string &response)
{
    return response.starts_with("HTTP/1.1 503");
}

/// The versions that the events of a response name.
std::set<std::string> versionsOf(const std::string &response)
{
    constexpr std::string_view Mark = "data: ";
    std::set<std::string> versions;
    for (auto at = response.find(Mark); at != std::string::npos; at = response.find(Mark, at + 1)) {
        const auto begin = at + Mark.size();
        versions.insert(response.substr(begin, response.find(' ', begin) - begin));
    }
    return versions;
}

bool goesOnAt(const std::string &response, const std::string &version)
{
    return response.starts_with("HTTP/1.1 200") && versionsOf(response) == std::set { version };
}

/// A stream of which a caller has received the first events.
struct OpenStream
{
    std::string id;
    asio::ip::tcp::socket socket;
    std::string version;
};

/// Sends a request and reads the response up to its first event.
OpenStream openStream(GatewayFixture &fixture, const std::string &id,
                      const std::string &headers = {})
{
    OpenStream stream { .id = id, .socket = fixture.connect(), .version = {} };
    asio::write(stream.socket, asio::buffer(requestOf(id, headers)));
    std::string text;
    error_code error;
    while (!error && text.find(" token ") == std::string::npos) {
        std::array<char, 1024> part {};
        text.append(part.data(), stream.socket.read_some(asio::buffer(part), error));
    }
    const std::set<std::string> versions = versionsOf(text);
    BOOST_REQUIRE_MESSAGE(versions.size() == 1, text);
    stream.version = *versions.begin();
    return stream;
}

/// Opens streams until there is one of each of two versions.
std::vector<OpenStream> openStreamsOfTwoVersions(GatewayFixture &fixture)
{
    std::vector<OpenStream> streams;
    std::set<std::string> versions;
    for (int count = 0; count < 12 && (versions.size() < 2 || count < 4); ++count) {
        streams.push_back(openStream(fixture, "begun" + std::to_string(count)));
        versions.insert(streams.back().version);
    }
    BOOST_REQUIRE(versions.size() == 2U);
    return streams;
}

/// Another node with the store of `first`.
void joinFleet(GatewayFixture &node, GatewayFixture &first, const std::string &name)
{
    node.settings.name = name;
    node.settings.storeAddress = first.store.address();
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamVersionTest)

BOOST_AUTO_TEST_CASE(brokenStreamDoesNotGoOnAtAnotherVersionInOneResponse)
{
    GatewayFixture fixture;
    addEngine(fixture, "e1", "v1", EngineEnd::BreaksOff);
    addEngine(fixture, "e2", "v2", EngineEnd::BreaksOff);
    fixture.configure(1, { "k1" });
    fixture.start();
    const std::string all = fixture.sendBytes(requestOf("r1", ""), ResponseLimit);
    BOOST_TEST(versionsOf(all).size() == 1U, all);
    BOOST_TEST(!all.ends_with(LastChunk), all);
}

BOOST_AUTO_TEST_CASE(brokenStreamGoesOnAtItsVersionInOneResponse)
{
    GatewayFixture fixture;
    for (const std::string version : { "v1", "v2" }) {
        addEngine(fixture, "a-" + version, version, EngineEnd::BreaksOff);
        addEngine(fixture, "b-" + version, version, EngineEnd::BreaksOff);
    }
    fixture.configure(1, { "k1" });
    fixture.start();
    for (int count = 0; count < 4; ++count) {
        const std::string all
            = fixture.sendBytes(requestOf("r" + std::to_string(count), ""), ResponseLimit);
        BOOST_TEST(versionsOf(all).size() == 1U, all);
        BOOST_TEST(all.find("token 2") != std::string::npos, all);
        BOOST_TEST(all.ends_with(LastChunk), all);
        // Servers that broke off are avoided for a while.
        std::this_thread::sleep_for(milliseconds(1200));
    }
}

BOOST_AUTO_TEST_CASE(resumeAtAnotherNodeGoesOnAtTheVersionThatBeganTheStream)
{
    GatewayFixture first;
    GatewayFixture second;
    joinFleet(second, first, "front-2");
    addEngine(first, "e1", "v1", EngineEnd::Stalls);
    addEngine(first, "e2", "v2", EngineEnd::Stalls);
    first.configure(1, { "k1" });
    first.start();
    second.start();
    const std::vector<OpenStream> streams = openStreamsOfTwoVersions(first);
    std::this_thread::sleep_for(RecordTime);
    first.gateway.reset();
    // Until then, the other node counts the first one's requests, which no engine responds to.
    std::this_thread::sleep_for(milliseconds(1000));
    for (const OpenStream &stream : streams) {
        const std::string response = resume(second, stream.id + "-again", stream.id, 1);
        BOOST_TEST(goesOnAt(response, stream.version), response);
    }
}

BOOST_AUTO_TEST_CASE(resumeAfterTheEndOfAllNodesGoesOnAtTheVersionThatBeganTheStream)
{
    GatewayFixture first;
    GatewayFixture second;
    joinFleet(second, first, "front-2");
    addEngine(first, "e1", "v1", EngineEnd::Stalls);
    addEngine(first, "e2", "v2", EngineEnd::Stalls);
    first.configure(1, { "k1" });
    first.start();
    second.start();
    const std::vector<OpenStream> streams = openStreamsOfTwoVersions(first);
    std::this_thread::sleep_for(RecordTime);
    first.gateway.reset();
    second.gateway.reset();
    first.start();
    second.start();
    for (const OpenStream &stream : streams) {
        const std::string response = resume(second, stream.id + "-again", stream.id, 1);
        BOOST_TEST(goesOnAt(response, stream.version), response);
    }
}

BOOST_AUTO_TEST_CASE(resumeOfStreamWhoseVersionHasLeftIsRefused)
{
    GatewayFixture fixture;
    addEngine(fixture, "e1", "v1", EngineEnd::Stalls);
    addEngine(fixture, "e2", "v2", EngineEnd::Stalls);
    fixture.configure(1, { "k1" });
    fixture.start();
    const std::vector<OpenStream> streams = openStreamsOfTwoVersions(fixture);
    std::this_thread::sleep_for(RecordTime);
    fixture.store.remove("servers", "e1");
    std::this_thread::sleep_for(ListTime);
    fixture.gateway.reset();
    fixture.start();
    for (const OpenStream &stream : streams) {
        const std::string response = resume(fixture, stream.id + "-again", stream.id, 1);
        if (stream.version == "v1") {
            BOOST_TEST(isRefusedAsNotRun(response), response);
        } else {
            BOOST_TEST(goesOnAt(response, "v2"), response);
        }
    }
}

BOOST_AUTO_TEST_CASE(resumeOfUnknownStreamIsRefusedAsNotRunWhileTwoVersionsServe)
{
    GatewayFixture fixture;
    addEngine(fixture, "e1", "v1", EngineEnd::Completes);
    addEngine(fixture, "e2", "v2", EngineEnd::Completes);
    fixture.configure(1, { "k1" });
    fixture.start();
    const std::string unknown = resume(fixture, "r1", "unheard-of", 1);
    BOOST_TEST(isRefusedAsNotRun(unknown), unknown);
    const std::string unnamed
        = fixture.sendBytes(requestOf("r2", "Last-Event-Id: 1\r\n"), ResponseLimit);
    BOOST_TEST(isRefusedAsNotRun(unnamed), unnamed);
    BOOST_TEST(fixture.receivedRequests("e1").empty());
    BOOST_TEST(fixture.receivedRequests("e2").empty());
}

BOOST_AUTO_TEST_CASE(secondResumeOfStreamGoesOnAtTheVersionThatBeganIt)
{
    GatewayFixture fixture;
    addEngine(fixture, "e1", "v1", EngineEnd::Stalls, EngineEnd::Stalls);
    addEngine(fixture, "e2", "v2", EngineEnd::Stalls, EngineEnd::Stalls);
    fixture.configure(1, { "k1" });
    fixture.start();
    const std::vector<OpenStream> begun = openStreamsOfTwoVersions(fixture);
    std::this_thread::sleep_for(RecordTime);
    fixture.gateway.reset();
    fixture.start();
    std::vector<OpenStream> resumed;
    resumed.reserve(begun.size());
    for (const OpenStream &stream : begun) {
        resumed.push_back(openStream(fixture, stream.id + "-again",
                                     "Resumes: " + stream.id + "\r\nLast-Event-Id: 1\r\n"));
        BOOST_TEST(resumed.back().version == stream.version);
    }
    fixture.gateway.reset();
    fixture.start();
    for (const OpenStream &stream : begun) {
        const OpenStream again = openStream(fixture, stream.id + "-third",
                                            "Resumes: " + stream.id + "\r\nLast-Event-Id: 2\r\n");
        BOOST_TEST(again.version == stream.version);
    }
}

BOOST_AUTO_TEST_CASE(retryAfterSilenceStaysAtTheVersionOfTheFirstSend)
{
    GatewayFixture fixture;
    std::atomic<int> runs { 0 };
    for (const std::string name : { "a-v1", "b-v1", "a-v2", "b-v2" }) {
        const std::string version = name.substr(2);
        fixture.addServer(
            name, "engines",
            [&runs, version](ScriptedConnection &connection, const ReceivedRequest &request) {
                if (request.target().starts_with("/-/")) {
                    connection.write(bootReport(1));
                    return true;
                }
                if (runs++ == 0) {
                    static_cast<void>(connection.waitForClose(milliseconds(3500)));
                    return false;
                }
                return respond(connection, request, version, EngineEnd::Completes);
            },
            version);
    }
    fixture.configure(1, { "k1" });
    fixture.start();
    // The engine that is chosen first and its successor in the order of costs differ in version.
    slowDown(fixture, "b-v1");
    slowDown(fixture, "b-v2");
    std::this_thread::sleep_for(ListTime);
    const std::string all = fixture.sendBytes(requestOf("r1", ""), ResponseLimit);
    BOOST_TEST(all.find("token 1") != std::string::npos, all);
    std::set<std::string> versions;
    for (const std::string name : { "a-v1", "b-v1", "a-v2", "b-v2" }) {
        if (!fixture.receivedRequests(name).empty()) {
            versions.insert(name.substr(2));
        }
    }
    BOOST_TEST(runs == 2);
    BOOST_TEST(versions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(streamThatFallsSilentDoesNotGoOnAtAnotherVersion)
{
    GatewayFixture fixture;
    addEngine(fixture, "e1", "v1", EngineEnd::Stalls);
    addEngine(fixture, "e2", "v2", EngineEnd::Stalls);
    fixture.configure(1, { "k1" });
    fixture.start();
    const std::string all = fixture.sendBytes(requestOf("r1", ""), ResponseLimit);
    BOOST_TEST(versionsOf(all).size() == 1U, all);
}

BOOST_AUTO_TEST_CASE(streamDoesNotGoOnAtServerThatStartedAgainWithAnotherVersion)
{
    GatewayFixture fixture;
    std::atomic<int> starts { 1 };
    fixture.addServer(
        "e1", "engines", [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (request.target().starts_with("/-/")) {
                connection.write(bootReport(starts));
                return true;
            }
            return respond(connection, request, "v" + std::to_string(starts), EngineEnd::Stalls);
        });
    fixture.configure(1, { "k1" });
    fixture.start();
    const OpenStream stream = openStream(fixture, "r1");
    starts = 2;
    fixture.restartServer("e1");
    // A server that ended a connection is avoided for a while.
    std::this_thread::sleep_for(milliseconds(1500));
    const std::string response = resume(fixture, "r1-again", "r1", 1);
    BOOST_TEST(!goesOnAt(response, "v2"), response);
    BOOST_TEST(isRefusedAsNotRun(response), response);
}

BOOST_AUTO_TEST_CASE(newStreamIsNotSentToServerThatStartedAgainWhileTheNodeWasOutOfStep)
{
    GatewayFixture fixture;
    std::atomic<int> starts { 1 };
    fixture.addServer(
        "e1", "engines", [&](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (request.target().starts_with("/-/")) {
                connection.write(bootReport(starts));
                return true;
            }
            return respond(connection, request, "v" + std::to_string(starts), EngineEnd::Stalls);
        });
    fixture.configure(1, { "k1" });
    fixture.settings.keyRevocation = std::chrono::seconds(30);
    fixture.start();
    // The node hears nothing of the new process, which has another version under the same id.
    fixture.store.stopResponding();
    std::this_thread::sleep_for(milliseconds(4500));
    starts = 2;
    fixture.restartServer("e1");
    const std::string response = fixture.sendBytes(requestOf("r1", ""), ResponseLimit);
    BOOST_TEST(versionsOf(response).empty(), response);
    BOOST_TEST(isRefusedAsNotRun(response), response);
    fixture.store.resumeResponding();
}

BOOST_AUTO_TEST_CASE(streamOfAJoinedVersionIsNotResumedAtTheOldOneByANodeWithAnOldList)
{
    GatewayFixture first;
    GatewayFixture second;
    joinFleet(second, first, "front-2");
    second.settings.storeAddress = first.store.rejectingAddress();
    addEngine(first, "e1", "v1", EngineEnd::Stalls);
    first.configure(1, { "k1" });
    first.start();
    second.start();
    std::vector<OpenStream> streams;
    streams.push_back(openStream(first, "begun-before"));
    first.store.hideChanges("servers");
    addEngine(first, "e2", "v2", EngineEnd::Stalls);
    slowDown(first, "e1");
    std::this_thread::sleep_for(ListTime);
    streams.push_back(openStream(first, "begun-after"));
    BOOST_REQUIRE(streams.back().version == "v2");
    // At once, before the records are in the store, and then with them.
    for (const char *suffix : { "-at-once", "-later" }) {
        for (const OpenStream &stream : streams) {
            const std::string response = resume(second, stream.id + suffix, stream.id, 1);
            BOOST_TEST((isRefusedAsNotRun(response) || goesOnAt(response, stream.version)),
                       response);
        }
        std::this_thread::sleep_for(RecordTime);
    }
}

BOOST_AUTO_TEST_CASE(resumeIsRefusedInTimeWhileTheStoreDoesNotRespond)
{
    GatewayFixture first;
    GatewayFixture second;
    joinFleet(second, first, "front-2");
    addEngine(first, "e1", "v1", EngineEnd::Stalls);
    addEngine(first, "e2", "v2", EngineEnd::Stalls);
    first.configure(1, { "k1" });
    first.start();
    second.start();
    const std::vector<OpenStream> streams = openStreamsOfTwoVersions(first);
    first.gateway.reset();
    first.store.stopResponding();
    const Instant began = std::chrono::steady_clock::now();
    const std::string response = resume(second, "again", streams.front().id, 1);
    BOOST_TEST(isRefusedAsNotRun(response), response);
    BOOST_TEST((std::chrono::steady_clock::now() - began < milliseconds(1200)));
    first.store.resumeResponding();
}

BOOST_AUTO_TEST_CASE(resumeGoesOnAfterTheEndOfAllNodesWhileOneVersionServes)
{
    GatewayFixture first;
    GatewayFixture second;
    joinFleet(second, first, "front-2");
    addEngine(first, "e1", "v1", EngineEnd::Stalls);
    addEngine(first, "e2", "v1", EngineEnd::Stalls);
    first.configure(1, { "k1" });
    first.start();
    second.start();
    const OpenStream firstStream = openStream(first, "r1");
    const OpenStream secondStream = openStream(first, "r2");
    first.gateway.reset();
    const std::string atOtherNode = resume(second, "r1-again", "r1", 1);
    BOOST_TEST(goesOnAt(atOtherNode, "v1"), atOtherNode);
    second.gateway.reset();
    first.start();
    const std::string afterStart = resume(first, "r2-again", "r2", 1);
    BOOST_TEST(goesOnAt(afterStart, "v1"), afterStart);
    BOOST_TEST(first.store.writes("streamorigins") == 0);
}

BOOST_AUTO_TEST_CASE(streamsOfTheFirstVersionAreNotJoinedWhenAllNodesEndSoonAfterTheSecondAppears)
{
    GatewayFixture fixture;
    addEngine(fixture, "e1", "v1", EngineEnd::Stalls);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::vector<OpenStream> streams;
    for (int count = 0; count < 4; ++count) {
        streams.push_back(openStream(fixture, "begun" + std::to_string(count)));
    }
    addEngine(fixture, "e2", "v2", EngineEnd::Stalls);
    slowDown(fixture, "e1");
    std::this_thread::sleep_for(milliseconds(1000));
    fixture.gateway.reset();
    fixture.start();
    for (const OpenStream &stream : streams) {
        const std::string response = resume(fixture, stream.id + "-again", stream.id, 1);
        BOOST_TEST((isRefusedAsNotRun(response) || goesOnAt(response, "v1")), response);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
