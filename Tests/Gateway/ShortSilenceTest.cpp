#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

constexpr const char *Headers = "Authorization: Bearer k1\r\nX-Model: m\r\n";

/// Lets a server fall silent with all its requests, and go on.
class PausingServer
{
public:
    /// Waits until the server goes on, if it is silent.
    void wait()
    {
        std::unique_lock lock(mutex_);
        goesOn_.wait(lock, [&] { return !silent_; });
    }
    void setSilent(bool silent)
    {
        const std::lock_guard lock(mutex_);
        silent_ = silent;
        goesOn_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable goesOn_;
    bool silent_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ShortSilenceTest)

BOOST_AUTO_TEST_CASE(streamThatMayRunOnceOutlivesTwoSecondsOfSilence)
{
    constexpr milliseconds LongSilence { 2000 };
    std::atomic<unsigned> sends { 0 };
    GatewayFixture gateway;
    for (const char *name : { "e1", "e2" }) {
        gateway.addServer(name, "engines",
                          [&](ScriptedConnection &connection, const ReceivedRequest &request) {
                              if (request.target().starts_with("/-/")) {
                                  connection.write(responseText(404, "", ""));
                                  return true;
                              }
                              ++sends;
                              std::this_thread::sleep_for(LongSilence / 2);
                              connection.write(streamHead(request) + chunk(event(1)));
                              std::this_thread::sleep_for(LongSilence);
                              connection.write(chunk(event(2)) + "0\r\n\r\n");
                              return true;
                          });
    }
    gateway.configure(1, { "k1" });
    gateway.start();
    const auto response = gateway.call("POST", "/once/a", "prompt", Headers);
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->body() == event(1) + event(2));
    BOOST_TEST(sends == 1U);
}

BOOST_AUTO_TEST_CASE(requestThatMayRunOnceIsNotEndedBeforeItsTimeByASilentServer)
{
    GatewayFixture gateway;
    std::atomic<unsigned> sends { 0 };
    for (const char *name : { "s1", "s2" }) {
        gateway.addServer(name, "plain",
                          [&](ScriptedConnection &connection, const ReceivedRequest &request) {
                              ++sends;
                              std::this_thread::sleep_for(milliseconds(1000));
                              connection.write(validResponse(request));
                              return true;
                          });
    }
    gateway.configure(1, { "k1" });
    gateway.start();
    const auto response = gateway.call("POST", "/unsafe/a", "x");
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 200U);
    BOOST_TEST(sends == 1U);
}

BOOST_AUTO_TEST_CASE(allStreamsOfASilentServerGoOnAndItIsUsedAgainSoon)
{
    constexpr int Streams = 24;
    constexpr milliseconds ShortSilence { 1200 };
    constexpr milliseconds UsedAgainWithin { 1000 };
    PausingServer first;
    std::atomic<unsigned> sentToFirst { 0 };
    std::atomic<unsigned> sentToSecond { 0 };
    GatewayFixture gateway;
    const auto respond = [](ScriptedConnection &connection, const ReceivedRequest &request,
                            std::atomic<unsigned> &sends, const std::function<void()> &wait) {
        if (request.target().starts_with("/-/")) {
            connection.write(responseText(404, "", ""));
            return true;
        }
        ++sends;
        const bool resumed = request.count("Last-Event-Id") > 0;
        wait();
        connection.write(streamHead(request) + (resumed ? "" : chunk(event(1))));
        std::this_thread::sleep_for(milliseconds(150));
        wait();
        connection.write(chunk(event(2)) + "0\r\n\r\n");
        return true;
    };
    gateway.addServer("e1", "engines",
                      [&](ScriptedConnection &connection, const ReceivedRequest &request) {
                          return respond(connection, request, sentToFirst, [&] { first.wait(); });
                      });
    gateway.addServer("e2", "engines",
                      [&](ScriptedConnection &connection, const ReceivedRequest &request) {
                          return respond(connection, request, sentToSecond, [] {});
                      });
    gateway.configure(1, { "k1" });
    gateway.start();
    std::atomic<int> complete { 0 };
    const auto call = [&](const std::string &path) {
        const auto response = gateway.call("POST", path, "prompt", Headers);
        if (response != nullptr && response->body() == event(1) + event(2)) {
            ++complete;
        }
    };
    std::vector<std::thread> callers;
    for (int stream = 0; stream < Streams; ++stream) {
        // Some may run only once.
        const char *path = stream % 4 == 0 ? "/once/a" : "/stream/a";
        callers.emplace_back([&call, path] { call(path); });
    }
    std::this_thread::sleep_for(milliseconds(100));
    first.setSilent(true);
    std::this_thread::sleep_for(ShortSilence);
    first.setSilent(false);
    const Instant wentOn = std::chrono::steady_clock::now();
    const unsigned sentBefore = sentToFirst;
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST_MESSAGE("sent to the silent server " << sentBefore << ", to the other "
                                                    << sentToSecond);
    // Both had requests, and those of the silent server that may run again were sent again.
    BOOST_TEST(sentBefore >= static_cast<unsigned>(Streams) / 4);
    BOOST_TEST(sentBefore + sentToSecond > static_cast<unsigned>(Streams));
    BOOST_TEST(complete == Streams);
    constexpr int Parallel = 4;
    int more = 0;
    while (sentToFirst == sentBefore
           && std::chrono::steady_clock::now() - wentOn < 4 * UsedAgainWithin) {
        callers.clear();
        for (int stream = 0; stream < Parallel; ++stream) {
            callers.emplace_back([&call] { call("/stream/a"); });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        more += Parallel;
    }
    const Duration unused = std::chrono::steady_clock::now() - wentOn;
    BOOST_TEST_MESSAGE("used again after " << toMilliseconds(unused) << " ms");
    BOOST_TEST(complete == Streams + more);
    BOOST_TEST(toMilliseconds(unused) <= toMilliseconds(UsedAgainWithin));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
