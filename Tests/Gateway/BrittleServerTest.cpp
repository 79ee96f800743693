#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "GatewayFixture.h"

namespace jacinthroad {

namespace {

constexpr unsigned Slots = 8;
constexpr unsigned ToleratedRejections = 3;
/// Falls that the platform's pages allow two servers while they are brittle.
constexpr int AllowedFalls = 2;
constexpr auto WorkTime = milliseconds(60);
constexpr auto DownTime = milliseconds(2000);
/// Covers several digests and the reading of the list of nodes.
constexpr auto PeerExchangeTime = milliseconds(1500);
/// Time after the first statement from which a server may reject more.
constexpr auto StatementKnownTime = milliseconds(3000);
constexpr auto LoadTime = milliseconds(6000);

/// A server without a queue, which ends all connections and is down for a while after it has had to
/// reject more requests in a second than it tolerates.
class BrittleServer
{
public:
    explicit BrittleServer(bool brittle)
        : brittle_(brittle)
    { }

    /// Responds to one request; returns false to end the connection.
    bool respond(ScriptedConnection &connection, const ReceivedRequest &request)
    {
        bool rejected = false;
        unsigned running = 0;
        {
            const std::lock_guard lock(mutex_);
            const Instant now = std::chrono::steady_clock::now();
            if (now < downUntil_) {
                connection.reset();
                return false;
            }
            rejected = running_ >= Slots;
            running = running_;
            if (rejected) {
                noteRejection(now);
            } else {
                ++running_;
            }
        }
        if (!rejected) {
            const Instant began = std::chrono::steady_clock::now();
            std::this_thread::sleep_for(WorkTime);
            const std::lock_guard lock(mutex_);
            worked_ += std::chrono::steady_clock::now() - began;
            running = --running_;
        }
        std::string headers = "X-Request-Id: " + std::string(request["X-Request-Id"])
            + "\r\nX-Instance-Load: " + std::to_string(running) + ",0," + std::to_string(Slots)
            + "\r\n";
        if (brittle_) {
            headers += "Server-Brittle: " + std::to_string(ToleratedRejections) + "\r\n";
        }
        connection.write(rejected
                             ? responseText(503, headers + "X-Not-Run: 1\r\n", "")
                             : responseText(200, headers + "X-Response-Stamp: stamp\r\n", "body"));
        return true;
    }

    [[nodiscard]] int falls()
    {
        const std::lock_guard lock(mutex_);
        return falls_;
    }
    [[nodiscard]] std::size_t rejections()
    {
        const std::lock_guard lock(mutex_);
        return rejectedAt_.size();
    }
    /// The time for which its slots have been taken, summed over them.
    [[nodiscard]] Duration worked()
    {
        const std::lock_guard lock(mutex_);
        return worked_;
    }

private:
    void noteRejection(Instant now)
    {
        rejectedAt_.push_back(now);
        const auto counted = std::count_if(rejectedAt_.begin(), rejectedAt_.end(), [&](Instant at) {
            return at >= fellAt_ && now - at < std::chrono::seconds(1);
        });
        if (counted > ToleratedRejections) {
            ++falls_;
            fellAt_ = now;
            downUntil_ = now + DownTime;
        }
    }

    std::mutex mutex_;
    const bool brittle_;
    unsigned running_ = 0;
    int falls_ = 0;
    std::vector<Instant> rejectedAt_;
    Instant fellAt_;
    Instant downUntil_;
    Duration worked_ {};
};

/// Three nodes before two brittle servers.
class BrittleFleet
{
public:
    BrittleFleet()
    {
        for (std::size_t server = 0; server < servers.size(); ++server) {
            nodes_[0].addServer(
                "s" + std::to_string(server), "plain",
                [this, server](ScriptedConnection &connection, const ReceivedRequest &request) {
                    return servers[server].respond(connection, request);
                });
        }
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            nodes_[node].settings.name = "front-" + std::to_string(node + 1);
        }
        for (GatewayFixture &fixture : nodes_) {
            fixture.shareServers(nodes_[0]);
            fixture.configure(1, { "k1" });
            for (GatewayFixture &peer : nodes_) {
                if (&peer != &fixture) {
                    fixture.addPeer(peer);
                }
            }
            fixture.start();
        }
        std::this_thread::sleep_for(PeerExchangeTime);
    }

    /// Calls each node from a number of callers, each of which waits this long between its calls.
    void load(int callersPerNode, Duration time, Duration pause)
    {
        std::vector<std::thread> callers;
        for (int caller = 0; caller < callersPerNode; ++caller) {
            for (GatewayFixture &fixture : nodes_) {
                callers.emplace_back([this, &fixture, time, pause] {
                    const Instant end = std::chrono::steady_clock::now() + time;
                    while (std::chrono::steady_clock::now() < end) {
                        const auto response = fixture.call("POST", "/unsafe/a", "x");
                        const unsigned status = response == nullptr ? 0 : response->result_int();
                        ++(status == 200                                              ? served
                               : status == 503 && response->count("Retry-After") == 1 ? refused
                                                                                      : failed);
                        std::this_thread::sleep_for(pause);
                    }
                });
            }
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    std::array<BrittleServer, 2> servers { BrittleServer(true), BrittleServer(true) };
    std::atomic<int> served { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> failed { 0 };

private:
    std::array<GatewayFixture, 3> nodes_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BrittleServerTest)

BOOST_AUTO_TEST_CASE(brittleServersDoNotFallUnderMoreThanTheyCanTake)
{
    BrittleFleet fleet;
    fleet.load(1, StatementKnownTime, milliseconds(100));
    BOOST_TEST(fleet.refused == 0);
    const Duration workedBefore = fleet.servers[0].worked() + fleet.servers[1].worked();
    // More than they can run at the same time.
    fleet.load(11, LoadTime, milliseconds(20));
    const int falls = fleet.servers[0].falls() + fleet.servers[1].falls();
    BOOST_TEST_MESSAGE("falls " << falls << ", rejections " << fleet.servers[0].rejections()
                                << " and " << fleet.servers[1].rejections() << ", served "
                                << fleet.served << ", refused " << fleet.refused);
    BOOST_TEST(falls <= AllowedFalls);
    BOOST_TEST(fleet.failed == 0);
    BOOST_TEST(fleet.refused > 0);
    // Half of the places at least were taken.
    const Duration worked = fleet.servers[0].worked() + fleet.servers[1].worked() - workedBefore;
    BOOST_TEST(toMilliseconds(worked) >= toMilliseconds(LoadTime) * Slots);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
