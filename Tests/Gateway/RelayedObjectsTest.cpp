#include <algorithm>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Fleet/Freshness.h"
#include "FreeAddress.h"
#include "Gateway/BootClock.h"
#include "Gateway/Listener.h"
#include "Gateway/RelayServer.h"
#include "Gateway/StoreSync.h"
#include "ScriptedServer.h"
#include "StoreStandIn.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

constexpr platform::ObjectKind Kind = platform::ObjectKind::Nodes;
constexpr const char *KindName = "nodes";

/// A node that keeps a copy of the objects and passes them on.
class CopyingNode
{
public:
    CopyingNode(asio::io_context &context, StoreStandIn &store, std::string name,
                Duration watchWait = milliseconds(200), const RelayResponder::Options &passing = {},
                Duration relayWait = milliseconds(200))
        : node { .name = std::move(name), .address = freeAddress() }
        , client(context, store.address(), metrics, unlimitedMemory())
        , relay(context, metrics, client.memory())
        , acceptor(context)
        , sync(
              context, client,
              { .kind = Kind,
                .name = KindName,
                .watchWait = watchWait,
                .relayWait = relayWait,
                .node = node.name,
                .boot = ++boots_ },
              [this](const ObjectTable &objects) { table = objects; },
              [this](BootInstant moment) { confirm(moment); })
    {
        relay.add(Kind, sync.relayLog(), passing);
        sync.onRelayExpected = [this](std::uint64_t bytes) { relay.noteExpected(Kind, bytes); };
        sync.onRelayChange = [this] { relay.noteNews(Kind); };
        BOOST_REQUIRE(!listenOn(acceptor, node.address,
                                receiveBufferBytes(*client.memory(), ConnectionRole::Caller)));
        asio::co_spawn(context, relay.serve(acceptor), asio::detached);
        asio::co_spawn(context, sync.run(), asio::detached);
    }

    /// Sets the nodes of the zone, all of which this node hears.
    void setZone(const std::vector<RelayNode> &zone)
    {
        std::vector<std::string> names;
        for (const RelayNode &member : zone) {
            names.push_back(member.name);
        }
        sync.readerChoice().setZone(zone);
        sync.readerChoice().setLive(names);
    }

    RelayNode node;
    GatewayMetrics metrics;
    StoreClient client;
    RelayServer relay;
    asio::ip::tcp::acceptor acceptor;
    ObjectTable table;
    BootInstant confirmedAt;
    /// The highest age of the table since its first confirmation.
    Duration highestAge {};
    StoreSync sync;

private:
    void confirm(BootInstant moment)
    {
        if (confirmedAt != BootInstant()) {
            highestAge = std::max(highestAge, bootNow() - confirmedAt);
        }
        confirmedAt = moment;
    }

    static inline std::uint64_t boots_ = 0;
};

/// Returns two names of which the first one is the reader.
std::pair<std::string, std::string> readerAndFollower()
{
    ReaderChoice choice({ .self = "front-1", .kind = KindName });
    choice.setZone({ { .name = "front-1", .address = "" }, { .name = "front-2", .address = "" } });
    choice.setLive(std::vector<std::string> { "front-1", "front-2" });
    return choice.reader(Instant()).has_value() ? std::pair("front-2", "front-1")
                                                : std::pair("front-1", "front-2");
}

struct TwoNodes
{
    explicit TwoNodes(Duration watchWait = milliseconds(200),
                      const RelayResponder::Options &passing = {})
        : reader(context, store, readerAndFollower().first, watchWait, passing)
        , follower(context, store, readerAndFollower().second, watchWait)
    {
        store.put(KindName, "a", Json::Value("first"));
        const std::vector<RelayNode> zone = { reader.node, follower.node };
        reader.setZone(zone);
        follower.setZone(zone);
    }

    void runFor(Duration time) { context.run_for(time); }

    asio::io_context context { 1 };
    StoreStandIn store;
    CopyingNode reader;
    CopyingNode follower;
};

constexpr int Parts = 60;

/// Writes objects of several pages in all.
void putParts(StoreStandIn &store, char content)
{
    for (int part = 0; part < Parts; ++part) {
        store.put(KindName, "part-" + std::to_string(part), std::string(5000, content));
    }
}

/// A reader that sends pages of a log, and in the middle of the third one ends the connection or
/// itself.
class BreakingReader
{
public:
    enum class Fault { Connection, Process };

    explicit BreakingReader(Fault fault)
        : fault_(fault)
        , server_([this](ScriptedConnection &connection) { serve(connection); })
    {
        ObjectTable table;
        for (int part = 0; part < Parts; ++part) {
            platform::StoredObject object { .name = "part-" + std::to_string(part), .revision = 2 };
            object.spec = std::string(5000, 'x');
            table[object.name] = object;
        }
        log_.applyTable(table, 1000, {});
    }

    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Numbers of the last changes that the queries named.
    [[nodiscard]] std::vector<std::uint64_t> positions()
    {
        const std::scoped_lock lock(mutex_);
        return positions_;
    }

private:
    void serve(ScriptedConnection &connection)
    {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            const auto query = parseRelayTarget(std::string(request.target()));
            const std::scoped_lock lock(mutex_);
            positions_.push_back(query->position.sequence);
            log_.confirm(bootNow(), 1000);
            const std::string response = responseText(
                200, "", encodeRelayPage(log_.pageAfter(query->position, bootNow())));
            if (positions_.size() == 3) {
                connection.write(response.substr(0, response.size() / 2));
                if (fault_ == Fault::Process) {
                    server_.crash();
                } else {
                    connection.close();
                }
                return;
            }
            connection.write(response);
        }
    }

    Fault fault_;
    std::mutex mutex_;
    RelayLog log_ { { .kind = Kind, .source = 77 } };
    std::vector<std::uint64_t> positions_;
    ScriptedServer server_;
};

/// A reader whose objects the test sets.
class ScriptedReader
{
public:
    ScriptedReader()
        : server_([this](ScriptedConnection &connection) { serve(connection); })
    { }

    [[nodiscard]] std::string address() const { return server_.address(); }
    void apply(const ObjectTable &table, std::uint64_t revision)
    {
        const std::scoped_lock lock(mutex_);
        revision_ = revision;
        log_.applyTable(table, revision, {});
    }

private:
    void serve(ScriptedConnection &connection)
    {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            const auto query = parseRelayTarget(std::string(request.target()));
            const std::scoped_lock lock(mutex_);
            log_.confirm(bootNow(), revision_);
            connection.write(
                responseText(200, "", encodeRelayPage(log_.pageAfter(query->position, bootNow()))));
        }
    }

    std::mutex mutex_;
    RelayLog log_ { { .kind = Kind, .source = 78 } };
    std::uint64_t revision_ = 0;
    ScriptedServer server_;
};

platform::StoredObject objectOf(const std::string &name, std::uint64_t revision,
                                const std::string &spec)
{
    platform::StoredObject object { .name = name, .revision = revision };
    object.spec = spec;
    return object;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayedObjectsTest)

BOOST_AUTO_TEST_CASE(changesAreNotAppliedOnObjectsThatWereReadFromTheStoreMeanwhile)
{
    asio::io_context context { 1 };
    StoreStandIn store;
    ScriptedReader reader;
    reader.apply({ { "keys", objectOf("keys", 50, "k1") }, { "head", objectOf("head", 2, "v2") } },
                 100);
    CopyingNode follower(context, store, readerAndFollower().second);
    const RelayNode asked { .name = readerAndFollower().first, .address = reader.address() };
    follower.setZone({ asked, follower.node });
    context.run_for(milliseconds(400));
    BOOST_REQUIRE(follower.table.contains("keys"));
    // The reader doesn't see the version that is in the store for a moment.
    store.put(KindName, "keys", Json::Value("k1 k2"));
    store.put(KindName, "head", Json::Value("v3"));
    follower.setZone({ follower.node });
    context.run_for(milliseconds(800));
    BOOST_REQUIRE(follower.table.at("keys").spec.asString() == "k1 k2");
    reader.apply(
        { { "keys", objectOf("keys", 50, "k1") }, { "head", objectOf("head", 102, "v4") } }, 103);
    follower.setZone({ asked, follower.node });
    context.run_for(milliseconds(800));
    BOOST_TEST(follower.table.at("head").spec.asString() == "v4");
    BOOST_TEST(follower.table.at("keys").spec.asString() == "k1");
}

BOOST_AUTO_TEST_CASE(largeChangeIsAppliedAsAWhole)
{
    TwoNodes nodes;
    putParts(nodes.store, 'a');
    nodes.runFor(milliseconds(800));
    BOOST_TEST(nodes.follower.table.size() == Parts + 1U);
    const int before = nodes.store.calls();
    putParts(nodes.store, 'b');
    nodes.store.remove(KindName, "a");
    nodes.runFor(milliseconds(800));
    BOOST_TEST(nodes.follower.table.size() == std::size_t { Parts });
    for (const auto &[name, object] : nodes.follower.table) {
        BOOST_TEST(object.spec.asString() == std::string(5000, 'b'));
    }
    BOOST_TEST(nodes.store.calls() - before <= 8);
    BOOST_TEST((bootNow() - nodes.follower.confirmedAt < milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(transferThatIsCutWithinAPageGoesOnAtItsPosition)
{
    asio::io_context context { 1 };
    StoreStandIn store;
    store.stopResponding();
    BreakingReader reader(BreakingReader::Fault::Connection);
    CopyingNode follower(context, store, readerAndFollower().second);
    follower.setZone(
        { { .name = readerAndFollower().first, .address = reader.address() }, follower.node });
    context.run_for(milliseconds(800));
    BOOST_TEST(follower.table.size() == std::size_t { Parts });
    const std::vector<std::uint64_t> positions = reader.positions();
    BOOST_REQUIRE(positions.size() > 4U);
    BOOST_TEST(positions[2] > positions[1]);
    BOOST_TEST(positions[3] == positions[2]);
    BOOST_TEST(std::is_sorted(positions.begin(), positions.end()));
    store.resumeResponding();
}

BOOST_AUTO_TEST_CASE(transferWhoseReaderEndsProvesNothingAndTheStoreIsRead)
{
    asio::io_context context { 1 };
    StoreStandIn store;
    putParts(store, 'y');
    store.stopResponding();
    BreakingReader reader(BreakingReader::Fault::Process);
    CopyingNode follower(context, store, readerAndFollower().second);
    follower.setZone(
        { { .name = readerAndFollower().first, .address = reader.address() }, follower.node });
    context.run_for(milliseconds(500));
    BOOST_TEST(reader.positions().size() == 3U);
    BOOST_TEST(follower.table.empty());
    BOOST_CHECK(follower.confirmedAt == BootInstant());
    store.resumeResponding();
    context.run_for(milliseconds(1500));
    BOOST_TEST(follower.table.size() == std::size_t { Parts });
    for (const auto &[name, object] : follower.table) {
        BOOST_TEST(object.spec.asString() == std::string(5000, 'y'));
    }
    BOOST_TEST((bootNow() - follower.confirmedAt < milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(largeContentOfANarrowReaderIsReadFromTheStoreOnce)
{
    TwoNodes nodes(milliseconds(200), { .linkMbps = 1, .passingOnLimit = milliseconds(100) });
    putParts(nodes.store, 'a');
    nodes.runFor(milliseconds(800));
    BOOST_TEST(nodes.follower.table.size() == Parts + 1U);
    const int before = nodes.store.calls();
    nodes.runFor(milliseconds(1000));
    // The reader alone makes about five calls a second.
    BOOST_TEST(nodes.store.calls() - before <= 8);
    BOOST_TEST((bootNow() - nodes.follower.confirmedAt < milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(largeContentOfANarrowReaderArrivesWhileTheStoreIsLost)
{
    TwoNodes nodes(milliseconds(1500), { .linkMbps = 1, .passingOnLimit = milliseconds(100) });
    nodes.follower.setZone({ nodes.follower.node });
    nodes.runFor(milliseconds(300));
    putParts(nodes.store, 'a');
    // Only the reader has read it.
    nodes.reader.setZone({ nodes.reader.node });
    nodes.runFor(milliseconds(300));
    BOOST_REQUIRE(nodes.reader.table.contains("part-0"));
    CopyingNode late(nodes.context, nodes.store, readerAndFollower().second, milliseconds(1500));
    nodes.store.stopResponding();
    late.setZone({ nodes.reader.node, late.node });
    nodes.runFor(milliseconds(2500));
    BOOST_TEST(late.table.contains("part-0"));
    nodes.store.resumeResponding();
}

BOOST_AUTO_TEST_CASE(followerGetsChangesAndConfirmationsWithoutStoreCalls)
{
    TwoNodes nodes;
    nodes.runFor(milliseconds(600));
    BOOST_REQUIRE(nodes.follower.table.contains("a"));
    const int before = nodes.store.calls();
    nodes.store.put(KindName, "b", Json::Value("second"));
    nodes.runFor(milliseconds(1000));
    BOOST_TEST(nodes.follower.table.contains("b"));
    // The reader alone makes about five calls a second.
    BOOST_TEST(nodes.store.calls() - before <= 8);
    BOOST_TEST((bootNow() - nodes.follower.confirmedAt < milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(followerDoesNotBecomeStaleWhileTheStoreAnswersLate)
{
    const Duration stale = Freshness::limitsFor(milliseconds(5000)).staleAfter;
    const Duration wait = configurationPacing({ .passesOn = true, .staleAfter = stale }).wait;
    asio::io_context context { 1 };
    StoreStandIn store;
    store.put(KindName, "a", Json::Value("first"));
    store.delayWatches(std::chrono::milliseconds(100));
    const auto names = readerAndFollower();
    CopyingNode reader(context, store, names.first, wait, {}, RelayedConfigurationWait);
    CopyingNode follower(context, store, names.second, wait, {}, RelayedConfigurationWait);
    reader.sync.onRelayConfirmed = [&reader] { reader.relay.noteNews(Kind); };
    reader.setZone({ reader.node, follower.node });
    follower.setZone({ reader.node, follower.node });
    context.run_for(milliseconds(5000));
    BOOST_TEST((reader.highestAge > Duration::zero()));
    BOOST_TEST((reader.highestAge < stale));
    BOOST_TEST((follower.highestAge > Duration::zero()));
    BOOST_TEST((follower.highestAge < stale));
}

BOOST_AUTO_TEST_CASE(followerReadsTheStoreWhenItsReaderEnds)
{
    TwoNodes nodes;
    nodes.runFor(milliseconds(600));
    boost::system::error_code ignored;
    nodes.reader.acceptor.close(ignored);
    nodes.reader.relay.noteNews(Kind);
    nodes.follower.setZone({ nodes.follower.node });
    nodes.store.put(KindName, "b", Json::Value("second"));
    nodes.runFor(milliseconds(1500));
    BOOST_TEST(nodes.follower.table.contains("b"));
    BOOST_TEST((bootNow() - nodes.follower.confirmedAt < milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(followerReadsTheStoreWhileItsReaderStandsStill)
{
    asio::io_context context { 1 };
    asio::io_context frozenContext { 1 };
    StoreStandIn store;
    store.put(KindName, "a", Json::Value("first"));
    // Connections are accepted by the operating system, but nothing answers.
    CopyingNode frozen(frozenContext, store, readerAndFollower().first);
    CopyingNode follower(context, store, readerAndFollower().second);
    follower.setZone({ frozen.node, follower.node });
    context.run_for(milliseconds(1500));
    BOOST_TEST(follower.table.contains("a"));
    BOOST_TEST((bootNow() - follower.confirmedAt < milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(confirmationIsNoNewerThanThatOfAReaderThatLostTheStore)
{
    TwoNodes nodes;
    nodes.runFor(milliseconds(600));
    nodes.store.stopResponding();
    const BootInstant lost = bootNow();
    nodes.runFor(milliseconds(700));
    BOOST_TEST((nodes.follower.confirmedAt <= lost));
    nodes.store.resumeResponding();
}

BOOST_AUTO_TEST_CASE(readerThatIsBehindDoesNotTakeTheFollowerBack)
{
    TwoNodes nodes;
    // The follower reads the store itself first, and sees more than its later reader.
    nodes.follower.setZone({ nodes.follower.node });
    nodes.runFor(milliseconds(400));
    nodes.store.put(KindName, "b", Json::Value("second"));
    nodes.runFor(milliseconds(400));
    BOOST_REQUIRE(nodes.follower.table.contains("b"));

    StoreStandIn oldStore;
    oldStore.put(KindName, "a", Json::Value("first"));
    CopyingNode behind(nodes.context, oldStore, readerAndFollower().first);
    nodes.follower.setZone({ behind.node, nodes.follower.node });
    nodes.runFor(milliseconds(1200));
    BOOST_TEST(nodes.follower.table.contains("b"));
}

BOOST_AUTO_TEST_CASE(followerOfObjectsThatRarelyChangeDoesNotReadTheStore)
{
    // The proofs of the reader are older than the wait of a query.
    TwoNodes nodes(milliseconds(2500));
    nodes.runFor(milliseconds(400));
    BOOST_REQUIRE(nodes.follower.table.contains("a"));
    const int before = nodes.store.calls();
    nodes.runFor(milliseconds(4500));
    BOOST_TEST(nodes.store.calls() - before <= 4);
    BOOST_TEST(
        nodes.follower.sync.readerChoice().reader(std::chrono::steady_clock::now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
