#include <atomic>
#include <future>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "Http/HttpClient.h"
#include "Http/HttpServer.h"

using namespace jacinthroad;

namespace {

std::string url(const HttpServer &server)
{
    return "http://127.0.0.1:" + std::to_string(server.port());
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpTest)

BOOST_AUTO_TEST_CASE(echoesBodyAndQuery)
{
    auto server = HttpServer::start({}, [](HttpRequest request, const auto &writer) {
        writer->respond(
            { .status = 200,
              .body = request.method + request.path + encodeQuery(request.query) + request.body });
    });
    BOOST_TEST_REQUIRE(server.has_value());
    HttpClient client;
    const auto result = performCall(
        client, { .method = "POST", .url = url(**server) + "/a?x=1%202", .body = "hello" });
    BOOST_TEST(result.response.body == "POST/a?x=1%202hello");
}

BOOST_AUTO_TEST_CASE(oversizedBodyIsReportedToTheHandlerAndDiscarded)
{
    std::atomic<bool> reported { false };
    auto server = HttpServer::start({ .maximumBodyBytes = 1000 },
                                    [&](HttpRequest request, const auto &writer) {
                                        reported = request.bodyTooLarge && request.body.empty();
                                        writer->respond({ .status = 413 });
                                    });
    HttpClient client;
    const auto result = performCall(
        client,
        { .method = "POST", .url = url(**server), .body = std::string(20 * 1024 * 1024, 'x') });
    BOOST_TEST(reported.load());
    BOOST_TEST(result.response.status == 413);
}

BOOST_AUTO_TEST_CASE(abortedStreamIsReportedAsInterrupted)
{
    auto server = HttpServer::start({}, [](HttpRequest, const auto &writer) {
        writer->start(200, {});
        writer->write("part");
        writer->abort();
    });
    HttpClient client;
    const auto result = performCall(client, { .url = url(**server) });
    BOOST_TEST(result.response.body == "part");
    BOOST_TEST((result.outcome == CallOutcome::Interrupted));
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsReportedAsNotSent)
{
    std::string closedUrl;
    {
        auto server = HttpServer::start({}, [](HttpRequest, const auto &) {});
        closedUrl = url(**server);
    }
    HttpClient client;
    BOOST_TEST((performCall(client, { .url = closedUrl }).outcome == CallOutcome::NotSent));
}

BOOST_AUTO_TEST_CASE(nonRetryableCallIsNeverResentByLibcurl)
{
    std::atomic<int> posts { 0 };
    auto server = HttpServer::start({}, [&](HttpRequest request, const auto &writer) {
        if (request.method == "GET") {
            writer->respond({ .status = 200 });
            return;
        }
        ++posts;
        writer->abort();
    });
    HttpClient client;
    for (int round = 0; round < 5; ++round) {
        // Leaves an idle connection that the next call could reuse.
        BOOST_TEST(performCall(client, { .url = url(**server) }).response.status == 200);
        const auto result = performCall(
            client,
            { .method = "POST", .url = url(**server), .body = "book", .neverResend = true });
        BOOST_TEST((result.outcome == CallOutcome::Interrupted));
        BOOST_TEST(posts.load() == round + 1);
    }
}

BOOST_AUTO_TEST_CASE(slowReaderLimitsBufferedBytes)
{
    std::shared_ptr<ResponseWriter> writer;
    std::promise<void> arrived;
    std::atomic<int> drained { 0 };
    auto server = HttpServer::start({}, [&](HttpRequest, const auto &responseWriter) {
        writer = responseWriter;
        writer->subscribe(
            4096, [&] { ++drained; }, nullptr);
        writer->start(200, {});
        arrived.set_value();
    });
    HttpClient client;
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
    HttpClient client;
    std::promise<CallOutcome> ended;
    std::promise<void> arrived;
    {
        auto server
            = HttpServer::start({}, [&](HttpRequest, const auto &) { arrived.set_value(); });
        client.start({ .url = url(**server) },
                     { .onEnd = [&](CallOutcome outcome) { ended.set_value(outcome); } });
        arrived.get_future().wait();
    }
    BOOST_TEST((ended.get_future().get() == CallOutcome::Interrupted));
}

BOOST_AUTO_TEST_SUITE_END()
