#include <boost/test/unit_test.hpp>

#include "Burn/BurnReport.h"
#include "Burn/BurnTracker.h"

using namespace jacinthroad;

namespace {

const TeamId Team { std::string("parish <north>") };
const ModelId Model { std::string("m") };
const Instant Start = Instant() + std::chrono::hours(1);

BurnTracker trackerWithTenOfHundredMissed()
{
    BurnTracker tracker;
    for (int event = 0; event < 100; ++event) {
        tracker.recordEvent(Team, Model, Objective::FirstToken, event % 10 != 0, Start);
    }
    return tracker;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BurnTest)

BOOST_AUTO_TEST_CASE(rateIsMissedShareOverAllowedShare)
{
    const auto lines = trackerWithTenOfHundredMissed().lines(Start);
    const BurnCount &count = lines.at({ Team, Model })[0][0];
    BOOST_TEST(burnRate(count, 0.95) == 2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(burnRate({}, 0.95) == 0);
}

BOOST_AUTO_TEST_CASE(shortWindowDecaysFasterThanTheLongOne)
{
    BurnTracker tracker = trackerWithTenOfHundredMissed();
    const Instant later = Start + std::chrono::minutes(30);
    for (int event = 0; event < 100; ++event) {
        tracker.recordEvent(Team, Model, Objective::FirstToken, true, later);
    }
    const auto lines = tracker.lines(later);
    const BurnCounts &counts = lines.at({ Team, Model })[0];
    BOOST_TEST(burnRate(counts[0], 0.95) < 0.1);
    BOOST_TEST(burnRate(counts[2], 0.95) > 0.8);
}

BOOST_AUTO_TEST_CASE(countsAreSummedOverNodesAndUnreachableNodesListed)
{
    const Json::Value lines
        = burnLinesJson(trackerWithTenOfHundredMissed().lines(Start), { { Model, 0.99 } });
    BurnReport report;
    addBurnLines(report, "a", lines);
    addBurnLines(report, "b", lines);
    report.unreachable.emplace_back("c");
    const BurnReportLine &line = report.lines.at({ Team, Model });
    BOOST_TEST(line.counts[0][0].events == 200, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(burnRate(line.counts[0][0], line.objectiveShare) == 10,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(burnReportText(report).find("not reached, not counted: c") != std::string::npos);
    BOOST_TEST(burnReportHtml(report).find("parish &lt;north&gt;") != std::string::npos);
    BOOST_TEST(burnReportJson(report)["unreachable"][0].asString() == "c");
}

BOOST_AUTO_TEST_CASE(invalidLinesFromAPeerAreSkipped)
{
    BurnReport report;
    Json::Value bad(Json::arrayValue);
    bad.append(7);
    bad.append(Json::Value(Json::objectValue));
    addBurnLines(report, "a", bad);
    addBurnLines(report, "b", Json::Value("text"));
    BOOST_TEST(report.lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()
