#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/CrashRecordsObject.h"
#include "Gateway/LeaseObject.h"
#include "Gateway/NodeRegistration.h"
#include "Gateway/StreamVersionsObject.h"
#include "Gateway/WeightsRecordObject.h"
#include "GatewayFixture.h"
#include "UnlimitedMemory.h"

namespace jacinthroad {

namespace asio = boost::asio;

namespace {

/// Objects as the build ab1a2b7 has written them.
constexpr std::string_view CrashRecordsText
    = R"({"records":[{"crashes":[{"cleared":true,"crash_age_ms":600,"number":5,"reporter":"fedcba9876543212","sent_age_ms":700,"server":"fedcba9876543213"}],"depth":2,"fingerprint":"fedcba9876543211"},{"crashes":[],"depth":255,"fingerprint":"a"}],"written_at_ms":1700000000123})";
constexpr std::string_view LeaseText
    = R"({"era":4,"holder":"front-1","named":[{"age_ms":8000,"model":"m","version":3}],"released":true,"renewals":12,"token":7})";
/// As d8460a9 writes it.
constexpr std::string_view LeaseWithAddressText
    = R"({"address":"10.1.0.30:7340","era":4,"holder":"front-1","named":[{"age_ms":8000,"model":"m","version":3}],"released":true,"renewals":12,"token":7})";
/// As 4b3bb38 writes it.
constexpr std::string_view WeightsRecordText
    = R"({"era":4,"kernel_boot":"k","named":[{"age_ms":8000,"model":"m","version":3}],"since_boot_ms":5000,"written_at_ms":1700000000123})";
constexpr std::string_view VersionTableText
    = R"({"services":[{"leaving":["v1"],"service":"a","versions":["v1","v1.2"]},{"service":"b","versions":[""]}]})";
constexpr std::string_view StreamOriginsText
    = R"({"batches":[{"at_ms":1700000000123,"service":"a","streams":"fedcba98765432100000000000000001","version":"v1"}]})";
constexpr std::string_view NodeText
    = R"({"forwarding":"10.1.0.30:7355","link_kbit_s":1000000,"peers":"10.1.0.30:7340","settled_era":4,"zone":"z"})";
/// As builds before d8c3c42 and before zones have written it.
constexpr std::string_view NodeWithoutForwardingText
    = R"({"link_kbit_s":1000000,"peers":"10.1.0.30:7340","zone":"z"})";
constexpr std::string_view NodeWithoutZoneText = R"({"peers":"10.1.0.30:7340"})";

/// Covers some calls of the store.
constexpr Duration Soon = milliseconds(400);

Json::Value json(std::string_view text)
{
    return *parseJson(text);
}

KeptCrashRecords crashRecords()
{
    return { .writtenAtMs = 1700000000123,
             .records = { { .fingerprint = 0xfedcba9876543211U,
                            .depth = 2,
                            .crashes = { { .reporter = 0xfedcba9876543212U,
                                           .number = 5,
                                           .server = 0xfedcba9876543213U,
                                           .sentAgeMs = 700,
                                           .crashAgeMs = 600,
                                           .cleared = true } } },
                          { .fingerprint = 10, .crashes = {} } } };
}

LeaseRecord lease()
{
    return { .holder = "front-1",
             .token = 7,
             .released = true,
             .renewals = 12,
             .desiredWeightsAges = { { .model = ModelId("m"), .version = 3, .ageMs = 8000 } },
             .era = 4 };
}

KeptVersions versionTable()
{
    return { .versions = { { ServiceId("a"), { "v1", "v1.2" } }, { ServiceId("b"), { "" } } },
             .leaving = { { ServiceId("a"), { "v1" } } } };
}

std::vector<OriginBatch> streamOrigins()
{
    return { { .atMs = 1700000000123,
               .service = ServiceId("a"),
               .version = "v1",
               .streams = { 0xfedcba9876543210U, 1 } } };
}

/// The context, the client and the era that parts of a node need.
struct Control
{
    explicit Control(const std::string &store)
        : client(context, store, metrics, unlimitedMemory())
    { }

    asio::io_context context { 1 };
    GatewayMetrics metrics;
    StoreClient client;
    EraSettling eraSettling { { .settleTime = milliseconds(1), .proofValidity = milliseconds(1) } };
};

const FleetNode Front1 { .name = "front-1",
                         .zone = "z",
                         .address = "10.1.0.30:7340",
                         .linkMbps = 1000,
                         .forwardingAddress = "10.1.0.30:7355" };

} // namespace

BOOST_AUTO_TEST_SUITE(RecordedObjectsTest)

BOOST_AUTO_TEST_CASE(leaseWithTheAddressOfItsHolderIsReadAndWritten)
{
    LeaseRecord record = lease();
    record.address = "10.1.0.30:7340";
    BOOST_TEST((readLease(json(LeaseWithAddressText)) == record));
    BOOST_TEST(writeJson(leaseSpec(record)) == LeaseWithAddressText);
}

BOOST_AUTO_TEST_CASE(weightsRecordIsReadAndWritten)
{
    const WeightsRecord record {
        .node = "front-1",
        .writtenAt
        = { .kernelBoot = "k", .sinceBoot = { milliseconds(5000) }, .wallMs = 1700000000123 },
        .era = 4,
        .ages = { { .model = ModelId("m"), .version = 3, .ageMs = 8000 } }
    };
    BOOST_TEST((readWeightsRecord("front-1", json(WeightsRecordText)) == record));
    BOOST_TEST(writeJson(weightsRecordSpec(record)) == WeightsRecordText);
    for (const char *field : { "kernel_boot", "since_boot_ms", "written_at_ms", "named" }) {
        Json::Value odd = json(WeightsRecordText);
        odd[field] = true;
        BOOST_TEST(!readWeightsRecord("front-1", odd).has_value(), field);
    }
}

BOOST_AUTO_TEST_CASE(objectsOfAnEarlierBuildAreReadInFull)
{
    const auto crashes = readCrashRecords(json(CrashRecordsText));
    BOOST_REQUIRE(crashes.has_value());
    BOOST_TEST(crashes->writtenAtMs == 1700000000123);
    BOOST_REQUIRE(crashes->records.size() == 2U);
    BOOST_TEST(crashes->records[0].fingerprint == 0xfedcba9876543211U);
    BOOST_TEST(crashes->records[0].depth == 2U);
    BOOST_TEST(crashes->records[1].depth == WholeRequestDepth);
    BOOST_REQUIRE(crashes->records[0].crashes.size() == 1U);
    const CrashReport &report = crashes->records[0].crashes[0];
    BOOST_TEST(report.reporter == 0xfedcba9876543212U);
    BOOST_TEST(report.number == 5U);
    BOOST_TEST(report.server == 0xfedcba9876543213U);
    BOOST_TEST(report.sentAgeMs == 700U);
    BOOST_TEST(report.crashAgeMs == 600U);
    BOOST_TEST(report.cleared);

    const auto record = readLease(json(LeaseText));
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->holder == "front-1");
    BOOST_TEST(record->token == 7U);
    BOOST_TEST(record->released);
    BOOST_TEST(record->renewals == 12U);
    BOOST_TEST(record->era == 4U);
    BOOST_REQUIRE(record->desiredWeightsAges.size() == 1U);
    BOOST_TEST(record->desiredWeightsAges[0].model.text() == "m");
    BOOST_TEST(record->desiredWeightsAges[0].version == 3U);
    BOOST_TEST(record->desiredWeightsAges[0].ageMs == 8000U);

    const auto table = readVersionTable(json(VersionTableText));
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST((*table == versionTable()));

    const auto batches = readStreamOrigins(json(StreamOriginsText));
    BOOST_REQUIRE(batches.size() == 1U);
    BOOST_TEST(batches[0].atMs == 1700000000123);
    BOOST_TEST(batches[0].service.text() == "a");
    BOOST_TEST(batches[0].version == "v1");
    BOOST_TEST((batches[0].streams == std::vector<StreamId> { 0xfedcba9876543210U, 1 }));
}

BOOST_AUTO_TEST_CASE(anEarlierBuildReadsObjectsOfThisOne)
{
    BOOST_TEST(writeJson(crashRecordsSpec(crashRecords())) == CrashRecordsText);
    BOOST_TEST(writeJson(leaseSpec(lease())) == LeaseText);
    BOOST_TEST(writeJson(versionTableSpec(versionTable())) == VersionTableText);
    BOOST_TEST(writeJson(streamOriginsSpec(streamOrigins())) == StreamOriginsText);
}

BOOST_AUTO_TEST_CASE(nodesOfEarlierBuildsAreReadInFull)
{
    Control control("127.0.0.1:9");
    NodeRegistration registration(control.context, control.client, Front1, control.eraSettling);
    ObjectTable table;
    for (const auto &[name, spec] :
         { std::pair("a", NodeText), std::pair("b", NodeWithoutForwardingText),
           std::pair("c", NodeWithoutZoneText) }) {
        platform::StoredObject object { .name = name, .revision = 1 };
        object.spec = json(spec);
        object.spec["later"] = 7;
        table[name] = object;
    }
    std::vector<FleetNode> expected(3, Front1);
    expected[0].name = "a";
    expected[1].name = "b";
    expected[1].forwardingAddress.clear();
    expected[2] = { .name = "c", .address = "10.1.0.30:7340" };
    BOOST_TEST((registration.applyNodes(table) == expected));
}

BOOST_AUTO_TEST_CASE(earlierBuildsReadTheNodeObjectOfThisOne)
{
    StoreStandIn store;
    store.put("nodes", "front-1", json(R"({"settled_era":4})"));
    Control control(store.address());
    NodeRegistration registration(control.context, control.client, Front1, control.eraSettling);
    asio::co_spawn(control.context, registration.run(), asio::detached);
    control.context.run_for(Soon);
    BOOST_TEST(writeJson(store.spec("nodes", "front-1")) == NodeText);
}

BOOST_AUTO_TEST_CASE(writeLosesFieldsOfANewerBuild)
{
    Json::Value stored = json(CrashRecordsText);
    stored["later"] = 1;
    stored["records"][0]["later"] = 2;
    stored["records"][0]["crashes"][0]["later"] = 3;
    KeptCrashRecords crashes = crashRecords();
    std::swap(crashes.records[0], crashes.records[1]);
    const Json::Value written = crashRecordsSpec(crashes, stored);
    BOOST_TEST(written["later"].asInt() == 1);
    BOOST_TEST(!written["records"][0].isMember("later"));
    BOOST_TEST(written["records"][1]["later"].asInt() == 2);
    BOOST_TEST(written["records"][1]["crashes"][0]["later"].asInt() == 3);

    stored = json(LeaseText);
    stored["later"]["deep"] = 1;
    stored["named"][0]["later"] = 2;
    LeaseRecord record = lease();
    record.era = 0;
    const Json::Value writtenLease = leaseSpec(record, stored);
    BOOST_TEST(writtenLease["later"]["deep"].asInt() == 1);
    BOOST_TEST(writtenLease["named"][0]["later"].asInt() == 2);
    BOOST_TEST(!writtenLease.isMember("era"));

    stored = json(VersionTableText);
    stored["later"] = 1;
    stored["services"][0]["later"] = 2;
    KeptVersions versions = versionTable();
    versions.leaving.clear();
    const Json::Value writtenTable = versionTableSpec(versions, stored);
    BOOST_TEST(writtenTable["later"].asInt() == 1);
    BOOST_TEST(writtenTable["services"][0]["later"].asInt() == 2);
    BOOST_TEST(!writtenTable["services"][0].isMember("leaving"));
    BOOST_TEST(!writtenTable["services"][1].isMember("later"));
}

BOOST_AUTO_TEST_CASE(fieldsOfAnyLengthAreKept)
{
    Json::Value stored = json(LeaseText);
    stored["long"] = std::string(100'000, 'x');
    stored["short"] = 1;
    const Json::Value written = leaseSpec(lease(), stored);
    BOOST_TEST(!written.isMember("long"));
    BOOST_TEST(written["short"].asInt() == 1);
    for (const char *odd : { "null", "7", "[]", R"({"named":7})", R"({"named":[7,{}]})" }) {
        BOOST_TEST(writeJson(leaseSpec(lease(), json(odd))) == LeaseText);
    }
}

BOOST_AUTO_TEST_CASE(leaseOfThisBuildRemovesFieldsOfANewerBuildFromTheStore)
{
    GatewayFixture fixture;
    fixture.store.put("leases", "weights",
                      json(R"({"holder":"front-9","token":3,"released":true,"renewals":5,"named":[],
                               "later":7})"));
    fixture.addServer("e1", "engines", [](ScriptedConnection &connection, const ReceivedRequest &) {
        connection.write(responseText(404, "", ""));
        return true;
    });
    fixture.configure(1, { "k1" });
    fixture.start();
    fixture.setDesiredWeights(2);
    for (int attempt = 0; attempt < 300 && fixture.store.spec("leases", "weights")["token"] == 3;
         ++attempt) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    const Json::Value written = fixture.store.spec("leases", "weights");
    BOOST_TEST(written["token"].asInt() == 4);
    BOOST_TEST(written["later"].asInt() == 7);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
