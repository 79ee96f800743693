#include <boost/test/unit_test.hpp>

#include "Gateway/ReadAllowance.h"

namespace jacinthroad {

namespace {

enum class Content { Events, Pieces };

/// Reads `bytes` at a time, once every `interval`; returns how many of the reads had to wait.
int readsThatWait(ReadAllowance &allowance, int reads, std::size_t bytes, Duration interval,
                  Content content = Content::Events)
{
    Instant now {};
    int waits = 0;
    for (int number = 0; number < reads; ++number) {
        waits += allowance.exceeded(now) ? 1 : 0;
        allowance.note(bytes, now);
        if (content == Content::Events) {
            allowance.noteEvents();
        }
        now += interval;
    }
    return waits;
}

constexpr std::size_t UsualEventBytes = 60;
constexpr Duration UsualStep = milliseconds(48);
constexpr Duration FastestStep = milliseconds(3);

} // namespace

BOOST_AUTO_TEST_SUITE(ReadAllowanceTest)

BOOST_AUTO_TEST_CASE(engineNeverWaits)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 10'000, UsualEventBytes, UsualStep) == 0);
}

BOOST_AUTO_TEST_CASE(engineWithLongEventsNeverWaits)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 10'000, 2048, UsualStep) == 0);
}

BOOST_AUTO_TEST_CASE(fastestEngineNeverWaits)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 10'000, UsualEventBytes, FastestStep) == 0);
}

BOOST_AUTO_TEST_CASE(resumedStreamOf200EventsNeverWaits)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 200, 100, Duration::zero()) == 0);
}

BOOST_AUTO_TEST_CASE(streamWithoutEndWaits)
{
    constexpr std::size_t ReadBytes = 8192;
    ReadAllowance allowance;
    // The burst takes the first reads.
    constexpr int FreeReads = 10;
    BOOST_TEST(readsThatWait(allowance, 1000, ReadBytes, Duration::zero()) >= 1000 - FreeReads);
}

BOOST_AUTO_TEST_CASE(bytesThatComeOneByOneWait)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 10'000, 1, std::chrono::microseconds(10)) > 9000);
}

BOOST_AUTO_TEST_CASE(headerInFewPiecesDoesNotWait)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 8, 512, Duration::zero(), Content::Pieces) == 0);
}

BOOST_AUTO_TEST_CASE(headerOfAFewBytesAtATimeWaits)
{
    ReadAllowance allowance;
    BOOST_TEST(readsThatWait(allowance, 1000, 8, milliseconds(1), Content::Pieces) > 900);
}

BOOST_AUTO_TEST_CASE(connectionThatWasTooQuickIsReadAtOnceAgain)
{
    ReadAllowance allowance;
    Instant now {};
    for (int number = 0; number < 100'000; ++number) {
        allowance.note(65'536, now);
    }
    BOOST_TEST(allowance.exceeded(now));
    now += std::chrono::seconds(4);
    BOOST_TEST(!allowance.exceeded(now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace jacinthroad
