#include <thread>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"
#include "UnreachableServer.h"

namespace jacinthroad {

namespace {

/// Time from the loss of the links after which first tries must be served.
constexpr milliseconds StableWindow { 3000 };

/// Two nodes, of which one can't connect to any server.
class CutNodeFixture
{
public:
    CutNodeFixture()
    {
        helper.settings.name = "front-2";
        helper.addServer("s1", "plain", serve());
        helper.addServer("s2", "plain", serve());
        helper.addServer("e1", "engines", serve());
        helper.addServer("e2", "engines", serve());
    }

    /// Starts both nodes.
    void start()
    {
        cut.shareServers(helper);
        for (const char *name : { "s1", "s2", "e1", "e2" }) {
            Json::Value entry = cut.store.spec("servers", name);
            entry["address"] = unreachable.address();
            cut.store.put("servers", name, entry);
        }
        cut.addPeer(helper);
        helper.addPeer(cut);
        helper.configure(1, { "k1" });
        cut.configure(1, { "k1" });
        helper.start();
        cut.start();
    }

    static GatewayFixture::Handler serve()
    {
        return [](ScriptedConnection &connection, const ReceivedRequest &request) {
            if (request.target().starts_with("/-/")) {
                connection.write(responseText(404, "", ""));
            } else if (request.target().starts_with("/stream/")) {
                connection.write(streamHead(request) + chunk(event(1)) + chunk(event(2))
                                 + "0\r\n\r\n");
            } else {
                connection.write(validResponse(request));
            }
            return true;
        };
    }

    UnreachableServer unreachable;
    GatewayFixture helper;
    GatewayFixture cut;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardingTest)

BOOST_AUTO_TEST_CASE(callersOfANodeThatLostItsLinksAreNotServed, *boost::unit_test::disabled())
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
