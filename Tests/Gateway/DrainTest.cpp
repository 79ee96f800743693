#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Core/Endpoint.h"
#include "Core/Log.h"
#include "Fleet/StopSchedule.h"
#include "FreeAddress.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/SocketOptions.h"
#include "GatewayFixture.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// When the balancer has left a draining node and its callers have moved away.
constexpr Duration BalancerLeft = milliseconds(2800);

bool respondOk(ScriptedConnection &connection, const ReceivedRequest &request)
{
    connection.write(validResponse(request));
    return true;
}

std::string requestHead(const std::string &id, std::size_t bodySize,
                        const std::string &path = "/unsafe/a")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\nX-Request-Id: "
        + id + "\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n";
}

GatewayFixture::Handler respondAfter(milliseconds delay)
{
    return [delay](ScriptedConnection &connection, const ReceivedRequest &request) {
        std::this_thread::sleep_for(delay);
        return respondOk(connection, request);
    };
}

/// Reads one response; its status is 0 if the connection ends without a complete one.
CallerResponse readResponse(asio::ip::tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    CallerResponse response;
    error_code error;
    http::read(socket, buffer, response, error);
    if (error) {
        response.result(0);
    }
    return response;
}

/// Reads one response; returns its status, or 0 if the connection ends without a complete one.
unsigned readStatus(asio::ip::tcp::socket &socket)
{
    return readResponse(socket).result_int();
}

/// Drains and destroys the fixture's gateway, as the process does at its end.
std::thread stopProcess(GatewayFixture &fixture)
{
    return std::thread([&fixture] {
        static_cast<void>(fixture.gateway->drain());
        fixture.gateway.reset();
    });
}

/// Longer than a stop waits for the traffic thread.
constexpr Duration StallTime = milliseconds(1000);

/// A process with a gateway that has no store and has begun to stop.
class StoppingProcess
{
public:
    StoppingProcess()
        : settings_(*readGatewaySettings(
            R"({"edge":"gateway","node":{"name":"front-1","zone":"z"},)"
            R"("listen":{"callers":")"
                + freeAddress() + R"(","readiness":")" + freeAddress()
                + R"("},"store":{"address":")" + freeAddress()
                + R"("},"bounds":{"stop_grace_s":5},"log":{"level":"warning"}})",
            "settings.json"))
    {
        std::array<int, 2> channel {};
        BOOST_REQUIRE(pipe(channel.data()) == 0);
        process_ = fork();
        BOOST_REQUIRE(process_ >= 0);
        if (process_ == 0) {
            run(channel[1]);
        }
        char begun = 0;
        BOOST_REQUIRE(read(channel[0], &begun, 1) == 1);
        close(channel[0]);
        close(channel[1]);
    }
    StoppingProcess(const StoppingProcess &) = delete;
    StoppingProcess &operator=(const StoppingProcess &) = delete;
    ~StoppingProcess()
    {
        if (!hasEnded()) {
            signal(SIGCONT);
            waitpid(process_, nullptr, 0);
        }
    }

    void signal(int number) const
    {
        if (!ended_) {
            ::kill(process_, number);
        }
    }
    /// Keeps the traffic thread, which is the youngest one, from running for StallTime.
    void stallTraffic() const
    {
        const std::string folder = "/proc/" + std::to_string(process_) + "/task";
        pid_t youngest = 0;
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            youngest = std::max(youngest, std::stoi(entry.path().filename().string()));
        }
        BOOST_TEST(syscall(SYS_tgkill, process_, youngest, SIGUSR1) == 0);
    }
    /// True if the process has ended.
    [[nodiscard]] bool hasEnded()
    {
        ended_ = ended_ || waitpid(process_, nullptr, WNOHANG) == process_;
        return ended_;
    }
    [[nodiscard]] asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context_);
        socket.connect(*parseEndpoint(settings_.callerAddress));
        return socket;
    }

private:
    [[noreturn]] void run(int channel) const
    {
        configureLog(settings_.log);
        std::signal(SIGUSR1, [](int) { std::this_thread::sleep_for(StallTime); });
        const auto gateway = Gateway::start(settings_);
        if (gateway.has_value() && write(channel, "b", 1) == 1) {
            static_cast<void>((*gateway)->drain());
        }
        _exit(0);
    }

    GatewaySettings settings_;
    pid_t process_ = -1;
    bool ended_ = false;
    asio::io_context context_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DrainTest)

BOOST_AUTO_TEST_CASE(idleConnectionIsClosedOnceBalancerHasLeft)
{
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 0)));
    BOOST_TEST(readStatus(socket) == 200U);
    std::thread stop([&] { static_cast<void>(fixture.gateway->drain()); });
    std::this_thread::sleep_for(BalancerLeft - milliseconds(300));
    socket.non_blocking(true);
    std::array<char, 16> bytes {};
    error_code error;
    socket.read_some(asio::buffer(bytes), error);
    BOOST_TEST(error == asio::error::would_block);
    stop.join();
    socket.read_some(asio::buffer(bytes), error);
    BOOST_TEST(error == asio::error::eof);
}

BOOST_AUTO_TEST_CASE(requestThatIsBeingReadGetsResponseBeforeProcessEnds)
{
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::thread stop = stopProcess(fixture);
    std::this_thread::sleep_for(BalancerLeft + milliseconds(200));
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 2) + "a"));
    std::this_thread::sleep_for(milliseconds(600));
    error_code error;
    asio::write(socket, asio::buffer(std::string("b")), error);
    BOOST_TEST(readStatus(socket) == 503U);
    stop.join();
    BOOST_TEST(fixture.receivedRequests("s1").empty());
}

BOOST_AUTO_TEST_CASE(requestsOnConnectionsThatWaitForAcceptanceGetResponsesAfterAStall)
{
    constexpr int Requests = 300;
    constexpr Duration Stall = milliseconds(700);
    StoppingProcess process;
    std::this_thread::sleep_for(BalancerLeft);
    process.signal(SIGSTOP);
    std::vector<asio::ip::tcp::socket> callers;
    for (int number = 0; number < Requests; ++number) {
        callers.push_back(process.connect());
        asio::write(callers.back(), asio::buffer(requestHead("r" + std::to_string(number), 0)));
    }
    std::this_thread::sleep_for(Stall);
    process.signal(SIGCONT);
    int unanswered = 0;
    for (asio::ip::tcp::socket &caller : callers) {
        unanswered += readStatus(caller) == 503U ? 0 : 1;
    }
    BOOST_TEST(unanswered == 0);
}

BOOST_AUTO_TEST_CASE(firstRequestOnItsWayWhenTheListenerEndsGetsAResponse)
{
    constexpr Duration OnItsWay = milliseconds(300);
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::thread stop = stopProcess(fixture);
    std::this_thread::sleep_for(BalancerLeft + milliseconds(250));
    auto socket = fixture.connect();
    std::this_thread::sleep_for(OnItsWay);
    error_code error;
    asio::write(socket, asio::buffer(requestHead("r1", 0)), error);
    const CallerResponse response = readResponse(socket);
    BOOST_TEST(response.result_int() == 503U);
    BOOST_TEST(!response.keep_alive());
    stop.join();
    BOOST_TEST(fixture.receivedRequests("s1").empty());
}

BOOST_AUTO_TEST_CASE(noForwardedRequestOfOpenConnectionsIsLostWhileProcessEnds)
{
    constexpr unsigned Callers = 4;
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::mutex mutex;
    std::set<std::string> answered;
    std::atomic<bool> stopped { false };
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            asio::io_context context;
            asio::ip::tcp::socket socket(context);
            bool open = false;
            for (unsigned count = 0; !stopped; ++count) {
                error_code error;
                if (!open) {
                    socket = asio::ip::tcp::socket(context);
                    socket.connect(*parseEndpoint(fixture.settings.callerAddress), error);
                }
                const std::string id = std::to_string(caller) + "-" + std::to_string(count);
                asio::write(socket, asio::buffer(requestHead(id, 0)), error);
                boost::beast::flat_buffer buffer;
                CallerResponse response;
                http::read(socket, buffer, response, error);
                open = !error && response.keep_alive();
                if (!error && response.result_int() == 200) {
                    const std::lock_guard lock(mutex);
                    answered.insert(id);
                }
                std::this_thread::sleep_for(milliseconds(caller));
            }
        });
    }
    stopProcess(fixture).join();
    stopped = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    const auto received = fixture.receivedRequests("s1");
    BOOST_TEST(received.size() > Callers);
    unsigned lost = 0;
    for (const ReceivedRequest &request : received) {
        lost += answered.contains(std::string(request["X-Request-Id"])) ? 0 : 1;
    }
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsGetResponsesDuringAStop)
{
    constexpr int Requests = 3;
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondAfter(milliseconds(300)));
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    std::string sent;
    for (int number = 0; number < Requests; ++number) {
        sent += requestHead("r" + std::to_string(number), 0);
    }
    asio::write(socket, asio::buffer(sent));
    while (fixture.receivedRequests("s1").empty()) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::thread stop = stopProcess(fixture);
    boost::beast::flat_buffer buffer;
    for (int number = 0; number < Requests; ++number) {
        CallerResponse response;
        error_code error;
        http::read(socket, buffer, response, error);
        BOOST_TEST(!error.failed());
        BOOST_TEST(response.result_int() == 200U);
        BOOST_TEST(response.keep_alive() == (number + 1 < Requests));
    }
    stop.join();
}

BOOST_AUTO_TEST_CASE(callerThatPipelinesWithoutEndDoesNotHoldAStopUntilTheEndOfGrace)
{
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    std::thread sender([&] {
        const std::string request = requestHead("r1", 1) + "a";
        error_code error;
        while (!error) {
            asio::write(socket, asio::buffer(request), error);
        }
    });
    Duration stopTime {};
    std::thread stop([&] {
        const Instant begin = std::chrono::steady_clock::now();
        static_cast<void>(fixture.gateway->drain());
        stopTime = std::chrono::steady_clock::now() - begin;
        fixture.gateway.reset();
    });
    boost::beast::flat_buffer buffer;
    bool announced = false;
    error_code error;
    while (!announced && !error) {
        CallerResponse response;
        http::read(socket, buffer, response, error);
        announced = !error && !response.keep_alive();
    }
    BOOST_TEST(announced);
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
    sender.join();
    stop.join();
    BOOST_TEST(toMilliseconds(stopTime) < toMilliseconds(fixture.settings.stopGrace) - 700);
}

BOOST_AUTO_TEST_CASE(callerThatClosesOnlyItsSendingSideDuringAStopGetsARefusal)
{
    for (const Duration sinceStop :
         { Duration(milliseconds(100)), BalancerLeft + milliseconds(350) }) {
        GatewayFixture fixture;
        fixture.addServer("s1", "plain", respondAfter(milliseconds(300)));
        fixture.configure(1, { "k1" });
        fixture.start();
        std::thread stop = stopProcess(fixture);
        std::this_thread::sleep_for(sinceStop);
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(requestHead("r1", 0)));
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        const CallerResponse response = readResponse(socket);
        BOOST_TEST((response.result_int() == 503U || response.result_int() == 502U));
        BOOST_TEST(!response.keep_alive());
        stop.join();
    }
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsThatArriveTogetherAfterTheEndOfTheListenerGetResponses)
{
    constexpr int Requests = 5;
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    std::thread stop = stopProcess(fixture);
    std::this_thread::sleep_for(BalancerLeft + milliseconds(350));
    auto socket = fixture.connect();
    std::this_thread::sleep_for(milliseconds(200));
    std::string sent;
    for (int number = 0; number < Requests; ++number) {
        sent += requestHead("r" + std::to_string(number), 0, "/unsafe/" + std::string(300, 'a'));
    }
    asio::write(socket, asio::buffer(sent));
    boost::beast::flat_buffer buffer;
    for (int number = 0; number < Requests; ++number) {
        CallerResponse response;
        error_code error;
        http::read(socket, buffer, response, error);
        BOOST_TEST(!error.failed());
        BOOST_TEST(response.result_int() == 503U);
        BOOST_TEST(response.keep_alive() == (number + 1 < Requests));
    }
    stop.join();
}

BOOST_AUTO_TEST_CASE(pipelinedRequestBehindAnUnansweredOneIsRefusedAtEndOfGrace)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = milliseconds(1500);
    fixture.addServer("s1", "plain", [](ScriptedConnection &connection, const auto &) {
        return !connection.waitForClose(std::chrono::seconds(5));
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 0) + requestHead("r2", 0)));
    while (fixture.receivedRequests("s1").empty()) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::thread stop = stopProcess(fixture);
    boost::beast::flat_buffer buffer;
    for (const unsigned status : { 504U, 503U }) {
        CallerResponse response;
        error_code error;
        http::read(socket, buffer, response, error);
        BOOST_TEST(!error.failed());
        BOOST_TEST(response.result_int() == status);
    }
    stop.join();
    BOOST_TEST(fixture.receivedRequests("s1").size() == 1U);
}

BOOST_AUTO_TEST_CASE(unsafeRequestThatMayOutlastGraceIsRefusedAsNotRun)
{
    struct Arrival
    {
        milliseconds grace;
        milliseconds sinceStop;
    };
    // The route allows 1.2 s.
    for (const auto &[grace, sinceStop] :
         { Arrival { .grace = milliseconds(2000), .sinceStop = milliseconds(1000) },
           Arrival { .grace = milliseconds(3500), .sinceStop = milliseconds(2500) } }) {
        BOOST_TEST_CONTEXT("grace " << grace.count() << " ms")
        {
            GatewayFixture fixture;
            fixture.settings.stopGrace = grace;
            fixture.addServer("s1", "plain", respondAfter(milliseconds(1100)));
            fixture.configure(1, { "k1" });
            fixture.start();
            std::thread stop = stopProcess(fixture);
            std::this_thread::sleep_for(sinceStop);
            auto socket = fixture.connect();
            asio::write(socket, asio::buffer(requestHead("r1", 0)));
            const CallerResponse response = readResponse(socket);
            BOOST_TEST(response.result_int() == 503U);
            BOOST_TEST(!response.keep_alive());
            stop.join();
            BOOST_TEST(fixture.receivedRequests("s1").empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(requestThatEndsWithinShortGraceIsServed)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = milliseconds(2000);
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    BOOST_TEST(fixture.call("GET", "/safe/a")->result_int() == 200U);
    std::thread stop = stopProcess(fixture);
    std::this_thread::sleep_for(milliseconds(300));
    BOOST_TEST(fixture.call("POST", "/unsafe/a")->result_int() == 200U);
    std::this_thread::sleep_for(milliseconds(700));
    BOOST_TEST(fixture.call("GET", "/safe/a")->result_int() == 200U);
    stop.join();
}

BOOST_AUTO_TEST_CASE(safeRequestWithoutResponseAtEndOfGraceGetsAnswer)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = milliseconds(2000);
    std::atomic<bool> silent { false };
    fixture.addServer("s1", "plain", [&](ScriptedConnection &connection, const auto &request) {
        return silent ? !connection.waitForClose(std::chrono::seconds(5))
                      : respondOk(connection, request);
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    BOOST_TEST(fixture.call("GET", "/safe/a")->result_int() == 200U);
    silent = true;
    std::thread stop = stopProcess(fixture);
    std::this_thread::sleep_for(milliseconds(1000));
    const auto response = fixture.call("GET", "/safe/a");
    stop.join();
    BOOST_REQUIRE(response != nullptr);
    BOOST_TEST(response->result_int() == 504U);
}

BOOST_AUTO_TEST_CASE(streamWithoutEventAtEndOfGraceGetsAnswer)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = milliseconds(1500);
    fixture.addServer("e1", "engines", [](ScriptedConnection &connection, const auto &) {
        return !connection.waitForClose(std::chrono::seconds(5));
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 0, "/once/a")));
    while (fixture.receivedRequests("e1").empty()) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::thread stop = stopProcess(fixture);
    BOOST_TEST(readStatus(socket) == 504U);
    stop.join();
}

BOOST_AUTO_TEST_CASE(requestThatIsBeingReadAtEndOfGraceIsRefused)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = milliseconds(1500);
    fixture.addServer("s1", "plain", respondOk);
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 2) + "a"));
    std::thread stop = stopProcess(fixture);
    BOOST_TEST(readStatus(socket) == 503U);
    stop.join();
    BOOST_TEST(fixture.receivedRequests("s1").empty());
}

BOOST_AUTO_TEST_CASE(stopThatIsNoticedLateEndsWithinItsGracePeriod)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = milliseconds(2000);
    fixture.addServer("s1", "plain", [](ScriptedConnection &connection, const auto &) {
        return !connection.waitForClose(std::chrono::seconds(5));
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 0)));
    while (fixture.receivedRequests("s1").empty()) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    const Instant signalled = std::chrono::steady_clock::now() - milliseconds(600);
    std::thread stop([&] { static_cast<void>(fixture.gateway->drain(signalled)); });
    BOOST_TEST(readStatus(socket) == 504U);
    stop.join();
    BOOST_TEST(toMilliseconds(std::chrono::steady_clock::now() - signalled)
               < toMilliseconds(fixture.settings.stopGrace));
}

// The waits for the traffic thread and for the release of the lease followed each other.
BOOST_AUTO_TEST_CASE(stopOfANodeWithAQuarterOfACoreOutlastsItsGracePeriodBesideAStall)
{
    constexpr Duration Grace = std::chrono::seconds(5);
    constexpr Duration Runs = milliseconds(25);
    constexpr Duration Stopped = milliseconds(75);
    StoppingProcess process;
    const Instant begin = std::chrono::steady_clock::now();
    auto socket = process.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 2) + "a"));
    // The node runs when its requests are due to be ended.
    Instant next = begin + StopSchedule(Grace).answerEnd() - Runs / 2 - 2 * Stopped - Runs;
    std::this_thread::sleep_until(next);
    process.stallTraffic();
    while (!process.hasEnded() && next < begin + Grace) {
        process.signal(SIGSTOP);
        std::this_thread::sleep_until(next += Stopped);
        process.signal(SIGCONT);
        std::this_thread::sleep_until(std::min(next += Runs, begin + Grace));
    }
    BOOST_TEST(process.hasEnded());
}

BOOST_AUTO_TEST_CASE(requestThatCrossesTheCloseInAStopIsNotReadAndDropped)
{
    constexpr Duration ConnectionClosed = milliseconds(1000);
    GatewayFixture fixture;
    fixture.addServer("s1", "plain", respondAfter(milliseconds(300)));
    fixture.configure(1, { "k1" });
    fixture.start();
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(requestHead("r1", 0)));
    while (fixture.receivedRequests("s1").empty()) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::thread stop = stopProcess(fixture);
    const CallerResponse response = readResponse(socket);
    BOOST_TEST(response.result_int() == 200U);
    BOOST_TEST(!response.keep_alive());
    asio::write(socket, asio::buffer(requestHead("r2", 0)));
    std::this_thread::sleep_for(ConnectionClosed);
    // TCP resets a connection that is closed with unread bytes.
    BOOST_TEST(takeError(socket));
    stop.join();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
