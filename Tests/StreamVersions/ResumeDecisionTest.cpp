#include <boost/test/unit_test.hpp>

#include "StreamVersions/ResumeDecision.h"

namespace jacinthroad {

namespace {

std::optional<SoftwareVersion> versionOf(const ResumeEvidence &evidence)
{
    const ResumeDecision decision = decideResume(evidence);
    const auto *at = std::get_if<ResumeAt>(&decision);
    return at == nullptr ? std::nullopt : std::optional(at->version);
}

UnknownOrigin reasonOf(const ResumeEvidence &evidence)
{
    return std::get<ResumeUnknown>(decideResume(evidence)).reason;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ResumeDecisionTest)

BOOST_AUTO_TEST_CASE(recordDecidesAlsoAmongSeveralVersionsAndWithoutTheTable)
{
    BOOST_TEST(
        (versionOf({ .recorded = "v1", .tableRead = true, .versions = { "v1", "v2" } }) == "v1"));
    BOOST_TEST((versionOf({ .recorded = "v1", .tableRead = true, .versions = { "v2" } }) == "v1"));
    BOOST_TEST((versionOf({ .recorded = "", .tableRead = false, .versions = {} }) == ""));
}

BOOST_AUTO_TEST_CASE(singleVersionDecidesOnlyIfTheTableWasRead)
{
    BOOST_TEST((versionOf({ .recorded = {}, .tableRead = true, .versions = { "v2" } }) == "v2"));
    const ResumeEvidence unread { .recorded = {}, .tableRead = false, .versions = { "v2" } };
    BOOST_TEST(!versionOf(unread).has_value());
    BOOST_TEST((reasonOf(unread) == UnknownOrigin::StoreUnavailable));
}

BOOST_AUTO_TEST_CASE(missingRecordProvesNothingAmongSeveralVersionsOrNone)
{
    for (const VersionSet &versions : { VersionSet { "v1", "v2" }, VersionSet {} }) {
        const ResumeEvidence evidence { .recorded = {}, .tableRead = true, .versions = versions };
        BOOST_TEST(!versionOf(evidence).has_value());
        BOOST_TEST((reasonOf(evidence) == UnknownOrigin::NoRecord));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
