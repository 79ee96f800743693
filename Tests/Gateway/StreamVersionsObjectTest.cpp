#include <vector>

#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/StreamVersionsObject.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(StreamVersionsObjectTest)

BOOST_AUTO_TEST_CASE(versionTableIsDecodedAsEncoded)
{
    const KeptVersions content { .versions = { { ServiceId("a"), { "v1", "v1.2" } },
                                               { ServiceId("b"), { "" } } },
                                 .leaving = { { ServiceId("a"), { "v1" } } } };
    const auto read = readVersionTable(*parseJson(writeJson(versionTableSpec(content))));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == content));
}

BOOST_AUTO_TEST_CASE(oddRowsOfTheVersionTableCostOnlyThemselves)
{
    const auto read = readVersionTable(*parseJson(R"({"added":1,"services":[7, {}, [],
        {"service":1,"versions":["v1"]}, {"service":"x","versions":"v1"},
        {"service":"y","versions":["v1",2]}, {"service":"z","versions":[]},
        {"service":"a","versions":["v1"],"leaving":["v9"],"added":{}},
        {"service":"b","versions":["v2"],"leaving":3}]})"));
    BOOST_REQUIRE(read.has_value());
    const KeptVersions expected { .versions
                                  = { { ServiceId("a"), { "v1" } }, { ServiceId("b"), { "v2" } } },
                                  .leaving = {} };
    BOOST_TEST((*read == expected));
    for (const char *text : { "1", "[]", "{}", R"({"services":{}})", "null" }) {
        BOOST_TEST(!readVersionTable(*parseJson(text)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(streamRecordsAreDecodedAsEncodedAndSmallAtTheirMaximum)
{
    constexpr std::size_t MaxBytes = 200'000;
    constexpr std::uint64_t Large = 0xffff'ffff'ffff'fff0;
    std::vector<OriginBatch> batches;
    const std::size_t half = OriginLog::Options {}.maxStreams / 2;
    for (const SoftwareVersion version : { "v1", "v1.2" }) {
        OriginBatch batch { .atMs = 1'700'000'000'123,
                            .service = ServiceId("svc"),
                            .version = version,
                            .streams = {} };
        for (std::size_t index = 0; index < half; ++index) {
            batch.streams.push_back(index % 2 == 0 ? Large - index : index);
        }
        batches.push_back(std::move(batch));
    }
    const std::string text = writeJson(streamOriginsSpec(batches));
    BOOST_TEST(text.size() < MaxBytes);
    BOOST_TEST_MESSAGE("bytes of " << 2 * half << " streams: " << text.size());
    const auto read = readStreamOrigins(*parseJson(text));
    BOOST_REQUIRE(read.size() == 2U);
    for (std::size_t index = 0; index < read.size(); ++index) {
        BOOST_TEST(read[index].atMs == batches[index].atMs);
        BOOST_TEST(read[index].service.text() == "svc");
        BOOST_TEST(read[index].version == batches[index].version);
        BOOST_TEST(read[index].streams == batches[index].streams);
    }
}

BOOST_AUTO_TEST_CASE(oddStreamRecordsCostOnlyThemselves)
{
    const auto read = readStreamOrigins(*parseJson(R"({"added":1,"batches":[7, {}, [],
        {"at_ms":"5","service":"a","version":"v1","streams":"0000000000000001"},
        {"at_ms":5.5,"service":"a","version":"v1","streams":"0000000000000001"},
        {"at_ms":1e300,"service":"a","version":"v1","streams":"0000000000000001"},
        {"at_ms":5,"service":2,"version":"v1","streams":"0000000000000001"},
        {"at_ms":5,"service":"a","version":1,"streams":"0000000000000001"},
        {"at_ms":5,"service":"a","version":"v1","streams":["1"]},
        {"at_ms":5,"service":"a","version":"v1","streams":"1"},
        {"at_ms":5,"service":"a","version":"v1","streams":"000000000000000x"},
        {"at_ms":5,"service":"a","version":"v1","streams":"000000000000000a","added":[]}]})"));
    BOOST_REQUIRE(read.size() == 1U);
    BOOST_TEST((read[0].streams == std::vector<StreamId> { 10 }));
    for (const char *text : { "1", "[]", "{}", R"({"batches":{}})", "null" }) {
        BOOST_TEST(readStreamOrigins(*parseJson(text)).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
