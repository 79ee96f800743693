#include <atomic>
#include <mutex>
#include <thread>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "UnboundedInput.h"
#include "UnreachableServer.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;

namespace {

constexpr milliseconds RouteLimit { 1200 };

/// A node that can't connect to the servers of one service, and another node that it forwards their
/// requests to. That one never ends its responses to requests of a path with `endless`.
class UnboundedHelper
{
public:
    UnboundedHelper()
        : script_([this](ScriptedConnection &connection) { serve(connection); })
    {
        helper_.settings.name = "front-2";
        cut.settings.memoryMb = NodeMemoryMb;
        const auto handler = [](ScriptedConnection &connection, const ReceivedRequest &request) {
            connection.write(validResponse(request));
            return true;
        };
        helper_.addServer("s1", "plain", handler);
        helper_.addServer("e1", "engines", handler);
        helper_.configure(1, { "k1" });
        cut.configure(1, { "k1" });
        cut.shareServers(helper_);
        Json::Value server = cut.store.spec("servers", "s1");
        server["address"] = unreachable_.address();
        cut.store.put("servers", "s1", server);
        cut.addPeer(helper_);
        helper_.addPeer(cut);
        Json::Value node = cut.store.spec("nodes", helper_.settings.name);
        node["forwarding"] = script_.address();
        cut.store.put("nodes", helper_.settings.name, node);
    }

    /// Starts both nodes and waits until requests are forwarded.
    void start()
    {
        helper_.start();
        cut.start();
        unsigned status = 0;
        for (int tries = 0; tries < 100 && status != 200; ++tries) {
            status = callGateway(cut, "POST", "/other/a").status;
        }
        BOOST_REQUIRE(status == 200U);
    }

    [[nodiscard]] Answer call(const UnboundedInput &input, unsigned status)
    {
        const std::string path = "/unsafe/endless-" + std::to_string(status);
        {
            const std::lock_guard lock(mutex_);
            input_ = input;
        }
        return callGateway(cut, "POST", path);
    }

    std::vector<Sent> awaitSent(std::size_t count)
    {
        for (int tries = 0; tries < 2000; ++tries) {
            {
                const std::lock_guard lock(mutex_);
                if (sent_.size() >= count) {
                    break;
                }
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
        const std::lock_guard lock(mutex_);
        return sent_;
    }

    GatewayFixture cut;

private:
    void serve(ScriptedConnection &connection)
    {
        ReceivedRequest request;
        while (connection.read(request)) {
            const std::string path(request.target());
            const std::string fields = "X-Request-Id: " + std::string(request["X-Request-Id"])
                + "\r\nX-Response-Stamp: stamp\r\nJacinthroad-Forwarded-Result: relayed\r\n"
                  "Jacinthroad-Forwarded-Server: s1\r\n";
            if (path.find("endless") == std::string::npos) {
                connection.write(responseText(200, fields, "whole body"));
                continue;
            }
            UnboundedInput input;
            {
                const std::lock_guard lock(mutex_);
                input = input_;
            }
            const std::string status = path.substr(path.rfind('-') + 1);
            const Sent sent
                = sendUnbounded(connection.handle(), input,
                                { .startLine = "HTTP/1.1 " + status + " X\r\n", .fields = fields },
                                Pace::Full, RouteLimit + 2 * EndAllowance);
            const std::lock_guard lock(mutex_);
            sent_.push_back(sent);
            return;
        }
    }

    UnreachableServer unreachable_;
    GatewayFixture helper_;
    std::mutex mutex_;
    UnboundedInput input_;
    std::vector<Sent> sent_;
    ScriptedServer script_;
};

void checkForwardedResponse(const UnboundedInput &input)
{
    UnboundedHelper nodes;
    nodes.start();
    std::array<Answer, 2> answers;
    std::thread other([&] { answers[1] = nodes.call(input, 500); });
    answers[0] = nodes.call(input, 200);
    other.join();
    const auto sent = nodes.awaitSent(2);
    BOOST_CHECK_MESSAGE(sent.size() >= 2, "only " << sent.size() << " responses were begun");
    const std::size_t most = input.kept == Kept::Head
        ? MaxHeadBytes
        : MaxHeadBytes + NodeAccountBytes * input.bytesPerByte;
    for (const Sent &each : sent) {
        if (input.kept == Kept::Nothing) {
            break;
        }
        BOOST_CHECK_MESSAGE(each.bytes <= most + SystemBufferBytes,
                            "(a) forwarded, " << input << ": " << each.bytes
                                              << " bytes were taken, not at most " << most
                                              << " and the system's");
        BOOST_CHECK_MESSAGE(each.refused && each.time <= RouteLimit + EndAllowance,
                            "(a) forwarded, " << input << ": not ended in time, but "
                                              << each.time.count() << " ms");
    }
    for (const Answer &answer : answers) {
        BOOST_CHECK_MESSAGE(answer.status >= 500 && answer.complete && !answer.statesNotRun,
                            "(b) forwarded, " << input << ": the caller got " << answer);
    }
    const Answer meanwhile = callGateway(nodes.cut, "POST", "/once/a");
    BOOST_CHECK_MESSAGE(meanwhile.status == 200 && meanwhile.complete,
                        "(c) another caller got " << meanwhile);
    checkAccountGivenBack(nodes.cut);
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnboundedForwardTest)

/// The response of a node that helps another one. Its request is read by that node's listener:
/// UnboundedRequestTest.
BOOST_DATA_TEST_CASE(responseOfAHelpingNodeTakesMoreThanItsLimit,
                     data::make(unboundedHeads() + unboundedChunks() + unboundedResponseParts()),
                     input)
{
    checkForwardedResponse(input);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
