#include <chrono>
#include <csignal>
#include <numeric>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>

#include "ServeProcess.h"

namespace jacinthroad {

namespace {

using std::chrono::milliseconds;

/// A library that the program needs and the C library doesn't.
constexpr const char *ProgramLibrary = "libboost";
constexpr int Starts = 40;

/// Starts a gateway and sends it a signal `delay` after the loader has begun to map its libraries.
void signalWhileLoading(const ServeProcess &process, int number, milliseconds delay)
{
    process.waitUntilMapped(ProgramLibrary);
    std::this_thread::sleep_for(delay);
    process.signal(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServeSignalTest)

BOOST_AUTO_TEST_CASE(reloadWhileTheProgramIsLoadedEndsNoProcess)
{
    for (int start = 0; start < Starts; ++start) {
        ServeProcess process;
        signalWhileLoading(process, SIGHUP, milliseconds(start));
        BOOST_TEST(process.waitForOutput("\"serving\""), "ended " << start << " ms later");
    }
}

BOOST_AUTO_TEST_CASE(stopWhileTheProgramIsLoadedEndsWithStatusZero)
{
    for (int start = 0; start < Starts; ++start) {
        ServeProcess process;
        signalWhileLoading(process, SIGTERM, milliseconds(start % 4));
        const int status = process.waitForEnd();
        BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 0), "status " << status);
    }
}

BOOST_AUTO_TEST_CASE(stopIsNoticedThoughTheParentBlockedItsSignal)
{
    std::vector<int> every(SIGRTMAX);
    std::iota(every.begin(), every.end(), 1);
    ServeProcess process({ .blockedSignals = every });
    BOOST_REQUIRE(process.waitForOutput("\"serving\""));
    process.signal(SIGTERM);
    BOOST_TEST(process.waitForOutput("\"stopping\""));
}

BOOST_AUTO_TEST_CASE(logFileAtItsSizeLimitEndsNoProcess)
{
    ServeProcess process;
    BOOST_REQUIRE(process.waitForOutput("\"serving\""));
    process.signal(SIGXFSZ);
    process.signal(SIGTERM);
    const int status = process.waitForEnd();
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 0), "status " << status);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
