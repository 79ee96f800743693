#include <chrono>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "ServeProcess.h"

namespace jacinthroad {

BOOST_AUTO_TEST_SUITE(ServeStartTest)

BOOST_AUTO_TEST_CASE(settingsThatAreReplacedAtTheStartEndNoProcess)
{
    ServeProcess process({ .halfSettings = true });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    process.completeSettings();
    BOOST_TEST(process.waitForOutput("\"serving\""));
}

BOOST_AUTO_TEST_CASE(settingsWithAFieldOfANewerBuildEndTheProcess)
{
    ServeProcess process({ .unknownField = true });
    BOOST_TEST(process.waitForOutput("field 'listen.later': is not a known field"));
    BOOST_TEST(process.waitUntilListening());
}

BOOST_AUTO_TEST_CASE(logOfAProcessWithoutStandardFilesGoesIntoNoSocket)
{
    ServeProcess process({ .closedStandardFiles = true });
    BOOST_REQUIRE(process.waitUntilListening());
    for (const std::string &file : process.standardFiles()) {
        BOOST_TEST(file == "/dev/null");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
