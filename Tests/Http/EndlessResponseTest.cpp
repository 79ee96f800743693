#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <ostream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Http/HttpClient.h"

namespace jacinthroad {

namespace {

/// A response whose last part its server repeats without end.
struct EndlessResponse
{
    const char *name;
    /// Sent once.
    std::string begin;
    /// Sent again and again.
    std::string rest;
};

std::ostream &operator<<(std::ostream &stream, const EndlessResponse &response)
{
    return stream << response.name;
}

std::vector<EndlessResponse> endlessResponses()
{
    const std::string bytes(16384, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        { "header lines", "HTTP/1.1 200 OK\r\n", "X-Line: value\r\n" },
        { "one header line", "HTTP/1.1 200 OK\r\nX-Line: ", bytes },
        { "no protocol", "", bytes },
        { "body by length", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", bytes },
        { "body by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "4000\r\n" + bytes + "\r\n" },
        { "body of one chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
          bytes },
        { "body to the close", "HTTP/1.1 200 OK\r\n\r\n", bytes },
        { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
          "X-Line: value\r\n" },
        { "interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n" },
        { "start line", "HTTP/1.1 200 ", bytes },
        { "lines without a name", "HTTP/1.1 200 OK\r\n", "x\r\n" },
        { "one trailer", chunked + "1\r\nx\r\n0\r\nX-Line: ", bytes },
        { "letters for the size of a chunk", chunked, std::string(16384, 'z') },
        { "zeros for the size of a chunk", chunked, std::string(16384, '0') },
        { "digits for the size of a chunk", chunked, std::string(16384, '1') },
        { "extension of a chunk", chunked + "5;a=", bytes },
        { "extensions of a chunk", chunked + "5", ";a=x" },
        { "extension of the last chunk", chunked + "1\r\nx\r\n0;a=", bytes },
        { "spaces for the end of a chunk", chunked + "1\r\nx", std::string(16384, ' ') },
        { "body of a chunk of the largest size", chunked + "7fffffffffffffff\r\n", bytes },
    };
}

std::vector<EndlessResponse> endlessErrors()
{
    std::vector<EndlessResponse> responses = endlessResponses();
    for (EndlessResponse &response : responses) {
        if (const auto status = response.begin.find("200 OK"); status != std::string::npos) {
            response.begin.replace(status, 6, "500 No");
        }
    }
    return responses;
}

/// More than any limit together with the buffers of the system.
constexpr std::size_t EnoughBytes = 64 * 1024 * 1024;
/// What the system may have in its buffers.
constexpr std::size_t SystemBufferBytes = 12 * 1024 * 1024;

/// What is received between two bytes of a body, or behind its last.
std::vector<EndlessResponse> endlessFraming()
{
    std::vector<EndlessResponse> responses = endlessResponses();
    std::erase_if(responses, [](const EndlessResponse &response) {
        return std::string_view(response.name).starts_with("body");
    });
    return responses;
}

/// The account of a client that has room for one response of the largest size.
constexpr std::size_t MemoryBytes = 64 * 1024 * 1024;

/// Writes a response without end to each caller, until the caller closes its connection or
/// EnoughBytes are written.
class EndlessServer
{
public:
    explicit EndlessServer(EndlessResponse response)
        : response_(std::move(response))
        , listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        socklen_t size = sizeof(address);
        bind(listener_, reinterpret_cast<sockaddr *>(&address), size);
        listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        url_ = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] {
            const int connection = accept(listener_, nullptr, nullptr);
            std::array<char, 4096> bytes {};
            static_cast<void>(!read(connection, bytes.data(), bytes.size()));
            writeEndlessly(connection);
            close(connection);
        });
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;
    ~EndlessServer()
    {
        thread_.join();
        close(listener_);
    }

    [[nodiscard]] const std::string &url() const { return url_; }
    /// The bytes written, once the connection has ended.
    [[nodiscard]] std::size_t written() { return written_.get_future().get(); }

private:
    void writeEndlessly(int connection)
    {
        std::string block;
        while (block.size() < 65536) {
            block += response_.rest;
        }
        std::size_t sum = 0;
        const auto write = [&](const std::string &bytes) {
            const ssize_t count = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            sum += count > 0 ? static_cast<std::size_t>(count) : 0;
            return count >= 0;
        };
        bool open = write(response_.begin);
        while (open && sum < EnoughBytes) {
            open = write(block);
        }
        written_.set_value(sum);
    }

    EndlessResponse response_;
    int listener_;
    std::string url_;
    std::promise<std::size_t> written_;
    std::thread thread_;
};

/// Writes the begin of a response to a caller, and nothing more until it is destroyed.
class StoppedServer
{
public:
    explicit StoppedServer(std::string begin)
        : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        socklen_t size = sizeof(address);
        bind(listener_, reinterpret_cast<sockaddr *>(&address), size);
        listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        url_ = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this, begin = std::move(begin)] {
            connection_ = accept(listener_, nullptr, nullptr);
            static_cast<void>(send(connection_, begin.data(), begin.size(), MSG_NOSIGNAL));
        });
    }
    StoppedServer(const StoppedServer &) = delete;
    StoppedServer &operator=(const StoppedServer &) = delete;
    ~StoppedServer()
    {
        // Ends the wait for a caller that never came.
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(connection_);
        close(listener_);
    }

    [[nodiscard]] const std::string &url() const { return url_; }

private:
    int listener_;
    int connection_ = -1;
    std::string url_;
    std::thread thread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessResponseTest)

BOOST_DATA_TEST_CASE(responseWithoutEndIsKeptInMemory,
                     boost::unit_test::data::make(endlessResponses())
                         + boost::unit_test::data::make(endlessErrors()),
                     response)
{
    constexpr std::size_t MaximumBodyBytes = 16 * 1024 * 1024;
    EndlessServer server(response);
    const auto memory = std::make_shared<MemoryBudget>(MemoryBytes);
    HttpClient client(memory);
    const auto result = performCall(client, { .url = server.url(), .ownConnection = true });
    BOOST_TEST((result.outcome == CallOutcome::Interrupted));
    BOOST_TEST(result.response.body.size() <= MaximumBodyBytes);
    BOOST_TEST(server.written() <= MaximumBodyBytes + SystemBufferBytes);
    BOOST_TEST(memory->used() == 0U);
}

BOOST_DATA_TEST_CASE(responseToAReceiverThatKeepsNothingIsReadUntilItsServerEnds, endlessFraming(),
                     response)
{
    EndlessServer server(response);
    const auto memory = std::make_shared<MemoryBudget>(MemoryBytes);
    HttpClient client(memory);
    std::promise<CallOutcome> ended;
    client.start({ .url = server.url(), .ownConnection = true },
                 { .onEnd = [&](CallOutcome outcome) { ended.set_value(outcome); } });
    BOOST_TEST((ended.get_future().get() == CallOutcome::Interrupted));
    BOOST_TEST(server.written() <= SystemBufferBytes);
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_CASE(responseOfOneByteChunksIsKeptBeyondItsLimit)
{
    constexpr std::size_t MaximumBodyBytes = 1024 * 1024;
    constexpr std::size_t BytesPerChunk = 6;
    EndlessServer server(EndlessResponse { "chunks of one byte",
                                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                           "1\r\nx\r\n" });
    const auto memory = std::make_shared<MemoryBudget>(MemoryBytes);
    HttpClient client(memory);
    std::promise<CallOutcome> ended;
    std::atomic<std::size_t> kept { 0 };
    client.collect({ .url = server.url(), .ownConnection = true }, MaximumBodyBytes,
                   [&](CallOutcome outcome, CollectedResponse collected) {
                       kept = collected.response.body.size();
                       collected.memory.reset();
                       ended.set_value(outcome);
                   });
    BOOST_TEST((ended.get_future().get() == CallOutcome::Interrupted));
    BOOST_TEST(kept <= MaximumBodyBytes);
    BOOST_TEST(server.written() <= BytesPerChunk * MaximumBodyBytes + SystemBufferBytes);
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_CASE(headersOfManyServersTakeMoreMemoryTogetherThanAllMay)
{
    constexpr std::size_t Servers = 32;
    constexpr std::size_t Budget = 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(Budget);
    HttpClient client(memory);
    std::vector<std::unique_ptr<StoppedServer>> servers;
    std::array<std::promise<CallOutcome>, Servers> ended;
    std::string header = "HTTP/1.1 200 OK\r\n";
    while (header.size() < 16 * 1024) {
        header += "a:b\r\n";
    }
    for (std::promise<CallOutcome> &end : ended) {
        servers.push_back(std::make_unique<StoppedServer>(header));
        client.start({ .url = servers.back()->url(),
                       .totalTimeout = std::chrono::seconds(2),
                       .ownConnection = true },
                     { .onEnd = [&](CallOutcome outcome) { end.set_value(outcome); } });
    }
    std::size_t refused = 0;
    for (std::promise<CallOutcome> &end : ended) {
        const CallOutcome outcome = end.get_future().get();
        refused += outcome == CallOutcome::Interrupted || outcome == CallOutcome::NotSent ? 1 : 0;
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_CASE(responsesOfSeveralServersTakeMoreMemoryTogetherThanOneMay)
{
    constexpr std::size_t Budget = 4 * 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(Budget);
    auto client = std::make_unique<HttpClient>(memory);
    std::atomic<std::size_t> kept { 0 };
    std::atomic<std::size_t> mostUsed { 0 };
    std::array<std::promise<CallOutcome>, 3> ended;
    std::vector<std::unique_ptr<EndlessServer>> servers;
    for (std::promise<CallOutcome> &end : ended) {
        servers.push_back(std::make_unique<EndlessServer>(
            EndlessResponse { "body", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n",
                              std::string(16384, 'x') }));
        client->collect({ .url = servers.back()->url(), .ownConnection = true }, EnoughBytes,
                        [&](CallOutcome outcome, const CollectedResponse &collected) {
                            kept += collected.response.body.size();
                            mostUsed = std::max(mostUsed.load(), memory->used());
                            end.set_value(outcome);
                        });
    }
    for (std::promise<CallOutcome> &end : ended) {
        BOOST_TEST((end.get_future().get() == CallOutcome::Interrupted));
    }
    client.reset();
    BOOST_TEST(kept <= ended.size() * Budget);
    BOOST_TEST(mostUsed <= Budget);
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
