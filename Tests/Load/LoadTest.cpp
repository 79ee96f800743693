#include <boost/test/unit_test.hpp>

#include "Core/Json.h"
#include "Load/Bounds.h"
#include "Load/LoadReport.h"
#include "Load/Workload.h"

using namespace jacinthroad;

BOOST_AUTO_TEST_SUITE(WorkloadTest)

BOOST_AUTO_TEST_CASE(sameSeedGivesTheSameRequests)
{
    Workload first(*findProfile("drenthe"), 10, 5);
    Workload second(*findProfile("drenthe"), 10, 5);
    while (const auto request = first.next()) {
        const auto other = second.next();
        BOOST_TEST_REQUIRE(other.has_value());
        BOOST_TEST_REQUIRE(request->atSeconds == other->atSeconds);
        BOOST_TEST_REQUIRE(request->question == other->question);
        BOOST_TEST_REQUIRE(request->outputTokens == other->outputTokens);
    }
    BOOST_TEST(!second.next().has_value());
}

BOOST_AUTO_TEST_CASE(peakMultipliesDemand)
{
    Workload workload(*findProfile("lienzo-andino"), 100, 1);
    double peak = 0;
    double rest = 0;
    while (const auto request = workload.next()) {
        (request->inPeak ? peak : rest) += 1;
    }
    BOOST_TEST(peak / 25 > 2.5 * rest / 75);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BoundsTest)

BOOST_AUTO_TEST_CASE(ratiosAreRelativeToTheBestBaseline)
{
    const Json::Value report = *parseJson(R"({"profile": "drenthe", "policies": {
        "a": {"x": 100, "y": {"z": 5}}, "b": {"x": 50, "y": {"z": 9}},
        "default": {"x": 40, "y": {"z": 10}}}})");
    const auto violationCount = [&](const std::string &bound) {
        const auto bounds = readBounds(R"({"bounds": [)" + bound + "]}");
        BOOST_TEST_REQUIRE(bounds.has_value());
        return violatedBounds(report, *bounds).size();
    };
    BOOST_TEST(violationCount(R"({"figure": "x", "relative_to": "best-baseline", "max": 0.8})")
               == 0U);
    BOOST_TEST(violationCount(R"({"figure": "x", "relative_to": "best-baseline", "max": 0.79})")
               == 1U);
    BOOST_TEST(violationCount(R"({"figure": "y.z", "relative_to": "best-baseline", "min": 1.1})")
               == 0U);
    BOOST_TEST(violationCount(R"({"figure": "y.z", "relative_to": "best-baseline", "min": 1.2})")
               == 1U);
    BOOST_TEST(violationCount(R"({"figure": "x", "relative_to": "a", "max": 0.4})") == 0U);
    BOOST_TEST(violationCount(R"({"figure": "x", "max": 39})") == 1U);
    BOOST_TEST(violationCount(R"({"figure": "missing", "max": 39})") == 1U);
    BOOST_TEST(violationCount(R"({"profile": "other", "figure": "x", "max": 1})") == 0U);
    BOOST_TEST(!readBounds(R"({"bounds": [{"figure": "x"}]})").has_value());
}

BOOST_AUTO_TEST_CASE(quantilesAreWithinABin)
{
    std::vector<double> values;
    for (int value = 1; value <= 1000; ++value) {
        values.push_back(value);
    }
    const Quantiles quantiles = quantilesOf(values);
    BOOST_TEST(quantiles.p50 == 500, boost::test_tools::tolerance(0.02));
    BOOST_TEST(quantiles.p99 == 990, boost::test_tools::tolerance(0.02));
    BOOST_TEST(quantilesOf({}).p99 == 0);
}

BOOST_AUTO_TEST_SUITE_END()
