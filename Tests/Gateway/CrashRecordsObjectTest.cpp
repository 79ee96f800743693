#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Gateway/CrashRecordsObject.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(CrashRecordsObjectTest)

BOOST_AUTO_TEST_CASE(contentIsDecodedAsEncodedAndSmallAtItsMaximum)
{
    constexpr std::size_t MaxBytes = 100'000;
    constexpr std::uint64_t Large = 0xffff'ffff'ffff'fff0;
    KeptCrashRecords content { .writtenAtMs = 1'700'000'000'123, .records = {} };
    for (std::size_t index = 0; index < MaxKeptReports / 2; ++index) {
        const CrashReport report { .reporter = Large + 1,
                                   .number = 0xffff'ffff,
                                   .server = Large + 2,
                                   .sentAgeMs = 1'700'002,
                                   .crashAgeMs = 1'700'001,
                                   .cleared = index % 2 == 0 };
        content.records.push_back(
            { .fingerprint = Large - index, .depth = 3, .crashes = { report, report } });
    }
    const std::string text = writeJson(crashRecordsSpec(content));
    BOOST_TEST(text.size() < MaxBytes);
    BOOST_TEST_MESSAGE("bytes of " << MaxKeptReports << " reports: " << text.size());
    const auto read = readCrashRecords(*parseJson(text));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->writtenAtMs == content.writtenAtMs);
    BOOST_REQUIRE(read->records.size() == content.records.size());
    for (std::size_t index = 0; index < read->records.size(); ++index) {
        BOOST_TEST(read->records[index].fingerprint == content.records[index].fingerprint);
        BOOST_TEST(read->records[index].depth == 3);
        BOOST_REQUIRE(read->records[index].crashes.size() == 2U);
        const CrashReport &report = read->records[index].crashes[1];
        BOOST_TEST(report.reporter == Large + 1);
        BOOST_TEST(report.number == 0xffff'ffffU);
        BOOST_TEST(report.server == Large + 2);
        BOOST_TEST(report.sentAgeMs == 1'700'002U);
        BOOST_TEST(report.crashAgeMs == 1'700'001U);
        BOOST_TEST(report.cleared == (index % 2 == 0));
    }
}

BOOST_AUTO_TEST_CASE(malformedRecordsAndUnknownFieldsAreSkipped)
{
    const auto read = readCrashRecords(*parseJson(R"({"written_at_ms":5,"added":1,"records":[
        7, {"fingerprint":"zz","crashes":[]}, {"fingerprint":"a"},
        {"fingerprint":"a","depth":2,"crashes":[
            {"reporter":"1","number":2,"server":"3","sent_age_ms":9,"crash_age_ms":8,"added":{}},
            {"reporter":1,"number":2,"server":"3","sent_age_ms":9,"crash_age_ms":8},
            {"reporter":"1","number":-2,"server":"3","sent_age_ms":9,"crash_age_ms":8},
            {"reporter":"1","number":2,"sent_age_ms":9,"crash_age_ms":8}]}]})"));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->records.size() == 1U);
    BOOST_TEST(read->records[0].fingerprint == 10U);
    BOOST_REQUIRE(read->records[0].crashes.size() == 1U);
    BOOST_TEST(!read->records[0].crashes[0].cleared);
}

BOOST_AUTO_TEST_CASE(malformedContentIsRejected)
{
    for (const char *text : { "1", "[]", "{}", R"({"written_at_ms":"5","records":[]})",
                              R"({"written_at_ms":5,"records":{}})", R"({"records":[]})" }) {
        BOOST_TEST(!readCrashRecords(*parseJson(text)).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
