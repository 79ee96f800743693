#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cstddef>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <ostream>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Time.h"
#include "Http/HttpServer.h"

namespace jacinthroad {

namespace {

/// A request whose last part its caller repeats without end.
struct EndlessUpload
{
    const char *name;
    /// Sent once.
    std::string begin;
    /// Sent again and again.
    std::string rest;
    /// Bytes sent for each byte of a body.
    std::size_t bytesPerBodyByte = 1;
};

std::ostream &operator<<(std::ostream &stream, const EndlessUpload &upload)
{
    return stream << upload.name;
}

std::vector<EndlessUpload> endlessUploads()
{
    const std::string bytes(16384, 'x');
    const std::string line = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "start line", "POST /", bytes },
        { "empty lines", "", "\r\n" },
        { "header lines", line, "X-Line: value\r\n" },
        { "one header line", line + "X-Line: ", bytes },
        { "letters for the size of a chunk", chunked, std::string(16384, 'z') },
        { "zeros for the size of a chunk", chunked, std::string(16384, '0') },
        { "extension of a chunk", chunked + "5;a=", bytes },
        { "body of one chunk", chunked + "fffffff\r\n", bytes },
        { "body of chunks", chunked, "4000\r\n" + bytes + "\r\n" },
        { "body of chunks of one byte", chunked, "1\r\nx\r\n", 6 },
        { "trailers", chunked + "1\r\nx\r\n0\r\n", "X-Line: value\r\n" },
        { "one trailer", chunked + "1\r\nx\r\n0\r\nX-Line: ", bytes },
        { "body by length", line + "Content-Length: 4000000\r\n\r\n", bytes },
        { "body of a huge length", line + "Content-Length: 100000000000\r\n\r\n", bytes },
    };
}

/// More than any limit together with the buffers of the system.
constexpr std::size_t EnoughBytes = 128 * 1024 * 1024;
/// What the system may have in its buffers.
constexpr std::size_t SystemBufferBytes = 12 * 1024 * 1024;
constexpr std::size_t MaximumBodyBytes = 1024 * 1024;
/// An oversized body is read up to this multiple of the limit.
constexpr std::size_t DiscardFactor = 8;

class Caller
{
public:
    explicit Caller(std::uint16_t port)
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        BOOST_TEST_REQUIRE(connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof(address))
                           == 0);
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;
    ~Caller() { close(socket_); }

    /// Returns false if the server has closed, or reads nothing for two seconds.
    [[nodiscard]] bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            pollfd ready { .fd = socket_, .events = POLLOUT, .revents = 0 };
            if (poll(&ready, 1, 2000) <= 0) {
                return false;
            }
            const ssize_t count
                = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count <= 0) {
                return false;
            }
            written_ += static_cast<std::size_t>(count);
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    /// Reads the status line of a response; empty if none arrives.
    [[nodiscard]] std::string readStatus()
    {
        pollfd ready { .fd = socket_, .events = POLLIN, .revents = 0 };
        std::array<char, 4096> bytes {};
        if (poll(&ready, 1, 10000) <= 0) {
            return {};
        }
        const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
        const std::string_view text(bytes.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        return std::string(text.substr(0, text.find('\r')));
    }
    [[nodiscard]] std::size_t written() const { return written_; }

private:
    int socket_;
    std::size_t written_ = 0;
};

/// Waits until the account is empty. Returns what it holds at the end.
std::size_t usedAtLast(const MemoryBudget &memory)
{
    for (int tries = 0; tries < 500 && memory.used() > 0; ++tries) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return memory.used();
}

std::string uploadOf(std::size_t bytes, const std::string &path = "/a")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes)
        + "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessUploadTest)

BOOST_DATA_TEST_CASE(uploadWithoutEndIsReadUntilItsCallerEnds, endlessUploads(), upload)
{
    constexpr std::size_t Budget = 4 * 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(Budget);
    auto server = HttpServer::start(
        { .maximumBodyBytes = MaximumBodyBytes }, memory,
        [](HttpRequest, const auto &writer) { writer->respond({ .status = 200 }); });
    BOOST_TEST_REQUIRE(server.has_value());
    std::string block;
    while (block.size() < 65536) {
        block += upload.rest;
    }
    std::size_t mostUsed = 0;
    {
        Caller caller((*server)->port());
        bool open = caller.write(upload.begin);
        while (open && caller.written() < EnoughBytes) {
            open = caller.write(block);
            mostUsed = std::max(mostUsed, memory->used());
        }
        BOOST_TEST(caller.written() <= upload.bytesPerBodyByte * DiscardFactor * MaximumBodyBytes
                       + SystemBufferBytes);
    }
    // A body may be held twice while it grows.
    BOOST_TEST(mostUsed <= 3 * MaximumBodyBytes);
    BOOST_TEST(usedAtLast(*memory) == 0U);
}

BOOST_AUTO_TEST_CASE(bodiesOfManyCallersTakeMoreMemoryTogetherThanAllMay)
{
    constexpr std::size_t Budget = 8 * 1024 * 1024;
    constexpr std::size_t Callers = 24;
    const auto memory = std::make_shared<MemoryBudget>(Budget);
    std::mutex mutex;
    std::vector<std::pair<HttpRequest, std::shared_ptr<ResponseWriter>>> held;
    auto server = HttpServer::start({ .maximumBodyBytes = MaximumBodyBytes }, memory,
                                    [&](HttpRequest request, const auto &writer) {
                                        const std::scoped_lock lock(mutex);
                                        held.emplace_back(std::move(request), writer);
                                    });
    BOOST_TEST_REQUIRE(server.has_value());
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t count = 0; count < Callers; ++count) {
        callers.push_back(std::make_unique<Caller>((*server)->port()));
        BOOST_TEST(callers.back()->write(uploadOf(MaximumBodyBytes)
                                         + std::string(MaximumBodyBytes - 1, 'x')));
    }
    for (const auto &caller : callers) {
        BOOST_TEST(caller->write("x"));
    }
    const auto heldCount = [&] {
        const std::scoped_lock lock(mutex);
        return held.size();
    };
    for (int tries = 0; tries < 1000 && heldCount() < Callers; ++tries) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST(heldCount() == Callers);
    std::size_t keptBytes = 0;
    std::size_t whole = 0;
    for (auto &[request, writer] : held) {
        const bool kept = request.bodyLoss == BodyLoss::None;
        BOOST_TEST(request.body.size() == (kept ? MaximumBodyBytes : 0U));
        keptBytes += request.body.size();
        whole += kept ? 1 : 0;
        writer->respond({ .status = kept ? 200 : 503 });
    }
    held.clear();
    BOOST_TEST(keptBytes <= Budget);
    BOOST_TEST(whole > 0U);
    BOOST_TEST(whole < Callers);
    std::size_t answered = 0;
    for (const auto &caller : callers) {
        answered += caller->readStatus().starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    BOOST_TEST(answered == whole);
    BOOST_TEST(usedAtLast(*memory) == 0U);
}

BOOST_AUTO_TEST_CASE(bodyOfACallerWithoutAKeyIsKept)
{
    const auto memory = std::make_shared<MemoryBudget>(std::size_t { 8 * 1024 * 1024 });
    std::atomic<bool> notWanted { false };
    auto server = HttpServer::start(
        { .maximumBodyBytes = MaximumBodyBytes,
          .wantsBody = [](const HttpRequest &request) { return request.path == "/wanted"; } },
        memory, [&](HttpRequest request, const auto &writer) {
            notWanted = request.bodyLoss == BodyLoss::NotWanted && request.body.empty();
            writer->respond({ .status = request.body.empty() ? 401 : 200 });
        });
    BOOST_TEST_REQUIRE(server.has_value());
    for (const std::string path : { "/wanted", "/other" }) {
        Caller caller((*server)->port());
        BOOST_TEST(caller.write(uploadOf(MaximumBodyBytes, path)
                                + std::string(MaximumBodyBytes - 1, 'x')));
        const bool wanted = path == "/wanted";
        for (int tries = 0; tries < 200 && wanted && memory->used() < MaximumBodyBytes; ++tries) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        BOOST_TEST((memory->used() >= MaximumBodyBytes) == wanted);
        BOOST_TEST(caller.write("x"));
        BOOST_TEST(caller.readStatus().starts_with(wanted ? "HTTP/1.1 200" : "HTTP/1.1 401"));
        BOOST_TEST(notWanted == !wanted);
        BOOST_TEST(usedAtLast(*memory) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(completeResponseWaitsForItsCallerOutsideOfTheAccount)
{
    constexpr std::size_t BodyBytes = 16 * 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(std::size_t { 64 * 1024 * 1024 });
    auto server = HttpServer::start({}, memory, [&](HttpRequest, const auto &writer) {
        auto reservation = std::make_shared<MemoryReservation>(memory, BodyKind::Response);
        BOOST_TEST(reservation->resize(BodyBytes));
        writer->respond({ .status = 200, .body = std::string(BodyBytes, 'x') },
                        std::move(reservation));
    });
    BOOST_TEST_REQUIRE(server.has_value());
    {
        Caller caller((*server)->port());
        BOOST_TEST(caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
        BOOST_TEST(caller.readStatus().starts_with("HTTP/1.1 200"));
        std::this_thread::sleep_for(milliseconds(200));
        BOOST_TEST(memory->used() >= BodyBytes);
    }
    BOOST_TEST(usedAtLast(*memory) == 0U);
}

BOOST_AUTO_TEST_CASE(streamsOfSlowCallersTakeMoreMemoryTogetherThanAllMay)
{
    constexpr std::size_t Budget = 4 * 1024 * 1024;
    constexpr std::size_t Callers = 16;
    constexpr std::size_t StreamBytes = 12 * 1024 * 1024;
    const auto memory = std::make_shared<MemoryBudget>(Budget);
    std::mutex mutex;
    std::vector<std::shared_ptr<ResponseWriter>> writers;
    auto server = HttpServer::start({}, memory, [&](HttpRequest, const auto &writer) {
        const std::scoped_lock lock(mutex);
        writers.push_back(writer);
    });
    BOOST_TEST_REQUIRE(server.has_value());
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t count = 0; count < Callers; ++count) {
        callers.push_back(std::make_unique<Caller>((*server)->port()));
        BOOST_TEST(callers.back()->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    for (int tries = 0; tries < 500; ++tries) {
        std::this_thread::sleep_for(milliseconds(10));
        const std::scoped_lock lock(mutex);
        if (writers.size() == Callers) {
            break;
        }
    }
    std::size_t buffered = 0;
    for (const auto &writer : writers) {
        writer->start(200, {});
        for (std::size_t sum = 0; sum < StreamBytes; sum += 65536) {
            static_cast<void>(writer->write(std::string(65536, 'x')));
        }
    }
    for (const auto &writer : writers) {
        buffered += writer->bufferedBytes();
    }
    BOOST_TEST(buffered <= Budget);
    BOOST_TEST(memory->used() <= Budget);
    callers.clear();
    BOOST_TEST(usedAtLast(*memory) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
