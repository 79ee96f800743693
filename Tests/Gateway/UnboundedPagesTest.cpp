#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/MemoryBudget.h"
#include "Gateway/StoreSync.h"
#include "UnboundedInput.h"

namespace jacinthroad {

namespace data = boost::unit_test::data;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// How messages go on that are whole each, and say that more follow.
enum class Continuation : std::uint8_t {
    /// Each has other names and a later position.
    Advancing,
    /// Each second one has the names and the position of the one before the last.
    Returning,
    /// All have the same.
    Standing,
};

std::ostream &operator<<(std::ostream &stream, Continuation continuation)
{
    constexpr std::array<const char *, 3> Names { "advancing", "returning", "standing" };
    return stream << Names[static_cast<std::size_t>(continuation)];
}

constexpr const char *Kind = "servers";
constexpr std::size_t SpecBytes = 2000;
/// What a list or a transfer may take in all.
constexpr std::size_t MaxPagesBytes = std::size_t { 16 } * 1024 * 1024;
constexpr std::size_t LargeAccountBytes = 73'000'000;
/// Limit of quick pages; the limit of slow ones, two minutes, isn't waited for.
constexpr std::chrono::seconds GiveUpLimit { 30 };

/// A message's place in the sequence that its names and position are those of.
std::uint64_t placeOf(std::uint64_t message, Continuation continuation)
{
    switch (continuation) {
    case Continuation::Advancing:
        return message;
    case Continuation::Returning:
        return message % 2;
    case Continuation::Standing:
        break;
    }
    return 0;
}

std::string nameOf(std::uint64_t place, std::size_t index)
{
    constexpr std::uint64_t FirstPlace = 10'000'000;
    constexpr std::size_t FirstIndex = 1000;
    return "s" + std::to_string(FirstPlace + place) + "-" + std::to_string(FirstIndex + index);
}

/// What a sender of pages without end got rid of.
struct Pages
{
    std::atomic<bool> endless { false };
    std::atomic<std::uint64_t> messages { 0 };
    /// Bytes of this list or transfer, and the most of any.
    std::atomic<std::size_t> bytes { 0 };
    std::atomic<std::size_t> mostBytes { 0 };
    /// Number of lists or transfers that were begun.
    std::atomic<int> begun { 0 };

    void begin()
    {
        ++begun;
        messages = 0;
        bytes = 0;
    }
    void add(std::size_t size)
    {
        ++messages;
        bytes += size;
        mostBytes = std::max(mostBytes.load(), bytes.load());
    }
};

/// A store with one object, whose lists have no end while `pages.endless`.
class PagingStore
{
public:
    PagingStore(Pages &pages, Continuation continuation, std::size_t objects)
        : pages_(pages)
        , continuation_(continuation)
        , objects_(objects)
        , server_([this](ScriptedConnection &connection) { serve(connection); })
    { }

    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    void serve(ScriptedConnection &connection)
    {
        ReceivedRequest request;
        while (connection.read(request)) {
            const std::string target(request.target());
            if (target.find("watch=") != std::string::npos) {
                std::this_thread::sleep_for(milliseconds(20));
                connection.write(pages_.endless
                                     ? responseText(410, "", "{}")
                                     : responseText(200, "", R"({"events":[],"currentRev":9})"));
                continue;
            }
            if (!pages_.endless) {
                connection.write(responseText(
                    200, "",
                    R"({"items":[{"metadata":{"name":"a","revision":1},"spec":{}}],"currentRev":9})"));
                continue;
            }
            if (target.find("after=") == std::string::npos) {
                pages_.begin();
            }
            const std::string response = responseText(200, "", page());
            pages_.add(response.size());
            if (pages_.bytes > EnoughBytes) {
                return;
            }
            connection.write(response);
        }
    }

    [[nodiscard]] std::string page() const
    {
        const std::uint64_t place = placeOf(pages_.messages, continuation_);
        std::string body = R"({"hasMore":true,"currentRev":9,"items":[)";
        for (std::size_t index = 0; index < objects_; ++index) {
            body += (index == 0 ? R"({"metadata":{"name":")" : R"(,{"metadata":{"name":")")
                + nameOf(place, index) + R"(","revision":1},"spec":")" + std::string(SpecBytes, 'x')
                + R"("})";
        }
        return body + "]}";
    }

    Pages &pages_;
    Continuation continuation_;
    std::size_t objects_;
    ScriptedServer server_;
};

/// A node whose transfers of objects have no end.
class PagingNode
{
public:
    PagingNode(Pages &pages, Continuation continuation, std::size_t objects)
        : pages_(pages)
        , continuation_(continuation)
        , objects_(objects)
        , server_([this](ScriptedConnection &connection) { serve(connection); })
    { }

    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    void serve(ScriptedConnection &connection)
    {
        ReceivedRequest request;
        while (connection.read(request)) {
            const auto query = parseRelayTarget(std::string(request.target()));
            if (query->position.source == 0) {
                pages_.begin();
            }
            const std::string response = responseText(200, "", page());
            pages_.add(response.size());
            if (pages_.bytes > EnoughBytes) {
                return;
            }
            connection.write(response);
        }
    }

    [[nodiscard]] std::string page() const
    {
        const std::uint64_t place = placeOf(pages_.messages, continuation_);
        RelayPage page { .head = { .position = { .source = 7, .sequence = place + 1 },
                                   .content = pages_.messages == 0 ? RelayContent::All
                                                                   : RelayContent::Changes,
                                   .bytesLeft = SpecBytes,
                                   .events = {} },
                         .events = {} };
        std::vector<std::string> events;
        for (std::size_t index = 0; index < objects_; ++index) {
            platform::StoredObject object { .name = nameOf(place, index), .revision = 1 };
            object.spec = std::string(SpecBytes, 'x');
            events.push_back(encodeRelayedEvent(object, false));
        }
        page.events.assign(events.begin(), events.end());
        return encodeRelayPage(page);
    }

    Pages &pages_;
    Continuation continuation_;
    std::size_t objects_;
    ScriptedServer server_;
};

/// Returns two names of which the first one is the reader.
std::pair<std::string, std::string> readerAndFollower()
{
    ReaderChoice choice({ .self = "front-1", .kind = Kind });
    choice.setZone({ { .name = "front-1", .address = "" }, { .name = "front-2", .address = "" } });
    choice.setLive(std::vector<std::string> { "front-1", "front-2" });
    return choice.reader(Instant()).has_value() ? std::pair("front-2", "front-1")
                                                : std::pair("front-1", "front-2");
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnboundedPagesTest)

/// Lists of the store whose pages are whole, and go on without end: objects of a page times the
/// continuation times the memory of the node.
BOOST_DATA_TEST_CASE(listOfTheStoreGoesOnWithoutEnd,
                     data::make({ std::size_t { 1 }, std::size_t { 500 } })
                         * data::make({ Continuation::Advancing, Continuation::Returning,
                                        Continuation::Standing })
                         * data::make({ NodeAccountBytes, LargeAccountBytes }),
                     objects, continuation, accountBytes)
{
    const std::size_t pageBytes = objects * (SpecBytes + 100) + 1000;
    Pages pages;
    PagingStore store(pages, continuation, objects);
    const auto memory = std::make_shared<MemoryBudget>(accountBytes);
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, memory);
    ObjectTable table;
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Servers, .name = Kind, .watchWait = milliseconds(100) },
        [&](const ObjectTable &changed) { table = changed; }, [](BootInstant) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    context.run_for(milliseconds(200));
    BOOST_REQUIRE(table.contains("a"));
    pages.endless = true;
    std::size_t mostReserved = 0;
    const Instant began = std::chrono::steady_clock::now();
    while (pages.begun < 2 && std::chrono::steady_clock::now() - began < GiveUpLimit) {
        context.run_one_for(milliseconds(20));
        mostReserved = std::max(mostReserved, memory->used());
    }
    const std::size_t most = std::min(MaxPagesBytes, accountBytes + accountBytes / 8);
    BOOST_CHECK_MESSAGE(pages.begun >= 2,
                        "(a) the list was not given up within " << GiveUpLimit.count() << " s");
    BOOST_CHECK_MESSAGE(pages.mostBytes <= most + 2 * pageBytes,
                        "(a) " << pages.mostBytes << " bytes of a list were taken, not at most "
                               << most << " and two pages");
    BOOST_CHECK_MESSAGE(continuation == Continuation::Advancing || pages.mostBytes <= 3 * pageBytes,
                        "(a) " << pages.mostBytes << " bytes were taken, not three pages");
    // The values of JSON take more than its text.
    BOOST_CHECK_MESSAGE(continuation != Continuation::Advancing || mostReserved >= most / 2,
                        "(a) " << mostReserved
                               << " bytes were in the account at most, of a list of "
                               << pages.mostBytes);
    BOOST_CHECK_MESSAGE(table.size() == 1U && table.contains("a"),
                        "(b) the former copy isn't in use, but " << table.size() << " objects");
    pages.endless = false;
    context.run_for(milliseconds(1500));
    BOOST_CHECK_MESSAGE(memory->used() <= MaxHeadBytes,
                        "(d) " << memory->used() << " bytes are still held");
}

/// The same for transfers of another node; the objects come from the store then.
BOOST_DATA_TEST_CASE(transferOfAnotherNodeGoesOnWithoutEnd,
                     data::make({ std::size_t { 1 }, std::size_t { 500 } })
                         * data::make({ Continuation::Advancing, Continuation::Returning,
                                        Continuation::Standing })
                         * data::make({ NodeAccountBytes, LargeAccountBytes }),
                     objects, continuation, accountBytes)
{
    const std::size_t pageBytes = objects * (SpecBytes + 100) + 1000;
    Pages storePages;
    PagingStore store(storePages, continuation, objects);
    Pages pages;
    PagingNode reader(pages, continuation, objects);
    const auto memory = std::make_shared<MemoryBudget>(accountBytes);
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, memory);
    ObjectTable table;
    const auto [readerName, followerName] = readerAndFollower();
    StoreSync sync(
        context, client,
        { .kind = platform::ObjectKind::Servers,
          .name = Kind,
          .watchWait = milliseconds(100),
          .relayWait = milliseconds(100),
          .node = followerName },
        [&](const ObjectTable &changed) { table = changed; }, [](BootInstant) {});
    sync.readerChoice().setZone({ { .name = readerName, .address = reader.address() },
                                  { .name = followerName, .address = "127.0.0.1:1" } });
    sync.readerChoice().setLive(std::vector { readerName, followerName });
    asio::co_spawn(context, sync.run(), asio::detached);
    std::size_t mostReserved = 0;
    const Instant began = std::chrono::steady_clock::now();
    while (table.empty() && std::chrono::steady_clock::now() - began < GiveUpLimit) {
        context.run_one_for(milliseconds(20));
        mostReserved = std::max(mostReserved, memory->used());
    }
    const std::size_t most = std::min(MaxPagesBytes, accountBytes + accountBytes / 8);
    BOOST_REQUIRE(pages.begun >= 1);
    BOOST_CHECK_MESSAGE(table.contains("a"),
                        "(b) the objects weren't read from the store within " << GiveUpLimit.count()
                                                                              << " s");
    BOOST_CHECK_MESSAGE(pages.mostBytes <= most + 2 * pageBytes,
                        "(a) " << pages.mostBytes << " bytes of a transfer were taken, not at most "
                               << most << " and two pages");
    BOOST_CHECK_MESSAGE(continuation == Continuation::Advancing || pages.mostBytes <= 3 * pageBytes,
                        "(a) " << pages.mostBytes << " bytes were taken, not three pages");
    BOOST_CHECK_MESSAGE(continuation != Continuation::Advancing || mostReserved >= most / 2,
                        "(a) " << mostReserved << " bytes were in the account at most, of "
                               << pages.mostBytes);
    sync.readerChoice().setZone({ { .name = followerName, .address = "127.0.0.1:1" } });
    context.run_for(milliseconds(1500));
    BOOST_CHECK_MESSAGE(memory->used() <= MaxHeadBytes,
                        "(d) " << memory->used() << " bytes are still held");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
