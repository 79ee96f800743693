#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Endpoint.h"
#include "FreeAddress.h"
#include "Gateway/BootClock.h"
#include "Gateway/Listener.h"
#include "Gateway/RelayServer.h"
#include "Gateway/SocketOptions.h"
#include "Gateway/StatusServer.h"
#include "GatewayFixture.h"
#include "UnboundedInput.h"

namespace jacinthroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr platform::ObjectKind Kind = platform::ObjectKind::Nodes;
/// More than the system takes of a response that isn't read.
constexpr std::size_t PageBytes = 4 * 1024 * 1024;
constexpr std::size_t ObjectBytes = 900'000;
/// Time limit for writing a response that isn't read.
constexpr milliseconds WriteLimit { 6000 };

/// An address of a node that serves long responses, with the memory of a node of 32 MB.
class ServedAddress
{
public:
    ServedAddress()
        : address_(freeAddress())
        , acceptor_(context_)
        , relay_(context_, metrics_, memory)
    {
        BOOST_REQUIRE(
            !listenOn(acceptor_, address_, receiveBufferBytes(*memory, ConnectionRole::Caller)));
    }
    ~ServedAddress()
    {
        context_.stop();
        thread_.join();
    }
    ServedAddress(const ServedAddress &) = delete;
    ServedAddress &operator=(const ServedAddress &) = delete;

    void servePage()
    {
        asio::co_spawn(context_,
                       serveStatus(context_, acceptor_, memory, "/page",
                                   []() -> StatusPage {
                                       return { 200, std::string(PageBytes, 'x') };
                                   }),
                       asio::detached);
        start("/page");
    }

    void serveObjects()
    {
        ObjectTable table;
        platform::StoredObject object { .name = "node", .revision = 2 };
        object.spec = std::string(ObjectBytes, 'x');
        table[object.name] = object;
        log_.applyTable(table, 1000, {});
        log_.confirm(bootNow(), 1000);
        relay_.add(Kind, log_, {});
        asio::co_spawn(context_, relay_.serve(acceptor_), asio::detached);
        start(relayTarget(
            { .kind = Kind, .maxAge = std::chrono::seconds(60), .wait = milliseconds(100) }));
    }

    /// Opens a connection with a small receive buffer and asks `requests` times.
    void ask(asio::ip::tcp::socket &socket, int requests) const
    {
        const auto endpoint = *parseEndpoint(address_);
        socket.open(endpoint.protocol());
        setReceiveBuffer(socket.native_handle(), 4096);
        socket.connect(endpoint);
        std::string text;
        for (int number = 0; number < requests; ++number) {
            text += "GET " + target_ + " HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        boost::system::error_code error;
        asio::write(socket, asio::buffer(text), error);
    }

    /// Returns the status and the size of a response that is read at once; 0 if it isn't complete.
    [[nodiscard]] std::pair<unsigned, std::size_t> read() const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect(*parseEndpoint(address_), error);
        asio::write(socket, asio::buffer("GET " + target_ + " HTTP/1.1\r\nHost: h\r\n\r\n"), error);
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(2 * PageBytes);
        http::read(socket, buffer, parser, error);
        return error ? std::pair(0U, std::size_t { 0 })
                     : std::pair(parser.get().result_int(), parser.get().body().size());
    }

    static constexpr std::size_t MemoryBytes = NodeAccountBytes;
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(MemoryBytes);

private:
    void start(std::string target)
    {
        target_ = std::move(target);
        thread_ = std::thread([this] { context_.run(); });
    }

    std::string address_;
    std::string target_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    GatewayMetrics metrics_;
    RelayLog log_ { { .kind = Kind, .source = 77 } };
    RelayServer relay_;
    std::thread thread_;
};

/// Asks on many connections that read nothing, and on another one that reads.
void checkUnreadResponses(ServedAddress &node, std::size_t responseBytes, int requests)
{
    constexpr std::size_t Connections = 300;
    MemoryWatch watch;
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t index = 0; index < Connections; ++index) {
        sockets.emplace_back(context);
        node.ask(sockets.back(), requests);
    }
    const auto began = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(milliseconds(1000));
    const std::size_t used = node.memory->used();
    BOOST_CHECK_MESSAGE(used >= responseBytes,
                        "the account holds " << used << " bytes beside unread responses of "
                                             << responseBytes);
    BOOST_TEST(used <= node.memory->limit(BodyKind::Control, 0));
    const auto [status, size] = node.read();
    BOOST_TEST(status == 200U);
    BOOST_TEST(size >= responseBytes);
    watch.check();
    while (std::chrono::steady_clock::now() - began < WriteLimit + EndAllowance) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    // A connection that TCP ended isn't closed for its peer.
    BOOST_TEST(node.memory->used() == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnreadResponseTest)

BOOST_AUTO_TEST_CASE(unreadPagesTakeMemoryOutsideTheAccount)
{
    ServedAddress node;
    node.servePage();
    checkUnreadResponses(node, PageBytes, 1);
}

BOOST_AUTO_TEST_CASE(unreadRelayResponsesTakeMemoryOutsideTheAccount)
{
    ServedAddress node;
    node.serveObjects();
    checkUnreadResponses(node, ObjectBytes, 8);
}

// Each byte that the peer takes starts the time of TCP anew.
BOOST_AUTO_TEST_CASE(pageThatIsReadSlowlyIsHeldWithoutEnd)
{
    ServedAddress node;
    node.servePage();
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    node.ask(socket, 1);
    socket.non_blocking(true);
    std::array<char, 4096> part {};
    boost::system::error_code error = asio::error::would_block;
    std::size_t read = 0;
    const auto began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < WriteLimit + EndAllowance) {
        read += socket.read_some(asio::buffer(part), error);
        std::this_thread::sleep_for(milliseconds(20));
    }
    BOOST_TEST(read < PageBytes);
    BOOST_TEST(hasReceivedClose(socket));
    BOOST_TEST(node.memory->used() < PageBytes);
}

// Events before callers that don't read were held twice once they were complete, in part outside
// of the account.
BOOST_AUTO_TEST_CASE(completeEventTakesMoreMemoryThanItsParts)
{
    constexpr std::size_t Streams = 10;
    constexpr std::size_t EventBytes = 250'000;
    constexpr int SegmentBytes = 536;
    GatewayFixture fixture;
    fixture.settings.memoryMb = 110;
    std::atomic<std::size_t> sent { 0 };
    std::atomic<bool> completes { false };
    std::atomic<bool> ended { false };
    fixture.addServer("e1", "engines", [&](ScriptedConnection &connection, const auto &request) {
        if (request.target().starts_with("/-/")) {
            connection.write(reportResponse(1, false, 0));
            return true;
        }
        connection.write(streamHead(request) + chunk(event(1))
                         + chunk("data: " + std::string(EventBytes, 'x')));
        ++sent;
        while (!completes) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        connection.write(chunk("\n\n"));
        while (!ended) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return false;
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t number = 0; number < Streams; ++number) {
        asio::ip::tcp::socket &socket = callers.emplace_back(fixture.context);
        socket.open(asio::ip::tcp::v4());
        setReceiveBuffer(socket.native_handle(), 4096);
        // The system's send buffer grows with the size of a segment.
        socket.set_option(
            asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(SegmentBytes));
        socket.connect(fixture.callerEndpoint());
        asio::write(socket,
                    asio::buffer("POST /once/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: e"
                                 + std::to_string(number)
                                 + "\r\nAuthorization: Bearer k1\r\nX-Model: m\r\n"
                                   "Content-Length: 1\r\n\r\nx"));
    }
    for (int tries = 0; tries < 500 && sent < Streams; ++tries) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    BOOST_REQUIRE(sent == Streams);
    std::this_thread::sleep_for(milliseconds(200));
    const double parts = fixture.heldBytes().value_or(0);
    BOOST_TEST(parts > Streams * EventBytes);
    completes = true;
    std::this_thread::sleep_for(milliseconds(200));
    const double complete = fixture.heldBytes().value_or(0);
    ended = true;
    BOOST_TEST(complete > Streams * EventBytes);
    BOOST_TEST(complete <= parts);
    fixture.dropsRequests = true;
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
