#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Gateway/ReadTurns.h"

namespace jacinthroad {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A connection that is read without end, and its other end, which can be written to.
struct Connection
{
    Connection(asio::io_context &context, const std::shared_ptr<ReadTurns> &turns)
        : socket(context)
        , sender(context)
        , reader(socket, turns)
    {
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        sender.connect(acceptor.local_endpoint());
        acceptor.accept(socket);
    }

    /// Writes as much as the system takes.
    void fill()
    {
        static const std::vector<char> block(65'536, 'x');
        sender.non_blocking(true);
        error_code error;
        while (!error) {
            sender.write_some(asio::buffer(block), error);
        }
    }

    void readOn()
    {
        reader.async_read_some(asio::buffer(bytes), [this](error_code error, std::size_t size) {
            end = error;
            ++reads;
            received += size;
            if (!error) {
                onRead();
                readOn();
            }
        });
    }

    tcp::socket socket;
    tcp::socket sender;
    PacedSocket reader;
    std::array<char, 16'384> bytes {};
    int reads = 0;
    std::size_t received = 0;
    error_code end;
    std::function<void()> onRead = [] {};
};

struct Fixture
{
    Connection &add()
    {
        connections.push_back(std::make_unique<Connection>(context, turns));
        return *connections.back();
    }
    /// Lets a connection exceed its allowance.
    Connection &addExceeding()
    {
        Connection &connection = add();
        connection.onRead = [&connection] { connection.fill(); };
        connection.fill();
        connection.readOn();
        letWait(connection);
        return connection;
    }
    void letWait(Connection &connection)
    {
        while (!connection.reader.waits()) {
            connection.fill();
            context.poll_one();
        }
    }
    [[nodiscard]] int reads() const
    {
        int sum = 0;
        for (const auto &connection : connections) {
            sum += connection->reads;
        }
        return sum;
    }

    asio::io_context context { 1 };
    std::shared_ptr<ReadTurns> turns = std::make_shared<ReadTurns>(context);
    std::vector<std::unique_ptr<Connection>> connections;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReadTurnsTest, Fixture)

// Each step of a request waited for a read of each stream that a faulty server sent without end.
BOOST_AUTO_TEST_CASE(streamsWithoutEndDelayRequestsOfOthers)
{
    constexpr int Streams = 100;
    constexpr int Steps = 50;
    for (int number = 0; number < Streams; ++number) {
        addExceeding();
    }
    const int before = reads();
    int steps = 0;
    std::function<void()> step = [&] {
        if (++steps < Steps) {
            asio::post(context, step);
        }
    };
    asio::post(context, step);
    while (steps < Steps) {
        context.run_one();
    }
    // One read each time, and those that were granted before.
    BOOST_TEST(reads() - before <= Steps + 2);
    BOOST_TEST(reads() - before > Steps / 2);
}

BOOST_AUTO_TEST_CASE(connectionThatUsedLeastIsFirst)
{
    Connection &flood = addExceeding();
    for (int number = 0; number < 100; ++number) {
        flood.fill();
        context.poll_one();
    }
    Connection &other = addExceeding();
    const int before = flood.reads;
    const int read = other.reads;
    while (other.reads == read) {
        context.run_one();
    }
    // The flood's turn may have been granted before.
    BOOST_TEST(flood.reads <= before + 1);
}

BOOST_AUTO_TEST_CASE(readWithinTheAllowanceDoesNotWait)
{
    Connection &connection = add();
    asio::write(connection.sender, asio::buffer("event", 5));
    connection.readOn();
    BOOST_TEST(!connection.reader.waits());
    while (connection.received < 5) {
        context.run_one();
    }
    BOOST_TEST(!connection.reader.waits());
    BOOST_TEST(!connection.reader.filledBuffer());
}

BOOST_AUTO_TEST_CASE(allIsReadOnceNothingElseWaits)
{
    Connection &first = addExceeding();
    Connection &second = addExceeding();
    const std::size_t least = first.received + 1'000'000;
    while (first.received < least || second.received < least) {
        first.fill();
        second.fill();
        context.run_one();
    }
}

BOOST_AUTO_TEST_CASE(waitIsCancelled)
{
    Connection &connection = addExceeding();
    connection.reader.cancelWait();
    BOOST_TEST(!connection.reader.waits());
    while (!connection.end) {
        context.run_one();
    }
    BOOST_TEST((connection.end == asio::error::operation_aborted));
    BOOST_TEST(connection.socket.is_open());
}

BOOST_AUTO_TEST_CASE(closedConnectionEndsItsRead)
{
    Connection &connection = addExceeding();
    error_code ignored;
    connection.socket.close(ignored);
    while (!connection.end) {
        context.run_one();
    }
    BOOST_TEST(connection.end.failed());
}

BOOST_AUTO_TEST_CASE(othersGetTheirTurnsOnceAWaitHasEnded)
{
    Connection &ended = addExceeding();
    Connection &other = addExceeding();
    letWait(ended);
    ended.reader.cancelWait();
    while (!ended.end) {
        context.run_one();
    }
    connections.erase(connections.begin());
    const std::size_t before = other.received;
    while (other.received == before) {
        other.fill();
        context.run_one();
    }
    BOOST_TEST(other.received > before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
