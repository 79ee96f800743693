#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <ostream>
#include <sstream>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/ControlClient.h"
#include "Gateway/RelayClient.h"
#include "Gateway/StoreClient.h"
#include "UnboundedInput.h"
#include "platform/CacheEvents.h"
#include "platform/Orders.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;
namespace asio = boost::asio;

namespace {

/// Which call's response is read, on the control thread.
enum class CallReader : std::uint8_t {
    Report,
    Order,
    CacheEvents,
    StoreList,
    StoreWatch,
    StoreWrite,
    /// Objects that another node passes on.
    RelayPage,
};

std::ostream &operator<<(std::ostream &stream, CallReader reader)
{
    constexpr std::array<const char *, 7> Names { "report",     "order",       "cache events",
                                                  "store list", "store watch", "store write",
                                                  "relay page" };
    return stream << Names[static_cast<std::size_t>(reader)];
}

constexpr milliseconds CallLimit { 1000 };
/// Of a call whose response may be large.
constexpr milliseconds TransferLimit { 30'000 };
/// Time after which its server gives up.
constexpr milliseconds MaxSendTime { 3000 };
constexpr std::array<unsigned, 2> Statuses { 200, 500 };

bool mayBeLarge(CallReader reader)
{
    return reader == CallReader::StoreList || reader == CallReader::StoreWatch
        || reader == CallReader::RelayPage || reader == CallReader::CacheEvents;
}

std::size_t maxBody(CallReader reader)
{
    const bool fromServer = reader == CallReader::Report || reader == CallReader::Order
        || reader == CallReader::CacheEvents;
    return fromServer ? MaxServerResponseBytes : MaxObjectResponseBytes;
}

/// Makes a call; returns true if it succeeded.
asio::awaitable<bool> makeCall(asio::io_context &context, CallReader reader, std::string address)
{
    constexpr platform::ObjectKind Kind = platform::ObjectKind::Nodes;
    GatewayMetrics metrics;
    switch (reader) {
    case CallReader::Report: {
        ControlClient client(context, address, ConnectionUse::OnePerCall, MaxServerResponseBytes);
        const auto reply = co_await client.call(platform::reportCall(), {}, CallLimit);
        co_return reply.has_value() && platform::readReport(reply->body).has_value();
    }
    case CallReader::Order: {
        ControlClient client(context, address, ConnectionUse::OnePerCall, MaxServerResponseBytes);
        const platform::LoadOrder order { .server = ServerId("e1"), .model = ModelId("m") };
        // The status is the response.
        const auto reply = co_await client.call(platform::orderCall(order), {}, CallLimit);
        co_return reply.has_value();
    }
    case CallReader::CacheEvents: {
        ControlClient client(context, address, ConnectionUse::Kept, MaxServerResponseBytes);
        const auto reply
            = co_await client.call(platform::cacheEventsCall(0), {}, readLimits(CallLimit));
        co_return reply.has_value() && platform::readCacheEvents(reply->body).has_value();
    }
    case CallReader::StoreList: {
        StoreClient client(context, address, metrics);
        const auto reply
            = co_await client.call(platform::listCall(Kind, ""), readLimits(CallLimit));
        co_return reply.has_value() && platform::readPage(reply->body).has_value();
    }
    case CallReader::StoreWatch: {
        StoreClient client(context, address, metrics);
        const auto reply = co_await client.call(platform::watchCall(Kind, 1, milliseconds(100)),
                                                readLimits(CallLimit));
        co_return reply.has_value() && platform::readChanges(reply->body).has_value();
    }
    case CallReader::StoreWrite: {
        StoreClient client(context, address, metrics);
        const auto reply
            = co_await client.call(platform::createCall(Kind, "a", Json::Value("b")), CallLimit);
        co_return reply.has_value() && platform::readObject(reply->body).has_value();
    }
    case CallReader::RelayPage: {
        RelayClient client(context, address);
        TransferProgress progress;
        const auto reply = co_await client.query({ .kind = Kind, .wait = CallLimit }, &progress);
        co_return reply.has_value();
    }
    }
    co_return true;
}

/// A server that never ends its responses.
class UnboundedServer
{
public:
    UnboundedServer(const UnboundedInput &input, unsigned status, milliseconds limit, Pace pace)
        : server_([this, input, status, limit, pace](ScriptedConnection &connection) {
            ReceivedRequest request;
            if (connection.read(request) && !begun_.exchange(true)) {
                sent_ = sendUnbounded(
                    connection.handle(), input,
                    { .startLine = "HTTP/1.1 " + std::to_string(status) + " X\r\n", .fields = {} },
                    pace, std::min(limit + 2 * EndAllowance, MaxSendTime));
                ended_ = true;
            }
        })
    { }

    [[nodiscard]] std::string address() const { return server_.address(); }

    Sent awaitSent()
    {
        for (int tries = 0; tries < 500 && !ended_; ++tries) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return ended_ ? sent_ : Sent();
    }

private:
    Sent sent_;
    std::atomic<bool> begun_ { false };
    std::atomic<bool> ended_ { false };
    ScriptedServer server_;
};

void checkCall(CallReader reader, const UnboundedInput &input, Pace pace)
{
    const milliseconds limit = mayBeLarge(reader) ? TransferLimit : CallLimit;
    const std::size_t most = input.kept == Kept::Head
        ? MaxHeadBytes
        : MaxHeadBytes + maxBody(reader) * input.bytesPerByte;
    asio::io_context context { 1 };
    std::vector<std::unique_ptr<UnboundedServer>> servers;
    std::array<bool, Statuses.size()> succeeded {};
    for (std::size_t index = 0; index < Statuses.size(); ++index) {
        servers.push_back(std::make_unique<UnboundedServer>(input, Statuses[index], limit, pace));
        asio::co_spawn(
            context,
            [&, index]() -> asio::awaitable<void> {
                succeeded[index] = co_await makeCall(context, reader, servers[index]->address());
            },
            asio::detached);
    }
    context.run();
    for (std::size_t index = 0; index < Statuses.size(); ++index) {
        const Sent sent = servers[index]->awaitSent();
        const bool counted = input.kept != Kept::Nothing;
        BOOST_CHECK_MESSAGE(!counted || sent.bytes <= most + SystemBufferBytes,
                            "(a) " << reader << ", status " << Statuses[index] << ", " << input
                                   << ": " << sent.bytes << " bytes were taken, not at most "
                                   << most << " and the system's");
        const bool mayGoOn = sent.time >= MaxSendTime && limit > MaxSendTime;
        BOOST_CHECK_MESSAGE(!counted || mayGoOn
                                || (sent.refused && sent.time <= limit + EndAllowance),
                            "(a) " << reader << ", status " << Statuses[index] << ", " << input
                                   << ": not ended in time, but " << sent.time.count() << " ms");
        // Any complete response to an order is one.
        const bool complete
            = reader == CallReader::Order && !endsHeader(input) && input.begin.empty();
        BOOST_CHECK_MESSAGE(!succeeded[index] || complete,
                            "(b) " << reader << ", status " << Statuses[index] << ", " << input
                                   << ": the call succeeded");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnboundedCallTest)

/// Each form of a response times each call of the control thread. These readers are used without
/// a node; what others get meanwhile is in controlCallsOfANodeAreGivenUp. The time limit of a
/// response that may be large, half a minute, isn't waited for.
BOOST_DATA_TEST_CASE(readerTakesMoreThanItsLimit,
                     data::make({ CallReader::Report, CallReader::Order, CallReader::CacheEvents,
                                  CallReader::StoreList, CallReader::StoreWatch,
                                  CallReader::StoreWrite, CallReader::RelayPage })
                         * data::make(unboundedHeads() + unboundedChunks()
                                      + unboundedResponseParts() + unboundedJson()),
                     reader, input)
{
    checkCall(reader, input, Pace::Full);
}

/// All forms a few bytes at a time. Left out: calls whose responses may be large, which have half a
/// minute.
BOOST_DATA_TEST_CASE(slowResponsesOutlastTheLimit,
                     data::make({ CallReader::Report, CallReader::StoreWrite }), reader)
{
    const auto inputs
        = unboundedHeads() + unboundedChunks() + unboundedResponseParts() + unboundedJson();
    asio::io_context context { 1 };
    std::vector<std::unique_ptr<UnboundedServer>> servers;
    std::vector<char> succeeded(inputs.size());
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        servers.push_back(std::make_unique<UnboundedServer>(
            inputs[index], Statuses[index % Statuses.size()], CallLimit, Pace::FewBytes));
        asio::co_spawn(
            context,
            [&, index]() -> asio::awaitable<void> {
                const bool done = co_await makeCall(context, reader, servers[index]->address());
                succeeded[index] = done ? 1 : 0;
            },
            asio::detached);
    }
    context.run();
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        const Sent sent = servers[index]->awaitSent();
        BOOST_CHECK_MESSAGE(sent.refused && sent.time <= CallLimit + EndAllowance,
                            "(a) " << reader << ", slowly, " << inputs[index]
                                   << ": not ended in time, but " << sent.time.count() << " ms");
        BOOST_CHECK_MESSAGE(succeeded[index] == 0,
                            "(b) " << reader << ", slowly, " << inputs[index]
                                   << ": the call succeeded");
    }
}

namespace {

/// A store in front of the fixture's that never ends each second response about servers.
class UnboundedStore
{
public:
    UnboundedStore(const std::string &address, std::vector<UnboundedInput> inputs,
                   const std::atomic<bool> &faulty)
        : address_(address)
        , inputs_(std::move(inputs))
        , faulty_(faulty)
        , server_([this](ScriptedConnection &connection) { serve(connection); })
    { }

    [[nodiscard]] std::string address() const { return server_.address(); }
    std::vector<Sent> sent()
    {
        const std::lock_guard lock(mutex_);
        return sent_;
    }

private:
    void serve(ScriptedConnection &connection)
    {
        asio::io_context context;
        asio::ip::tcp::socket store(context);
        const auto colon = address_.find(':');
        store.connect({ asio::ip::make_address(address_.substr(0, colon)),
                        static_cast<std::uint16_t>(std::stoi(address_.substr(colon + 1))) });
        boost::beast::flat_buffer buffer;
        ReceivedRequest request;
        while (connection.read(request)) {
            const bool aboutServers = request.target().starts_with("/-/objects/servers");
            if (aboutServers && faulty_ && ++calls_ % 2 == 0) {
                const unsigned call = calls_ / 2;
                const Sent sent = sendUnbounded(
                    connection.handle(), inputs_[call % inputs_.size()],
                    { .startLine = call % 3 == 0 ? "HTTP/1.1 500 X\r\n" : "HTTP/1.1 200 X\r\n",
                      .fields = {} },
                    Pace::Full, TransferLimit);
                const std::lock_guard lock(mutex_);
                sent_.push_back(inputs_[call % inputs_.size()].kept == Kept::Nothing ? Sent()
                                                                                     : sent);
                return;
            }
            boost::system::error_code error;
            boost::beast::http::write(store, request, error);
            boost::beast::http::response<boost::beast::http::string_body> response;
            boost::beast::http::read(store, buffer, response, error);
            if (error) {
                return;
            }
            std::ostringstream text;
            text << response;
            connection.write(text.str());
        }
    }

    std::string address_;
    std::vector<UnboundedInput> inputs_;
    const std::atomic<bool> &faulty_;
    std::atomic<unsigned> calls_ { 0 };
    std::mutex mutex_;
    std::vector<Sent> sent_;
    ScriptedServer server_;
};

} // namespace

// Cache events and reports of engines and lists of the store, in all forms one after the other.
BOOST_AUTO_TEST_CASE(controlCallsOfANodeAreGivenUp)
{
    constexpr milliseconds PlayTime { 12'000 };
    const auto inputs
        = unboundedHeads() + unboundedChunks() + unboundedResponseParts() + unboundedJson();
    std::atomic<bool> faulty { true };
    std::atomic<unsigned> calls { 0 };
    std::atomic<std::size_t> mostBytes { 0 };
    GatewayFixture fixture;
    UnboundedStore store(fixture.store.address(), inputs, faulty);
    fixture.settings.memoryMb = NodeMemoryMb;
    fixture.settings.storeAddress = store.address();
    fixture.addServer("s1", "plain",
                      [](ScriptedConnection &connection, const ReceivedRequest &request) {
                          connection.write(validResponse(request));
                          return true;
                      });
    for (const char *name : { "e1", "e2", "e3", "e4" }) {
        fixture.addServer(
            name, "engines", [&](ScriptedConnection &connection, const ReceivedRequest &request) {
                if (!request.target().starts_with("/-/")) {
                    connection.write(streamHead(request) + chunk(event(1)) + "0\r\n\r\n");
                    return true;
                }
                if (!faulty) {
                    connection.write(responseText(404, "", ""));
                    return true;
                }
                const unsigned call = calls++;
                const Sent sent = sendUnbounded(
                    connection.handle(), inputs[call % inputs.size()],
                    { .startLine = call % 3 == 0 ? "HTTP/1.1 500 X\r\n" : "HTTP/1.1 200 X\r\n",
                      .fields = {} },
                    Pace::Full, TransferLimit);
                const std::size_t bytes
                    = inputs[call % inputs.size()].kept == Kept::Nothing ? 0 : sent.bytes;
                for (std::size_t most = mostBytes;
                     bytes > most && !mostBytes.compare_exchange_weak(most, bytes);) { }
                return false;
            });
    }
    fixture.configure(1, { "k1" });
    fixture.setDesiredWeights(2);
    fixture.start();
    const auto until = std::chrono::steady_clock::now() + PlayTime;
    unsigned all = 0;
    unsigned served = 0;
    Json::Value server = fixture.store.spec("servers", "s1");
    while (std::chrono::steady_clock::now() < until) {
        const Answer plain = callGateway(fixture, "POST", "/other/a");
        served += plain.status == 200 && plain.complete ? 1 : 0;
        const Answer stream = callGateway(fixture, "POST", "/once/a");
        served += stream.status == 200 && stream.complete ? 1 : 0;
        all += 2;
        // Ends the watch.
        server["seq"] = all;
        fixture.store.put("servers", "s1", server);
        std::this_thread::sleep_for(milliseconds(20));
    }
    faulty = false;
    BOOST_CHECK_MESSAGE(served == all,
                        "(c) " << all - served << " of " << all << " callers weren't served");
    BOOST_CHECK_MESSAGE(calls >= inputs.size(), "only " << calls << " responses were begun");
    BOOST_CHECK_MESSAGE(store.sent().size() >= 10,
                        "only " << store.sent().size() << " responses of the store were begun");
    BOOST_CHECK_MESSAGE(mostBytes <= MaxServerResponseBytes * 6 + SystemBufferBytes,
                        "(a) " << mostBytes << " bytes were taken of a server's response");
    for (const Sent &sent : store.sent()) {
        BOOST_CHECK_MESSAGE(sent.bytes <= MaxObjectResponseBytes * 6 + SystemBufferBytes,
                            "(a) " << sent.bytes << " bytes were taken of the store's response");
    }
    checkAccountGivenBack(fixture);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
