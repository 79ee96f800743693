#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <ostream>
#include <string>
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
    };
}

/// More than any limit together with the buffers of the system.
constexpr std::size_t EnoughBytes = 64 * 1024 * 1024;
/// What the system may have in its buffers.
constexpr std::size_t SystemBufferBytes = 12 * 1024 * 1024;

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

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessResponseTest)

BOOST_DATA_TEST_CASE(responseWithoutEndIsKeptInMemory, endlessResponses(), response)
{
    constexpr std::size_t MaximumBodyBytes = 16 * 1024 * 1024;
    EndlessServer server(response);
    HttpClient client;
    const auto result = performCall(client, { .url = server.url(), .ownConnection = true });
    BOOST_TEST((result.outcome == CallOutcome::Interrupted));
    BOOST_TEST(result.response.body.size() <= MaximumBodyBytes);
    BOOST_TEST(server.written() <= MaximumBodyBytes + SystemBufferBytes);
}

BOOST_AUTO_TEST_CASE(responsesOfSeveralServersTakeMoreMemoryTogetherThanOneMay)
{
    constexpr std::size_t Budget = 4 * 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(Budget);
    auto client = std::make_unique<HttpClient>();
    std::atomic<std::size_t> kept { 0 };
    std::array<std::promise<CallOutcome>, 3> ended;
    std::vector<std::unique_ptr<EndlessServer>> servers;
    for (std::promise<CallOutcome> &end : ended) {
        servers.push_back(std::make_unique<EndlessServer>(
            EndlessResponse { "body", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n",
                              std::string(16384, 'x') }));
        client->start(
            { .url = servers.back()->url(), .responseMemory = memory, .ownConnection = true },
            { .onData =
                  [&](std::string_view bytes) {
                      kept += bytes.size();
                      return true;
                  },
              .onEnd = [&](CallOutcome outcome) { end.set_value(outcome); } });
    }
    for (std::promise<CallOutcome> &end : ended) {
        BOOST_TEST((end.get_future().get() == CallOutcome::Interrupted));
    }
    client.reset();
    BOOST_TEST(kept <= ended.size() * Budget);
    BOOST_TEST(memory->used() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
