#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "Core/Log.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"

using namespace jacinthroad;

namespace {

std::shared_ptr<MemoryBudget> someMemory()
{
    return std::make_shared<MemoryBudget>(64 * 1024 * 1024);
}

std::string url(const HttpServer &server)
{
    return "http://127.0.0.1:" + std::to_string(server.port());
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    return address;
}

/// Answers one request with the bytes of a script and closes the connection in an orderly way.
class OneResponseServer
{
public:
    explicit OneResponseServer(std::string response)
        : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        bind(listener_, reinterpret_cast<sockaddr *>(&address), size);
        listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        url_ = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this, response = std::move(response)] {
            const int connection = accept(listener_, nullptr, nullptr);
            std::string request;
            while (request.find("\r\n\r\n") == std::string::npos) {
                std::array<char, 4096> bytes {};
                const ssize_t count = read(connection, bytes.data(), bytes.size());
                if (count <= 0) {
                    break;
                }
                request.append(bytes.data(), static_cast<std::size_t>(count));
            }
            static_cast<void>(!write(connection, response.data(), response.size()));
            close(connection);
        });
    }
    OneResponseServer(const OneResponseServer &) = delete;
    OneResponseServer &operator=(const OneResponseServer &) = delete;
    ~OneResponseServer()
    {
        thread_.join();
        close(listener_);
    }

    [[nodiscard]] const std::string &url() const { return url_; }

private:
    int listener_;
    std::string url_;
    std::thread thread_;
};

/// Sends a GET request of HTTP/1.0 and reads until the connection ends. Returns errno of the last
/// read, 0 after an orderly close.
int endOfOldCaller(std::uint16_t port)
{
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(port);
    if (connect(caller, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close(caller);
        return errno;
    }
    const std::string request = "GET / HTTP/1.0\r\n\r\n";
    static_cast<void>(!write(caller, request.data(), request.size()));
    std::array<char, 4096> bytes {};
    ssize_t count = 1;
    while (count > 0) {
        count = read(caller, bytes.data(), bytes.size());
    }
    const int error = count < 0 ? errno : 0;
    close(caller);
    return error;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpTest)

BOOST_AUTO_TEST_CASE(echoesBodyAndQuery)
{
    auto server = HttpServer::start({}, someMemory(), [](HttpRequest request, const auto &writer) {
        writer->respond(
            { .status = 200,
              .body = request.method + request.path + encodeQuery(request.query) + request.body });
    });
    BOOST_TEST_REQUIRE(server.has_value());
    HttpClient client(someMemory());
    const auto result = performCall(
        client, { .method = "POST", .url = url(**server) + "/a?x=1%202", .body = "hello" });
    BOOST_TEST(result.response.body == "POST/a?x=1%202hello");
}

BOOST_AUTO_TEST_CASE(oversizedBodyIsReportedToTheHandlerAndDiscarded)
{
    std::atomic<bool> reported { false };
    auto server = HttpServer::start(
        { .maximumBodyBytes = 1000 }, someMemory(), [&](HttpRequest request, const auto &writer) {
            reported = request.bodyLoss == BodyLoss::TooLarge && request.body.empty();
            writer->respond({ .status = 413 });
        });
    HttpClient client(someMemory());
    const auto result = performCall(
        client,
        { .method = "POST", .url = url(**server), .body = std::string(20 * 1024 * 1024, 'x') });
    BOOST_TEST(reported.load());
    BOOST_TEST(result.response.status == 413);
}

BOOST_AUTO_TEST_CASE(connectionIsResetWhileItsClientSendsAnOversizedBody)
{
    constexpr std::size_t BodyBytes = 4 * 1024 * 1024;
    auto server = HttpServer::start(
        { .maximumBodyBytes = 1024 * 1024 }, someMemory(),
        [](HttpRequest, const auto &writer) { writer->respond({ .status = 413 }); });
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback((*server)->port());
    BOOST_REQUIRE(connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                  == 0);
    const std::string request = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
        + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    std::size_t sent = 0;
    ssize_t count = 1;
    while (sent < request.size() && count > 0) {
        count = send(connection, request.data() + sent,
                     std::min<std::size_t>(request.size() - sent, 64 * 1024), MSG_NOSIGNAL);
        sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    BOOST_TEST(sent == request.size());
    std::array<char, 1024> bytes {};
    count = read(connection, bytes.data(), bytes.size());
    BOOST_REQUIRE(count > 0);
    BOOST_TEST(std::string_view(bytes.data(), static_cast<std::size_t>(count))
                   .starts_with("HTTP/1.1 413"));
    close(connection);
}

BOOST_AUTO_TEST_CASE(requestWhoseResponseCannotBeSentIsLoggedAsDropped)
{
    constexpr int InvalidStatus = 0;
    auto server = HttpServer::start({}, someMemory(), [](HttpRequest, const auto &writer) {
        writer->respond({ .status = InvalidStatus });
    });
    const std::unique_ptr<std::FILE, decltype(&std::fclose)> file(std::tmpfile(), &std::fclose);
    const int usual = dup(STDERR_FILENO);
    dup2(fileno(file.get()), STDERR_FILENO);
    configureLog({ .minimumLevel = LogLevel::Warning });
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback((*server)->port());
    const bool connected
        = connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n";
    static_cast<void>(send(connection, request.data(), request.size(), MSG_NOSIGNAL));
    std::array<char, 1024> bytes {};
    const ssize_t received = read(connection, bytes.data(), bytes.size());
    close(connection);
    server->reset();
    dup2(usual, STDERR_FILENO);
    close(usual);
    std::rewind(file.get());
    std::array<char, 4096> text {};
    const std::string log(text.data(), std::fread(text.data(), 1, text.size(), file.get()));
    BOOST_TEST(connected);
    BOOST_TEST(received <= 0);
    BOOST_TEST_CONTEXT(log)
    {
        BOOST_TEST(log.find("\"event\":\"request_dropped\"") != std::string::npos);
        BOOST_TEST(log.find("\"request_id\":\"r1\"") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(abortedStreamIsReportedAsInterrupted)
{
    auto server = HttpServer::start({}, someMemory(), [](HttpRequest, const auto &writer) {
        writer->start(200, {});
        writer->write("part");
        writer->abort();
    });
    HttpClient client(someMemory());
    const auto result = performCall(client, { .url = url(**server) });
    BOOST_TEST(result.response.body == "part");
    BOOST_TEST((result.outcome == CallOutcome::Interrupted));
}

BOOST_AUTO_TEST_CASE(abortedStreamOfHttp10CallerEndsWithReset)
{
    auto server = HttpServer::start({}, someMemory(), [](HttpRequest, const auto &writer) {
        writer->start(200, {});
        writer->write("part");
        std::this_thread::sleep_for(milliseconds(50));
        writer->abort();
    });
    BOOST_TEST(endOfOldCaller((*server)->port()) == ECONNRESET);
}

BOOST_AUTO_TEST_CASE(completeStreamOfHttp10CallerEndsWithClose)
{
    auto server = HttpServer::start({}, someMemory(), [](HttpRequest, const auto &writer) {
        writer->start(200, {});
        writer->write("whole");
        writer->finish();
    });
    BOOST_TEST(endOfOldCaller((*server)->port()) == 0);
}

BOOST_AUTO_TEST_CASE(bodyWhoseEndIsTheCloseIsNotReportedAsComplete)
{
    HttpClient client(someMemory());
    for (const std::string head : { "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n" }) {
        const OneResponseServer server(head + "\r\nhalf of a bo");
        const auto result = performCall(client, { .url = server.url(), .ownConnection = true });
        BOOST_TEST((result.outcome == CallOutcome::Interrupted), head);
    }
}

BOOST_AUTO_TEST_CASE(headThatIsCutIsNotReportedAsComplete)
{
    HttpClient client(someMemory());
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n";
    for (const std::size_t size :
         { std::size_t { 12 }, std::size_t { 15 }, std::size_t { 17 }, std::size_t { 34 },
           std::size_t { 36 }, std::size_t { 38 }, head.size() - 1, head.size() }) {
        const OneResponseServer server(head.substr(0, size));
        const auto result = performCall(client, { .url = server.url(), .ownConnection = true });
        BOOST_TEST((result.outcome == CallOutcome::Interrupted), head.substr(0, size));
    }
}

BOOST_AUTO_TEST_CASE(responsesThatNameTheirEndAreComplete)
{
    HttpClient client(someMemory());
    for (const std::string response :
         { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
           "HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
           "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n" }) {
        const OneResponseServer server(response);
        const auto result = performCall(client, { .url = server.url(), .ownConnection = true });
        BOOST_TEST((result.outcome == CallOutcome::Completed), response);
    }
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsReportedAsNotSent)
{
    std::string closedUrl;
    {
        auto server = HttpServer::start({}, someMemory(), [](HttpRequest, const auto &) {});
        closedUrl = url(**server);
    }
    HttpClient client(someMemory());
    BOOST_TEST((performCall(client, { .url = closedUrl }).outcome == CallOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(nonRetryableCallIsNeverResentByLibcurl)
{
    std::atomic<int> posts { 0 };
    auto server = HttpServer::start({}, someMemory(), [&](HttpRequest request, const auto &writer) {
        if (request.method == "GET") {
            writer->respond({ .status = 200 });
            return;
        }
        ++posts;
        writer->abort();
    });
    HttpClient client(someMemory());
    for (int round = 0; round < 5; ++round) {
        // Leaves an idle connection that the next call could reuse.
        BOOST_TEST(performCall(client, { .url = url(**server) }).response.status == 200);
        const auto result = performCall(
            client,
            { .method = "POST", .url = url(**server), .body = "book", .ownConnection = true });
        BOOST_TEST((result.outcome == CallOutcome::Interrupted));
        BOOST_TEST(posts.load() == round + 1);
    }
}

BOOST_AUTO_TEST_CASE(slowReaderLimitsBufferedBytes)
{
    std::shared_ptr<ResponseWriter> writer;
    std::promise<void> arrived;
    std::atomic<int> drained { 0 };
    auto server = HttpServer::start({}, someMemory(), [&](HttpRequest, const auto &responseWriter) {
        writer = responseWriter;
        writer->subscribe(
            4096, [&] { ++drained; }, nullptr);
        writer->start(200, {});
        arrived.set_value();
    });
    HttpClient client(someMemory());
    std::atomic<bool> paused { true };
    std::promise<void> ended;
    const auto call = client.start({ .url = url(**server) },
                                   { .onData = [&](std::string_view) { return !paused; },
                                     .onEnd = [&](CallOutcome) { ended.set_value(); } });
    arrived.get_future().wait();
    // Stops at the high-water mark of 4096 bytes; the kernel's socket buffers first absorb a few
    // megabytes.
    const std::string block(4096, 'x');
    std::size_t written = 0;
    while (writer->bufferedBytes() < 4096 && written < 64 * 1024 * 1024) {
        writer->write(block);
        written += block.size();
        std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
    BOOST_TEST(writer->bufferedBytes() <= 8192U);
    paused = false;
    client.resume(call);
    writer->finish();
    ended.get_future().wait();
    BOOST_TEST(drained.load() >= 1);
}

BOOST_AUTO_TEST_CASE(destroyedServerEndsOpenExchanges)
{
    HttpClient client(someMemory());
    std::promise<CallOutcome> ended;
    std::promise<void> arrived;
    {
        auto server = HttpServer::start({}, someMemory(),
                                        [&](HttpRequest, const auto &) { arrived.set_value(); });
        client.start({ .url = url(**server) },
                     { .onEnd = [&](CallOutcome outcome) { ended.set_value(outcome); } });
        arrived.get_future().wait();
    }
    BOOST_TEST((ended.get_future().get() == CallOutcome::Interrupted));
}

BOOST_AUTO_TEST_SUITE_END()
