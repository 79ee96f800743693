#include <chrono>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

const std::string KeyHeader = "Authorization: Bearer k1\r\n";

/// Longer than a node takes to apply a change of the list.
constexpr auto ListTime = std::chrono::milliseconds(1500);

bool respondWell(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(request.target().starts_with("/-/") ? reportResponse(1, false, 0)
                                                         : validResponse(request));
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PartialEntryTest)

// A copy of a removed entry that lacked some fields brought requests to a server that was leaving.
BOOST_AUTO_TEST_CASE(partialCopyOfARemovedEntryBringsNoRequestsToTheServer)
{
    for (const char *field : { "version", "seq", "born", "coldLeftMs" }) {
        GatewayFixture fixture;
        fixture.addServer("p1", "plain", respondWell);
        fixture.configure(1, { "k1" });
        fixture.start();
        BOOST_TEST(fixture.call("POST", "/unsafe/a")->result_int() == 200U);
        Json::Value entry = fixture.store.spec("servers", "p1");
        fixture.store.remove("servers", "p1");
        std::this_thread::sleep_for(ListTime);
        entry.removeMember(field);
        fixture.store.put("servers", "p1", entry);
        std::this_thread::sleep_for(ListTime);
        BOOST_TEST_INFO("without " << field);
        BOOST_TEST(fixture.call("POST", "/unsafe/b")->result_int() == 503U);
    }
}

// A server whose entry names no weights was sent requests with the salt of version 0.
BOOST_AUTO_TEST_CASE(requestsForAModelGoToNoServerWhoseWeightsAreUnknown)
{
    GatewayFixture fixture;
    fixture.addServer(
        "e1", "engines", [](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(request.target().starts_with("/-/")
                                 ? responseText(503, "", "")
                                 : streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
            return true;
        });
    Json::Value entry = fixture.store.spec("servers", "e1");
    entry.removeMember("models");
    fixture.store.put("servers", "e1", entry);
    fixture.configure(1, { "k1" });
    fixture.start();
    const std::string headers = KeyHeader + "X-Model: m\r\n";
    BOOST_TEST(fixture.call("POST", "/once/a", "prompt", headers)->result_int() == 503U);
    BOOST_TEST(fixture.receivedRequests("e1").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
