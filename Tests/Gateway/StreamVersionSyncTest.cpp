#include <atomic>
#include <memory>
#include <optional>
#include <stdexcept>
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

#include "Core/Json.h"
#include "Gateway/BootClock.h"
#include "Gateway/StreamVersionSync.h"
#include "StoreStandIn.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

constexpr const char *TableKind = "softwareversions";
constexpr const char *RecordsKind = "streamorigins";
const ServiceId Service("svc");
/// Covers some calls of the store.
constexpr Duration Soon = milliseconds(150);
/// Covers a call without an answer and some further ones.
constexpr Duration Later = milliseconds(1500);

/// A node with a thread of its own in place of the control thread: the test runs its context.
struct SyncNode
{
    SyncNode(StoreStandIn &store, const std::string &name)
        : client(context, store.address(), metrics, unlimitedMemory())
        , sync(context, client, { .node = name }, [this](const VersionTable &table) {
            admitted = table.contains(Service) ? table.at(Service) : VersionSet {};
        })
    {
        asio::co_spawn(context, sync.run(), asio::detached);
        sync.applyServices({ Service });
    }

    void list(const VersionSet &versions)
    {
        std::vector<ListedServer> servers;
        for (const SoftwareVersion &version : versions) {
            ListedServer server;
            server.service = Service;
            server.softwareVersion = version;
            servers.push_back(server);
        }
        sync.applyServers(servers);
        sync.confirmServers(bootNow());
    }

    void record(StreamId stream, const SoftwareVersion &version)
    {
        sync.record({ { .stream = stream, .service = Service, .version = version } });
    }

    void resolve(StreamId stream)
    {
        sync.resolve(stream, Service,
                     [this](const ResumeDecision &decision) { decisions.push_back(decision); });
    }

    /// Decides about one stream, within `time`.
    ResumeDecision decide(StreamId stream, Duration time = Soon)
    {
        decisions.clear();
        resolve(stream);
        context.run_for(time);
        BOOST_REQUIRE(decisions.size() == 1U);
        return decisions.front();
    }

    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client;
    VersionSet admitted;
    std::vector<ResumeDecision> decisions;
    StreamVersionSync sync;
};

/// The version that a decision names, or the reason why it names none.
std::string text(const ResumeDecision &decision)
{
    if (const auto *at = std::get_if<ResumeAt>(&decision)) {
        return at->version;
    }
    return std::get<ResumeUnknown>(decision).reason == UnknownOrigin::NoRecord ? "no record"
                                                                               : "no store";
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamVersionSyncTest)

BOOST_AUTO_TEST_CASE(versionAddedByThisBuildRemovesFieldsOfANewerBuildFromTheTable)
{
    StoreStandIn store;
    store.put(
        TableKind, "table",
        *parseJson(R"({"later":1,"services":[{"service":"svc","versions":["v1"],"later":2}]})"));
    SyncNode node(store, "front-1");
    for (const VersionSet &versions : { VersionSet { "v1", "v2" }, { "v1", "v2", "v3" } }) {
        node.list(versions);
        node.context.run_for(Soon);
        const Json::Value table = store.spec(TableKind, "table");
        BOOST_TEST(table["later"].asInt() == 1);
        BOOST_REQUIRE(table["services"].size() == 1U);
        BOOST_TEST(table["services"][0]["versions"].size() == versions.size());
        BOOST_TEST(table["services"][0]["later"].asInt() == 2);
    }
}

BOOST_AUTO_TEST_CASE(versionsAreAdmittedOnceTheStoreHasThemAndIdleNodesMakeNoCalls)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    SyncNode second(store, "front-2");
    first.list({ "v1" });
    BOOST_TEST(first.admitted.empty());
    first.context.run_for(Soon);
    BOOST_TEST((first.admitted == VersionSet { "v1" }));
    second.list({ "v1", "v2" });
    second.context.run_for(Soon);
    BOOST_TEST((second.admitted == VersionSet { "v1", "v2" }));
    BOOST_TEST(store.writes(TableKind) == 2);
    const int calls = store.calls();
    for (int round = 0; round < 10; ++round) {
        first.list({ "v1" });
        first.context.run_for(milliseconds(50));
    }
    BOOST_TEST(store.calls() == calls);
    BOOST_TEST(store.writes(RecordsKind) == 0);
}

BOOST_AUTO_TEST_CASE(singleVersionDecidesAndSeveralNeedARecord)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    SyncNode second(store, "front-2");
    first.list({ "v1" });
    second.list({ "v1" });
    first.context.run_for(Soon);
    second.context.run_for(Soon);
    BOOST_TEST(text(second.decide(7)) == "v1");
    first.list({ "v1", "v2" });
    first.context.run_for(Soon);
    // The second node does not list the new version yet.
    BOOST_TEST(text(second.decide(7)) == "no record");
    first.record(7, "v2");
    first.context.run_for(Soon);
    BOOST_TEST(text(second.decide(7)) == "v2");
    const int calls = store.calls();
    BOOST_TEST(text(second.decide(7)) == "v2");
    BOOST_TEST(text(first.decide(7)) == "v2");
    BOOST_TEST(store.calls() == calls);
    BOOST_TEST(text(second.decide(8)) == "no record");
}

BOOST_AUTO_TEST_CASE(recordedStreamsGoOnAfterAllNodesHaveEnded)
{
    StoreStandIn store;
    {
        SyncNode first(store, "front-1");
        first.list({ "v1", "v2" });
        first.record(7, "v1");
        first.context.run_for(Soon);
    }
    {
        SyncNode first(store, "front-1");
        SyncNode second(store, "front-2");
        first.list({ "v2" });
        second.list({ "v2" });
        first.context.run_for(Soon);
        second.context.run_for(Soon);
        BOOST_TEST(text(first.decide(7)) == "v1");
        BOOST_TEST(text(second.decide(7)) == "v1");
        BOOST_TEST(text(second.decide(8)) == "no record");
        // What the earlier process left stays when this one writes.
        first.record(9, "v2");
        first.context.run_for(Soon);
    }
    SyncNode third(store, "front-3");
    third.list({ "v2" });
    third.context.run_for(Soon);
    BOOST_TEST(text(third.decide(7)) == "v1");
    BOOST_TEST(text(third.decide(9)) == "v2");
}

BOOST_AUTO_TEST_CASE(writesWithoutAnswerAreRepeated)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    store.loseResponses(TableKind, 1);
    store.loseResponses(RecordsKind, 1);
    first.list({ "v1", "v2" });
    first.record(7, "v1");
    first.context.run_for(Later);
    BOOST_TEST((first.admitted == VersionSet { "v1", "v2" }));
    first.record(8, "v2");
    first.context.run_for(Soon);
    SyncNode second(store, "front-2");
    second.list({ "v2" });
    second.context.run_for(Soon);
    BOOST_TEST(text(second.decide(7)) == "v1");
    BOOST_TEST(text(second.decide(8)) == "v2");
}

BOOST_AUTO_TEST_CASE(anotherWriterOfTheSameObjectsCausesOnlyAConflict)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    first.list({ "v1" });
    first.record(7, "v1");
    first.context.run_for(Soon);
    store.put(TableKind, "table",
              *parseJson(R"({"services":[{"service":"svc","versions":["v0","v1"]}]})"));
    store.put(RecordsKind, "front-1", *parseJson(R"({"batches":[{"at_ms":4102444800000,
        "service":"svc","version":"v0","streams":"0000000000000005"}]})"));
    first.list({ "v1", "v2" });
    first.record(8, "v2");
    first.context.run_for(Soon);
    BOOST_TEST((first.admitted == VersionSet { "v0", "v1", "v2" }));
    SyncNode second(store, "front-2");
    second.list({ "v2" });
    second.context.run_for(Soon);
    BOOST_TEST(text(second.decide(5)) == "v0");
    BOOST_TEST(text(second.decide(7)) == "v1");
    BOOST_TEST(text(second.decide(8)) == "v2");
}

BOOST_AUTO_TEST_CASE(oddObjectsOfOtherWritersCostOnlyThemselves)
{
    StoreStandIn store;
    store.put(TableKind, "table", *parseJson(R"({"services":7})"));
    store.put(RecordsKind, "front-1", *parseJson("[1]"));
    store.put(RecordsKind, "a", *parseJson(R"({"batches":[{"at_ms":1e300}]})"));
    SyncNode first(store, "front-1");
    SyncNode second(store, "front-2");
    BOOST_TEST(text(second.decide(7)) == "no store");
    first.list({ "v1", "v2" });
    first.record(7, "v1");
    first.context.run_for(Soon);
    BOOST_TEST((first.admitted == VersionSet { "v1", "v2" }));
    second.list({ "v2" });
    BOOST_TEST(text(second.decide(7)) == "v1");
    BOOST_TEST(text(second.decide(8)) == "no record");
}

BOOST_AUTO_TEST_CASE(contradictingRecordsDecideNothing)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    SyncNode second(store, "front-2");
    SyncNode third(store, "front-3");
    first.list({ "v1", "v2" });
    first.record(7, "v1");
    second.record(7, "v2");
    first.context.run_for(Soon);
    second.context.run_for(Soon);
    BOOST_TEST(text(third.decide(7)) == "no record");
}

BOOST_AUTO_TEST_CASE(everyResumeIsAnsweredOnceWhileTheStoreIsAway)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    first.list({ "v1" });
    first.context.run_for(Soon);
    store.stopResponding();
    constexpr std::size_t Resumes = 20;
    for (StreamId stream = 1; stream <= Resumes; ++stream) {
        first.resolve(stream);
        first.context.run_for(milliseconds(10));
    }
    first.context.run_for(Later);
    BOOST_TEST(first.decisions.size() == Resumes);
    for (const ResumeDecision &decision : first.decisions) {
        BOOST_TEST(text(decision) == "no store");
    }
    store.resumeResponding();
    BOOST_TEST(text(first.decide(1)) == "v1");
}

BOOST_AUTO_TEST_CASE(resumesThatWaitShareOneReadThatBeginsAfterTheyArrived)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    first.list({ "v1" });
    first.context.run_for(Soon);
    const int calls = store.calls();
    for (StreamId stream = 1; stream <= 50; ++stream) {
        first.resolve(stream);
    }
    first.context.run_for(Soon);
    BOOST_TEST(first.decisions.size() == 50U);
    BOOST_TEST(store.calls() == calls + 1);
}

BOOST_AUTO_TEST_CASE(faultOfAHandlerLeavesNoResumeWithoutAnAnswer)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    first.list({ "v1" });
    first.context.run_for(Soon);
    first.resolve(1);
    first.sync.resolve(
        2, Service, [](const ResumeDecision &) { throw std::runtime_error("fault of the test"); });
    first.context.run_for(Later);
    BOOST_TEST(first.decisions.size() == 1U);
    BOOST_TEST(text(first.decide(3)) == "v1");
}

BOOST_AUTO_TEST_CASE(rejectedWritesAreRepeatedWithPauses)
{
    StoreStandIn store;
    SyncNode reader(store, "front-2");
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.rejectingAddress(), metrics, unlimitedMemory());
    StreamVersionSync sync(context, client, { .node = "front-1" }, [](const VersionTable &) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    sync.record({ { .stream = 7, .service = Service, .version = "v1" } });
    context.run_for(Later);
    BOOST_TEST(store.writes(RecordsKind) >= 3);
    BOOST_TEST(store.writes(RecordsKind) <= 6);
}

BOOST_AUTO_TEST_CASE(restoredStoreGetsTableAndRecordsAgain)
{
    StoreStandIn store;
    store.sendEra(1);
    SyncNode first(store, "front-1");
    first.list({ "v1" });
    first.context.run_for(Soon);
    store.snapshot();
    first.list({ "v1", "v2" });
    first.record(7, "v2");
    first.context.run_for(Soon);
    store.restore();
    BOOST_TEST(store.spec(RecordsKind, "front-1").isNull());
    // Any call tells the node of the restore.
    first.resolve(99);
    first.context.run_for(2 * Soon);
    BOOST_TEST((first.admitted == VersionSet { "v1", "v2" }));
    SyncNode second(store, "front-2");
    second.list({ "v1" });
    BOOST_TEST(text(second.decide(7)) == "v2");
    BOOST_TEST(text(second.decide(8)) == "no record");
}

BOOST_AUTO_TEST_CASE(unsettledStoreProvesNoSingleVersion)
{
    StoreStandIn store;
    SyncNode first(store, "front-1");
    first.list({ "v1" });
    first.context.run_for(Soon);
    first.sync.setStoreSettled(false);
    BOOST_TEST(text(first.decide(7)) == "no store");
    SyncNode second(store, "front-2");
    second.record(7, "v1");
    second.context.run_for(Soon);
    BOOST_TEST(text(first.decide(7)) == "v1");
    first.sync.setStoreSettled(true);
    BOOST_TEST(text(first.decide(8)) == "v1");
}

BOOST_DATA_TEST_CASE(recordsWithoutEndLeaveAResumeUndecided,
                     boost::unit_test::data::make({ false, true }), namesVersions)
{
    constexpr StreamId Stream = 0xabc;
    constexpr std::size_t VersionBytes = 100'000;
    constexpr Duration Limit = std::chrono::seconds(12);
    const auto memory = std::make_shared<MemoryBudget>(70'000'000);
    std::atomic<std::size_t> pages { 0 };
    ScriptedServer store([&](ScriptedConnection &connection) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        while (connection.read(request)) {
            if (std::string(request.target()).find(RecordsKind) == std::string::npos) {
                connection.write(responseText(404, "", "{}"));
                continue;
            }
            constexpr std::size_t FirstName = 10'000'000;
            std::this_thread::sleep_for(milliseconds(1));
            Json::Value page;
            page["currentRev"] = 9;
            page["hasMore"] = true;
            Json::Value &object = page["items"][0];
            object["metadata"]["name"] = std::to_string(FirstName + ++pages);
            object["metadata"]["revision"] = 1;
            Json::Value &batch = object["spec"]["batches"][0];
            batch["at_ms"] = 1;
            batch["service"] = Service.text();
            batch["version"] = std::to_string(pages) + std::string(VersionBytes, 'v');
            batch["streams"] = namesVersions ? "0000000000000abc" : "0000000000000def";
            connection.write(responseText(200, "", writeJson(page)));
        }
    });
    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client(context, store.address(), metrics, memory);
    StreamVersionSync sync(context, client, { .node = "front-1" }, [](const VersionTable &) {});
    asio::co_spawn(context, sync.run(), asio::detached);
    sync.applyServices({ Service });
    std::vector<ResumeDecision> decisions;
    sync.resolve(Stream, Service,
                 [&](const ResumeDecision &decision) { decisions.push_back(decision); });
    const Instant began = std::chrono::steady_clock::now();
    while (decisions.empty() && std::chrono::steady_clock::now() - began < Limit) {
        context.run_one_for(milliseconds(20));
    }
    BOOST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST(text(decisions.front()) == "no store");
    // The versions that are kept take 1 MB at most.
    BOOST_TEST((!namesVersions || pages <= 15U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
