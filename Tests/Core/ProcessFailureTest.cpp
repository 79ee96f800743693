#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include "Core/Json.h"
#include "Core/ProcessFailure.h"

namespace jacinthroad {

namespace {

struct ProcessEnd
{
    int signal = 0;
    std::string output;
};

/// Runs `failure` in a process that reports its end, with three requests in progress.
ProcessEnd endOf(const std::function<void()> &failure)
{
    int channel[2] = {};
    BOOST_REQUIRE(pipe(channel) == 0);
    const pid_t child = fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        close(channel[0]);
        installFailureReports(channel[1]);
        noteOpenRequests(3);
        std::thread([&failure] {
            const ReportedThread reported("traffic");
            failure();
        }).join();
        _exit(0);
    }
    close(channel[1]);
    ProcessEnd end;
    char bytes[4096];
    for (ssize_t size = 0; (size = read(channel[0], bytes, sizeof(bytes))) > 0;) {
        end.output.append(bytes, static_cast<std::size_t>(size));
    }
    close(channel[0]);
    int status = 0;
    BOOST_REQUIRE(waitpid(child, &status, 0) == child);
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return end;
}

Json::Value lineOf(const ProcessEnd &end)
{
    BOOST_TEST_INFO(end.output);
    BOOST_REQUIRE(end.output.ends_with("}\n"));
    BOOST_REQUIRE(end.output.find('\n') == end.output.size() - 1);
    const auto line = parseJson(end.output);
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST((*line)["event"].asString() == "process_failed");
    BOOST_TEST((*line)["level"].asString() == "error");
    BOOST_TEST((*line)["time"].asString().size() == std::string("2026-01-01T00:00:00.000Z").size());
    BOOST_TEST((*line)["thread"].asString() == "traffic");
    BOOST_TEST((*line)["open_requests"].asInt() == 3);
    return *line;
}

std::atomic<std::uint64_t> deepest { UINT64_MAX };
/// Not mapped; atomic so that the compiler doesn't know it.
std::atomic<std::uintptr_t> unmapped { 0x10 };

// NOLINTNEXTLINE(misc-no-recursion)
std::uint64_t overflowStack(std::uint64_t depth)
{
    volatile std::uint64_t frame[512] = { depth };
    return depth == deepest ? 0 : overflowStack(depth + 1) + frame[depth % 512];
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProcessFailureTest)

BOOST_AUTO_TEST_CASE(uncaughtExceptionIsReportedOnce)
{
    const ProcessEnd end = endOf([] { throw std::runtime_error("no \"route\"\nleft"); });
    const Json::Value line = lineOf(end);
    BOOST_TEST(end.signal == SIGABRT);
    BOOST_TEST(line["reason"].asString() == "no ?route??left");
}

BOOST_AUTO_TEST_CASE(fatalSignalsAreReportedAndEndTheProcess)
{
    for (const int signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
        const ProcessEnd end = endOf([signal] { static_cast<void>(raise(signal)); });
        const Json::Value line = lineOf(end);
        BOOST_TEST(end.signal == signal);
        BOOST_TEST(line["signal_number"].asInt() == signal);
        BOOST_TEST(line["signal"].asString().starts_with("SIG"));
    }
}

BOOST_AUTO_TEST_CASE(invalidAccessIsReportedWithItsAddress)
{
    const ProcessEnd end = endOf([] {
        volatile int *const nowhere = reinterpret_cast<int *>(unmapped.load());
        *nowhere = 1;
    });
    const Json::Value line = lineOf(end);
    BOOST_TEST(end.signal == SIGSEGV);
    BOOST_TEST(line["address"].asString() == "0x10");
}

BOOST_AUTO_TEST_CASE(stackOverflowIsReported)
{
    const ProcessEnd end = endOf([] { static_cast<void>(overflowStack(0)); });
    const Json::Value line = lineOf(end);
    BOOST_TEST(end.signal == SIGSEGV);
    BOOST_TEST(line["signal"].asString() == "SIGSEGV");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
